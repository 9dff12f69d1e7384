package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type linkState int

const (
	linkNormal linkState = iota
	linkDelayed
	linkReset
	linkStalled
	linkStalledToTarget
	linkStalledFromTarget
)

// proxyDelay is the delay of each chunk in the state linkDelayed.
const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to one target and can delay, reset or stall them.
type proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	state   linkState
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{target: target, listener: listener, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setState(s linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	close(p.changed)
	p.changed = make(chan struct{})
	if s == linkReset {
		p.resetAll()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
}

// resetAll must be called with the lock held.
func (p *proxy) resetAll() {
	for c := range p.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (p *proxy) accept() {
	for {
		source, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(source)
	}
}

func (p *proxy) addConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

func (p *proxy) forward(source net.Conn) {
	p.addConn(source)
	defer p.closeConn(source)
	if s, _, _ := p.currentState(); s == linkReset {
		source.(*net.TCPConn).SetLinger(0)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		source.(*net.TCPConn).SetLinger(0)
		return
	}
	p.addConn(target)
	defer p.closeConn(target)
	done := make(chan struct{})
	go func() {
		p.copyBytes(target, source, linkStalledToTarget)
		close(done)
	}()
	p.copyBytes(source, target, linkStalledFromTarget)
	<-done
}

// currentState also returns a channel that is closed when the state changes, and whether the proxy is closed.
func (p *proxy) currentState() (linkState, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed, p.closed
}

// copyBytes copies in one direction. It holds the bytes back in the state linkStalled and in the given state.
func (p *proxy) copyBytes(to, from net.Conn, stalled linkState) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.awaitForwarding(stalled) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitForwarding waits until the direction that the given state stalls may forward. It returns false if the proxy is
// closed.
func (p *proxy) awaitForwarding(stalled linkState) bool {
	for {
		s, changed, closed := p.currentState()
		switch {
		case closed:
			return false
		case s == linkDelayed:
			time.Sleep(proxyDelay)
			return true
		case s != linkStalled && s != stalled:
			return true
		}
		<-changed
	}
}
