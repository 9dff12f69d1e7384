// Package cvrawserver implements a stand-in for an HTTP server that sends any bytes as its responses.
package cvrawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Server is a server on a loopback port. Set the exported fields before Start.
type Server struct {
	// Respond returns the response to a request, whose body is read after the response if Reset is not set.
	Respond func(request *http.Request) string
	// Repeated is sent again and again after each response, until the connection breaks.
	Repeated string
	// Reset resets each connection after its first response.
	Reset bool

	listener net.Listener
	received atomic.Int64
	sent     atomic.Int64
	accepted atomic.Int64
}

// Start starts to listen and returns the address.
func (s *Server) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listener = listener
	go s.accept()
	return listener.Addr().String(), nil
}

// Stop closes the listener. Connections stay open until their clients close them.
func (s *Server) Stop() { s.listener.Close() }

// Received returns the number of requests that arrived.
func (s *Server) Received() int64 { return s.received.Load() }

// Accepted returns the number of connections that were accepted.
func (s *Server) Accepted() int64 { return s.accepted.Load() }

// Sent returns the number of bytes that were sent.
func (s *Server) Sent() int64 { return s.sent.Load() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.received.Add(1)
		if !s.write(conn, s.Respond(request)) {
			return
		}
		for s.Repeated != "" {
			if !s.write(conn, s.Repeated) {
				return
			}
		}
		if s.Reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

func (s *Server) write(conn net.Conn, text string) bool {
	n, err := io.WriteString(conn, text)
	s.sent.Add(int64(n))
	return err == nil
}
