package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// beat is how often a server writes its entry.
const beat = 1500 * time.Millisecond

// call is one request as a server has read it.
type call struct {
	conn    *serverConn
	id      string
	method  string
	target  string
	body    []byte
	started time.Time
}

// server is a stand-in for one server of a service.
type server struct {
	world   *world
	id      string
	service string
	zone    string
	slots   int
	queue   int
	work    func(c *call) time.Duration
	// intercept may answer a request itself, before anything is run, and then returns true.
	intercept func(s *server, c *call) bool
	// extra returns bytes to send at the point where the next answer of this connection is expected.
	extra func(s *server, c *call, answer []byte) []byte

	// window is the receive buffer of a connection, 0 for the system's own.
	window int

	address  string
	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]struct{}
	born     int64
	seq      int
	gone     bool
	running  atomic.Int64
	waiting  atomic.Int64
	free     chan struct{}
}

type serverConn struct {
	net.Conn
	reader *bufio.Reader
	// pending holds bytes that are sent where the next answer is expected.
	pending []byte
	ctx     context.Context
	cancel  context.CancelFunc
}

func newServer(w *world, id, service, zone string, slots, queue int) *server {
	return &server{world: w, id: id, service: service, zone: zone, slots: slots, queue: queue, conns: make(map[*serverConn]struct{}), free: make(chan struct{}, slots)}
}

func (s *server) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.listener = listener.Addr().String(), listener
	s.born, s.seq, s.gone = time.Now().UnixMilli(), 0, false
	s.free = make(chan struct{}, s.slots)
	s.mu.Unlock()
	s.writeEntry()
	go s.accept(listener)
	return nil
}

// beats writes the server's entry again and again.
func (s *server) beats(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, beat)
		s.writeEntry()
	}
}

func (s *server) writeEntry() {
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	s.seq++
	entry := map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "zone": s.zone, "version": "v1", "slots": s.slots},
		"status": map[string]any{"state": "ready", "seq": s.seq, "warmupLeftMs": 0},
	}
	s.mu.Unlock()
	s.world.store.putJSON("keyed.servers", s.id, entry)
}

// crash ends the server as a process that dies: its connections are reset. It is back, under its id, after a time.
func (s *server) crash(back time.Duration) {
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return
	}
	s.gone = true
	s.listener.Close()
	for c := range s.conns {
		c.cancel()
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	s.mu.Unlock()
	s.world.rec.log("server %s crashes", s.id)
	go func() {
		time.Sleep(back)
		if err := s.start(); err != nil {
			s.world.rec.log("server %s cannot start again: %v", s.id, err)
			return
		}
		s.world.rec.log("server %s is back", s.id)
	}()
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if t, ok := conn.(*net.TCPConn); ok && s.window > 0 {
			t.SetReadBuffer(s.window)
		}
		ctx, cancel := context.WithCancel(context.Background())
		c := &serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, 16<<10), ctx: ctx, cancel: cancel}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of a connection, one at a time. A connection that closes drops its request.
func (s *server) serve(c *serverConn) {
	calls := make(chan *call)
	go func() {
		defer close(calls)
		defer c.cancel()
		for {
			request, err := http.ReadRequest(c.reader)
			if err != nil {
				return
			}
			body := []byte(nil)
			if s.world.readBody != nil {
				body, err = s.world.readBody(s, c, request)
			} else {
				body, err = io.ReadAll(request.Body)
			}
			if err != nil {
				return
			}
			found := &call{conn: c, id: request.Header.Get("X-Request-Id"), method: request.Method, target: request.RequestURI, body: body, started: time.Now()}
			if target := request.Header.Get("X-Target-Instance"); target != "" && target != s.id {
				found.method = "MISDIRECTED"
			}
			select {
			case calls <- found:
			case <-c.ctx.Done():
				return
			}
		}
	}()
	for found := range calls {
		if !s.handle(found) {
			break
		}
	}
	c.cancel()
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots)
}

func (s *server) answer(c *call, status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if c.id != "" && header["X-Not-Executed"] == "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", c.id)
	}
	fmt.Fprintf(&b, "X-Server-Load: %s\r\n", s.load())
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// shed is the answer of a server that rejects a request, in the form of the users' examples: it bears no id.
func (s *server) shed(c *call) []byte {
	return s.answer(c, http.StatusServiceUnavailable, map[string]string{"X-Not-Executed": "1"}, nil)
}

// handle reports whether the connection goes on.
func (s *server) handle(c *call) bool {
	if len(c.conn.pending) > 0 {
		pending := c.conn.pending
		c.conn.pending = nil
		s.world.rec.log("server %s sends a late extra answer of %d bytes as request %s arrives", s.id, len(pending), c.id)
		if _, err := c.conn.Write(pending); err != nil {
			return false
		}
	}
	var answer []byte
	switch {
	case c.method == "MISDIRECTED":
		answer = s.answer(c, http.StatusMisdirectedRequest, map[string]string{"X-Instance-Id": s.id, "X-Not-Executed": "1"}, nil)
	case c.target == "/health":
		answer = s.answer(c, http.StatusOK, map[string]string{"X-Instance-Id": s.id}, nil)
	case c.id == "":
		answer = s.answer(c, http.StatusBadRequest, map[string]string{"X-Not-Executed": "1"}, nil)
	case s.intercept != nil && s.intercept(s, c):
		return c.conn.ctx.Err() == nil
	case !s.begin(c):
		s.world.rec.log("server %s rejects %s", s.id, c.id)
		answer = s.shed(c)
	default:
		s.world.ran(s, c)
		body := []byte("answer to " + c.id + " by " + s.id)
		done := time.After(s.work(c))
		select {
		case <-done:
		case <-c.conn.ctx.Done():
			s.end()
			return false
		}
		s.end()
		answer = s.answer(c, http.StatusOK, map[string]string{"X-Server-Signature": "sig." + s.id + "." + c.id}, body)
	}
	if _, err := c.conn.Write(answer); err != nil {
		return false
	}
	if s.extra != nil {
		c.conn.pending = s.extra(s, c, answer)
	}
	return true
}

// begin takes a slot, or waits in the queue for one; it returns false if the queue is full.
func (s *server) begin(c *call) bool {
	s.mu.Lock()
	free := s.free
	s.mu.Unlock()
	select {
	case free <- struct{}{}:
		s.running.Add(1)
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case free <- struct{}{}:
		s.running.Add(1)
		return true
	case <-c.conn.ctx.Done():
		return false
	}
}

func (s *server) end() {
	s.running.Add(-1)
	s.mu.Lock()
	free := s.free
	s.mu.Unlock()
	select {
	case <-free:
	default:
	}
}
