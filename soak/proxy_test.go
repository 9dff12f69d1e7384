package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// weather is what a proxy does to connections.
type weather int

const (
	calm weather = iota
	delayed
	reset
	silent
	// deafTarget carries nothing to the target, but its bytes back.
	deafTarget
	// muteTarget carries bytes to the target, but none back.
	muteTarget
)

// proxyDelay is what a delaying proxy adds to each piece of bytes.
const proxyDelay = 150 * time.Millisecond

// proxy stands before one listener and changes what its connections do.
type proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	weather weather
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

// set changes the weather; a reset ends the connections there are.
func (p *proxy) set(w weather) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weather = w
	close(p.changed)
	p.changed = make(chan struct{})
	if w == reset {
		p.endAll()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.endAll()
}

// endAll resets all connections. The caller holds the lock.
func (p *proxy) endAll() {
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
		go p.carry(source)
	}
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

func (p *proxy) carry(source net.Conn) {
	p.keep(source)
	defer p.drop(source)
	if w, _, _ := p.now(); w == reset {
		source.(*net.TCPConn).SetLinger(0)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		source.(*net.TCPConn).SetLinger(0)
		return
	}
	p.keep(target)
	defer p.drop(target)
	done := make(chan struct{})
	go func() {
		p.copy(target, source, deafTarget)
		close(done)
	}()
	p.copy(source, target, muteTarget)
	<-done
}

// now is the weather, what is closed when it changes, and whether the proxy is closed.
func (p *proxy) now() (weather, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.weather, p.changed, p.closed
}

// copy carries bytes one way; it holds them back in silence, and in the weather that closes this way.
func (p *proxy) copy(to, from net.Conn, closing weather) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.pass(closing) {
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

// pass waits until bytes may go on, or returns false when the proxy is closed.
func (p *proxy) pass(closing weather) bool {
	for {
		w, changed, closed := p.now()
		switch {
		case closed:
			return false
		case w == delayed:
			time.Sleep(proxyDelay)
			return true
		case w != silent && w != closing:
			return true
		}
		<-changed
	}
}
