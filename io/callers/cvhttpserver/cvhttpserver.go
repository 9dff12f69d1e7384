// Package cvhttpserver serves the connections of callers: requests of one connection run side by side and are answered in order.
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
)

// acceptPause is the pause after a failed accept, so that a lack of descriptors is not met with a busy loop.
const acceptPause = 10 * time.Millisecond

// Server answers HTTP/1.1 requests.
type Server struct {
	// Handle returns the answer to a request whose body has been read whole. An answer with status 0 breaks the
	// connection. The context ends when the caller is gone.
	Handle func(ctx context.Context, request *http.Request, body []byte, arrived time.Time) comfreyvale.Answer
	// Repeatable says whether a request may run beside earlier ones of its connection that are not answered yet.
	Repeatable func(request *http.Request) bool
	// Limits bound what callers may send.
	Limits func() cvlimits.Limits
	// BodyMemory is how many bytes of request bodies are held at a time; a request that needs more is refused.
	BodyMemory int64
	// OnRefused is told of requests that are answered without being handled.
	OnRefused func(remote string, status int, cause error)

	mu       sync.Mutex
	open     map[*connection]struct{}
	inFlight atomic.Int64
	held     atomic.Int64
	stopping atomic.Bool
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Callers come again; a lack of descriptors passes.
			s.OnRefused("", 0, err)
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, conn)
		s.add(c)
		go c.serve()
	}
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*connection]struct{})
	}
	s.open[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// DisableKeepAlives makes each connection end with its next answer that has none behind it.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// CloseIdle ends the connections on which no request is in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.expire()
	}
}

// InFlight is the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// OpenConnections is the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
