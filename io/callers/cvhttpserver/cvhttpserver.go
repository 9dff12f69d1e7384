// Package cvhttpserver implements an HTTP/1.1 server that handles the pipelined requests of a connection concurrently.
package cvhttpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvlimits"
	"comfreyvale/core/cvmemory"
	"comfreyvale/io/balancers/cvbodies"
)

const (
	// acceptPause is the pause after a failed accept. Without it, a lack of file descriptors would cause a busy loop.
	acceptPause = 10 * time.Millisecond
	// connectionBytes is the memory that a connection takes beside its read buffer, mostly for the stacks of two
	// goroutines.
	connectionBytes = 16 << 10
)

// Server is an HTTP/1.1 server. It handles the requests of one connection concurrently and sends the responses in
// order. The functions in its fields are called concurrently.
type Server struct {
	// Handle returns the response to a request. Status 0 closes the connection without a response. The context is
	// cancelled with the cause ErrCallerDisconnected when the caller disconnects. The holder holds the body, and the
	// response as long as it takes to send it.
	Handle func(ctx context.Context, request *http.Request, body [][]byte, memory *cvbodies.Holder, arrived time.Time) comfreyvale.Answer
	// Repeatable reports whether a request may be handled before the earlier requests of its connection are answered.
	Repeatable func(request *http.Request) bool
	// Limits returns the limits on requests and connections of callers.
	Limits func() cvlimits.Limits
	// Memory holds connections, requests and responses. A request for which it has no room is refused with status 503, a
	// connection is closed.
	Memory *cvbodies.Memory
	// OnRefused is called for each request that is refused without a call of Handle, for each connection that is closed
	// for lack of memory, with status 0, and for each failed accept, with an empty remote address and status 0.
	OnRefused func(remote string, status int, cause error)

	mu          sync.Mutex
	connections map[*connection]struct{}
	inFlight    atomic.Int64
	stopping    atomic.Bool
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Callers reconnect, and a lack of file descriptors is temporary.
			s.OnRefused("", 0, err)
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, conn)
		if err := c.memory.Reserve(cvmemory.KindConnection, c.caller, int64(c.reader.Size()+connectionBytes)); err != nil {
			s.OnRefused(conn.RemoteAddr().String(), 0, err)
			conn.Close()
			continue
		}
		s.add(c)
		go c.serve()
	}
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		s.connections = make(map[*connection]struct{})
	}
	s.connections[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// DisableKeepAlives makes each connection accept at most one more request and close after its last response. New
// connections are still accepted until the listener is closed.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// CloseIdle closes the connections without a request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.closeIfIdle()
	}
}

// EndReceiving rejects the requests that have not arrived completely, with status 408.
func (s *Server) EndReceiving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.endReceiving()
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}
