// Package cvrawserver implements a stand-in for an HTTP server that sends any bytes as its responses.
package cvrawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// MaxEndlessBytes limits what one connection gets of a response without end, so that a client that reads all of it does
// not take the memory of the machine.
const MaxEndlessBytes = 256 << 20

// blockBytes is the size of the writes of a response without end.
const blockBytes = 64 << 10

// Server is a server on a loopback port. Set the exported fields before Start.
type Server struct {
	// Respond returns the response to a request, whose body is read after the response if Reset is not set.
	Respond func(request *http.Request) string
	// Endless returns what is sent again and again after a response, until the connection breaks. It may be nil.
	Endless func(request *http.Request) string
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
		if s.Endless != nil && !s.writeEndlessly(conn, s.Endless(request)) {
			return
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

// writeEndlessly sends a part, if it is not empty, again and again, and reports whether the connection can still be used.
func (s *Server) writeEndlessly(conn net.Conn, part string) bool {
	if part == "" {
		return true
	}
	block := strings.Repeat(part, 1+blockBytes/len(part))
	for sent := 0; sent < MaxEndlessBytes; sent += len(block) {
		if !s.write(conn, block) {
			return false
		}
	}
	return true
}

func (s *Server) write(conn net.Conn, text string) bool {
	n, err := io.WriteString(conn, text)
	s.sent.Add(int64(n))
	return err == nil
}
