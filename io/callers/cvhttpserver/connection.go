package cvhttpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/io/balancers/cvbodies"
)

const (
	// maxPipelined limits the requests in flight on one connection. Further requests stay unread.
	maxPipelined = 32
	// bodyTimeout limits the time to receive a request with its body. It is longer than any deadline of the callers.
	bodyTimeout = 10 * time.Second
	// memoryRetryAfter is the value of Retry-After, in seconds, in the response to a request for which there is no memory.
	memoryRetryAfter = "1"
)

// ErrCallerDisconnected is the cause of a context that was cancelled because the caller closed its connection.
var ErrCallerDisconnected = errors.New("caller closed the connection")

// errClosing means that the server, not the caller, closes the connection.
var errClosing = errors.New("server is closing the connection")

// connection is one connection of a caller. One goroutine reads the requests, one writes the responses, and each
// request is handled in a separate one.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// caller is the host of the remote address.
	caller string
	// memory holds the connection itself.
	memory *cvbodies.Holder
	// queue holds the exchanges whose responses are not sent yet, in the order of their requests.
	queue chan *exchange
	// writeSideClosed is set by writeLoop after the last response, and read when writeLoop has returned.
	writeSideClosed bool

	mu sync.Mutex
	// pending is the number of requests that were read but not answered.
	pending int
	// receiving is true from the first byte of a request to its last.
	receiving bool
	// closing is true once no further request is accepted.
	closing bool
	// idleSince is when the last response was sent.
	idleSince time.Time
}

// exchange is a request that was received and its response.
type exchange struct {
	received
	response comfreyvale.Answer
	// last is true if the connection is closed after the response.
	last bool
	// done is closed when the response is set.
	done chan struct{}
	// flushed is closed when the response was sent or cannot be sent anymore.
	flushed chan struct{}
	// previous is the exchange of the preceding request on the connection, or nil. handle forgets it, so that answered
	// exchanges can be freed.
	previous *exchange
}

func newExchange(r received, previous *exchange) *exchange {
	return &exchange{received: r, previous: previous, done: make(chan struct{}), flushed: make(chan struct{})}
}

func newConnection(server *Server, conn net.Conn) *connection {
	size := server.Limits().MaxHeaderBytes() + headSlack
	caller := callerOf(conn)
	return &connection{
		server: server, conn: conn, reader: bufio.NewReaderSize(conn, size), caller: caller, memory: server.Memory.Holder(caller),
		queue: make(chan *exchange, maxPipelined), idleSince: time.Now(),
	}
}

// callerOf returns the host of the remote address of a connection.
func callerOf(conn net.Conn) string {
	address := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// serve runs until the connection is closed.
func (c *connection) serve() {
	defer c.memory.Close()
	defer c.server.remove(c)
	ctx, end := context.WithCancelCause(context.Background())
	defer end(nil)
	cancel := func() { end(ErrCallerDisconnected) }
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.writeLoop(cancel)
	}()
	c.readLoop(ctx, cancel)
	close(c.queue)
	<-finished
	if c.writeSideClosed {
		c.discardInput(c.conn)
	}
	c.conn.Close()
}

// readLoop reads requests until the connection accepts no more. It cancels the context if the caller disconnects.
func (c *connection) readLoop(ctx context.Context, cancel context.CancelFunc) {
	var previous *exchange
	for ctx.Err() == nil {
		if err := c.awaitRequest(); err != nil {
			if err != errClosing {
				cancel()
			}
			return
		}
		r, reqErr := c.receive()
		if reqErr == errDisconnected {
			r.memory.Close()
			cancel()
			return
		}
		if !c.beginRequest() {
			r.memory.Close()
			return
		}
		e := newExchange(r, previous)
		if reqErr != nil {
			c.refuse(e, reqErr)
			return
		}
		e.last = e.request.Close
		go c.handle(ctx, e)
		select {
		case c.queue <- e:
		case <-ctx.Done():
			c.endRequest(e)
			return
		}
		if e.last {
			c.watchDisconnect(cancel)
			return
		}
		previous = e
	}
}

// refuse answers an invalid request, which ends the connection, and discards the rest of it.
func (c *connection) refuse(e *exchange, cause *requestError) {
	c.server.OnRefused(c.conn.RemoteAddr().String(), cause.status, cause)
	var header http.Header
	if cause.status == http.StatusServiceUnavailable {
		header = http.Header{"Retry-After": {memoryRetryAfter}}
	}
	e.response = comfreyvale.NewAnswer(cause.status, header)
	e.last = true
	close(e.done)
	c.queue <- e
	c.discardInput(c.reader)
}

// awaitRequest waits for the first byte of a request. It returns errClosing if the connection is closing or was idle
// for too long.
func (c *connection) awaitRequest() error {
	for {
		c.mu.Lock()
		remaining := c.server.Limits().IdleTimeout()
		if c.pending == 0 {
			remaining -= time.Since(c.idleSince)
		}
		if remaining <= 0 {
			c.closing = true
		}
		c.receiving = false
		if c.closing {
			c.mu.Unlock()
			return errClosing
		}
		c.conn.SetReadDeadline(time.Now().Add(remaining))
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.startReceiving()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// startReceiving notes that a request has begun to arrive. It returns errClosing if the connection is closing.
func (c *connection) startReceiving() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return errClosing
	}
	c.receiving = true
	return nil
}

// beginRequest counts a request that was received as in progress. It returns false if the connection accepts no further
// request.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	if c.closing {
		return false
	}
	// During shutdown, a request that still arrives is the last one of its connection.
	c.closing = c.server.stopping.Load()
	c.pending++
	c.server.inFlight.Add(1)
	return true
}

// endRequest marks a request as no longer in progress and releases its memory.
func (c *connection) endRequest(e *exchange) {
	e.memory.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = time.Now()
	c.server.inFlight.Add(-1)
}

// idle reports whether no response is pending, so that an interim response may be sent.
func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// handle sets the response of an exchange. It starts a request that is not repeatable only when all earlier requests are
// answered: an earlier response that closes the connection tells the caller that the later requests were not read.
func (c *connection) handle(ctx context.Context, e *exchange) {
	defer close(e.done)
	if e.previous != nil && !c.server.Repeatable(e.request) {
		select {
		case <-e.previous.flushed:
		case <-ctx.Done():
			return
		}
	}
	e.previous = nil
	e.response = c.server.Handle(ctx, e.request, e.body, e.memory, e.arrived)
}
