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

// network proxies the connections between balancers and can block each direction separately.
type network struct {
	port      int
	listeners []net.Listener
	mu        sync.Mutex
	blocked   map[[2]int]bool
	done      chan struct{}
}

func newNetwork(t testing.TB, port, count int) *network {
	n := &network{port: port, blocked: make(map[[2]int]bool), done: make(chan struct{})}
	for i := range count {
		listener, err := net.Listen("tcp", n.advertisedAddress(i))
		require.NoError(t, err)
		n.listeners = append(n.listeners, listener)
		go n.proxy(i, listener)
	}
	return n
}

// listenAddress returns the address on which balancer i listens. Its IP address is also the source address of the
// balancer's connections, by which proxy identifies it.
func (n *network) listenAddress(i int) string { return fmt.Sprintf("127.0.0.%d:%d", 11+i, n.port) }

// advertisedAddress returns the address that balancer i advertises; the network listens there.
func (n *network) advertisedAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", n.port+i) }

func (n *network) proxy(to int, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		from := int(conn.RemoteAddr().(*net.TCPAddr).IP.To4()[3]) - 11
		if n.isBlocked(from, to) || n.isBlocked(to, from) {
			// A blocked connection stays open and gets no reply until the test ends.
			go func() { <-n.done; conn.Close() }()
			continue
		}
		target, err := net.Dial("tcp", n.listenAddress(to))
		if err != nil {
			// A connection to an ended process would be refused. This connection is already accepted, so it is reset.
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		go n.forward(from, to, target, conn)
		go n.forward(to, from, conn, target)
	}
}

// forward copies bytes in one direction and holds them back while this direction is blocked.
func (n *network) forward(from, to int, target, source net.Conn) {
	defer target.Close()
	defer source.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		for n.isBlocked(from, to) {
			select {
			case <-n.done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if count > 0 {
			if _, err := target.Write(buffer[:count]); err != nil {
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

func (n *network) isBlocked(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]int{from, to}]
}

func (n *network) setBlocked(from, to int, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]int{from, to}] = blocked
}

// isolate blocks or unblocks what balancer i sends and, unless oneWay, what it receives.
func (n *network) isolate(i int, oneWay, blocked bool) {
	for j := range balancerCount {
		if j == i {
			continue
		}
		n.setBlocked(i, j, blocked)
		if !oneWay {
			n.setBlocked(j, i, blocked)
		}
	}
}

func (n *network) close() {
	close(n.done)
	for _, listener := range n.listeners {
		listener.Close()
	}
}
