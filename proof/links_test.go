package proof

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// links stands between all balancers and can cut each direction between each two of them.
type links struct {
	port      int
	listeners []net.Listener
	mu        sync.Mutex
	cut       map[[2]int]bool
	done      chan struct{}
}

func newLinks(t testing.TB, port, count int) *links {
	l := &links{port: port, cut: make(map[[2]int]bool), done: make(chan struct{})}
	for i := range count {
		listener, err := net.Listen("tcp", l.advertised(i))
		require.NoError(t, err)
		l.listeners = append(l.listeners, listener)
		go l.accept(i, listener)
	}
	return l
}

// real is where a balancer listens. Its number is also the source of the links that it opens.
func (l *links) real(i int) string { return fmt.Sprintf("127.0.0.%d:%d", 11+i, l.port) }

// advertised is where the others find it.
func (l *links) advertised(i int) string { return fmt.Sprintf("127.0.0.1:%d", l.port+i) }

func (l *links) accept(to int, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		from := int(conn.RemoteAddr().(*net.TCPAddr).IP.To4()[3]) - 11
		if l.isCut(from, to) || l.isCut(to, from) {
			// A cut network answers nothing at all.
			go func() { <-l.done; conn.Close() }()
			continue
		}
		target, err := net.Dial("tcp", l.real(to))
		if err != nil {
			// A gone process refuses; the nearest thing here is a reset.
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		go l.copy(from, to, target, conn)
		go l.copy(to, from, conn, target)
	}
}

// copy carries bytes one way while that way is not cut.
func (l *links) copy(from, to int, target, source net.Conn) {
	defer target.Close()
	defer source.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := source.Read(buffer)
		for l.isCut(from, to) {
			select {
			case <-l.done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if n > 0 {
			if _, err := target.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				target.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

func (l *links) isCut(from, to int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]int{from, to}]
}

// setCut cuts or heals one direction.
func (l *links) setCut(from, to int, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]int{from, to}] = cut
}

// isolate cuts or heals a balancer from all others: what it sends, and, unless oneWay, what it gets.
func (l *links) isolate(i int, oneWay, cut bool) {
	for j := range balancerCount {
		if j == i {
			continue
		}
		l.setCut(i, j, cut)
		if !oneWay {
			l.setCut(j, i, cut)
		}
	}
}

func (l *links) close() {
	close(l.done)
	for _, listener := range l.listeners {
		listener.Close()
	}
}
