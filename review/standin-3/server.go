package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// server is a stand-in for a server of a service. answer decides how it answers a request; the default is a sound one.
type server struct {
	id, service, address string
	slots                int
	born                 int64
	seq                  int
	answer               func(s *server, c *serverConn, request *http.Request) bool
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	// late is what the server sends before its next answer.
	late string
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, 4096)})
	}
}

func (s *server) serve(c *serverConn) {
	defer c.Close()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n", s.id, s.slots)
			continue
		}
		if target := request.Header.Get("X-Target-Instance"); target != "" && target != s.id {
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Request-Id"), s.id)
			continue
		}
		if !s.answer(s, c, request) {
			return
		}
	}
}

// write sends a complete response with the server's signature.
func (s *server) write(c *serverConn, request *http.Request, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\nX-Server-Load: 1,0,%d,100\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), request.Header.Get("X-Request-Id"), s.id, request.Header.Get("X-Request-Id"), s.slots, len(body), body)
}

// answerWhole reads the whole request, works and answers.
func answerWhole(work time.Duration) func(s *server, c *serverConn, request *http.Request) bool {
	return func(s *server, c *serverConn, request *http.Request) bool {
		size, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return false
		}
		time.Sleep(work)
		s.write(c, request, http.StatusOK, fmt.Sprintf("%d bytes of %s", size, request.Header.Get("X-Request-Id")))
		return true
	}
}
