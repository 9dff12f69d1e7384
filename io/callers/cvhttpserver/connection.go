package cvhttpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
)

const (
	// maxPipelined limits the requests in flight on one connection. Further requests stay unread.
	maxPipelined = 32
	// lingerTimeout is how long the rest of a rejected request is read, and how long the connection stays open after its
	// write side is closed. Closing a connection with unread input sends a reset, and the caller may then lose the
	// response.
	lingerTimeout = 500 * time.Millisecond
	// maxDiscarded limits what is read behind the last request of a connection.
	maxDiscarded = 1 << 20
	// bodyTimeout limits the time to receive a request with its body. It is longer than any deadline of the callers.
	bodyTimeout = 10 * time.Second
	// writeTimeout keeps a caller that reads nothing from holding the response's memory forever.
	writeTimeout = 10 * time.Second
)

// connection is one connection of a caller. One goroutine reads the requests, one writes the responses, and each
// request is handled in a separate one.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	queue  chan *exchange

	mu sync.Mutex
	// pending is the number of requests that were read but not answered.
	pending   int
	receiving bool
	// closing is true once no further request is accepted.
	closing   bool
	idleSince time.Time
	// lingers is true once the write side is closed after the last response. Only writeLoop sets it.
	lingers bool
}

type exchange struct {
	request  *http.Request
	body     []byte
	arrived  time.Time
	response comfreyvale.Answer
	// last is true if the connection is closed after the response.
	last bool
	// done is closed when the response is set.
	done chan struct{}
	// flushed is closed when the response was sent or cannot be sent anymore.
	flushed chan struct{}
	// previous is the exchange of the preceding request.
	previous *exchange
}

func newConnection(server *Server, conn net.Conn) *connection {
	size := server.Limits().MaxHeaderBytes() + headSlack
	return &connection{server: server, conn: conn, reader: bufio.NewReaderSize(conn, size), queue: make(chan *exchange, maxPipelined), idleSince: time.Now()}
}

func (c *connection) serve() {
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
	if c.lingers {
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
		request, body, arrived, reqErr := c.receive()
		if reqErr == errDisconnected {
			cancel()
			return
		}
		if !c.beginRequest() {
			c.server.bodyBytes.Add(-int64(len(body)))
			return
		}
		e := &exchange{request: request, body: body, arrived: arrived, previous: previous, done: make(chan struct{}), flushed: make(chan struct{})}
		if reqErr != nil {
			c.server.OnRefused(c.conn.RemoteAddr().String(), reqErr.status, reqErr)
			e.response = comfreyvale.NewAnswer(reqErr.status, nil, nil)
			e.last = true
			close(e.done)
			c.queue <- e
			c.discardInput(c.reader)
			return
		}
		e.last = request.Close
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

// watchDisconnect cancels the context if the caller disconnects before the last response. It discards what the caller
// has sent behind its last request.
func (c *connection) watchDisconnect(cancel context.CancelFunc) {
	c.conn.SetReadDeadline(time.Time{})
	go func() {
		_, err := io.CopyN(io.Discard, c.reader, maxDiscarded)
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
	}()
}

// discardInput discards input for lingerTimeout, because the rest of a rejected request or pipelined ones may still
// arrive.
func (c *connection) discardInput(input io.Reader) {
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	// The connection is closed whether or not reading fails.
	_, _ = io.Copy(io.Discard, input)
}

// ErrCallerDisconnected is the cause of a context that was cancelled because the caller closed its connection.
var ErrCallerDisconnected = errors.New("caller closed the connection")

// errClosing means that the server, not the caller, closes the connection.
var errClosing = errors.New("server is closing the connection")

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

func (c *connection) startReceiving() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return errClosing
	}
	c.receiving = true
	return nil
}

// beginRequest returns false if the connection accepts no further request.
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

// endRequest marks a request as no longer in progress and releases the memory of its body.
func (c *connection) endRequest(e *exchange) {
	c.server.bodyBytes.Add(-int64(len(e.body)))
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

func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.receiving {
		c.conn.SetReadDeadline(time.Now())
	}
}

func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.receiving {
		c.closing = true
		c.conn.SetReadDeadline(time.Now())
	}
}

// closesAfter reports whether the next response is the connection's last one. If so, no further request is accepted.
func (c *connection) closesAfter(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.last || (c.server.stopping.Load() && c.pending == 1 && !c.receiving) {
		c.closing = true
	}
	return c.closing && c.pending == 1
}

// handle starts a request that is not repeatable only when all earlier requests are answered: an earlier response that
// closes the connection tells the caller that the later requests were not read.
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
	e.response = c.server.Handle(ctx, e.request, e.body, e.arrived)
}

// writeLoop sends the responses in the order of their requests.
func (c *connection) writeLoop(cancel context.CancelFunc) {
	broken := false
	for e := range c.queue {
		<-e.done
		if !broken {
			broken = !c.send(e)
		}
		c.endRequest(e)
		if broken {
			cancel()
			c.stopReading()
		}
		close(e.flushed)
	}
}

// send reports whether the connection stays open.
func (c *connection) send(e *exchange) bool {
	if e.response.Status() == 0 {
		c.conn.Close()
		return false
	}
	last := c.closesAfter(e)
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	buffers := net.Buffers{renderHead(e.response, last)}
	if bodyAllowed(e) {
		buffers = append(buffers, e.response.Body())
	}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		return false
	}
	if last {
		c.linger()
	}
	return !last
}

// linger closes the write side, so that the caller can close the connection first. The connection stays open until
// then, but at most for lingerTimeout.
func (c *connection) linger() {
	closer, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	c.lingers = true
	c.stopReading()
}

func bodyAllowed(e *exchange) bool {
	status := e.response.Status()
	if status == http.StatusNoContent || status == http.StatusNotModified || len(e.response.Body()) == 0 {
		return false
	}
	return e.request == nil || e.request.Method != http.MethodHead
}
