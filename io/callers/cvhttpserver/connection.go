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
	// pipelined is how many requests of one connection are in progress at most; further ones stay unread.
	pipelined = 32
	// lingerTime is how long a closed connection is read on, so that the last answer is not lost to a reset.
	lingerTime = 500 * time.Millisecond
	// bodyTime is how long a body may take to arrive; longer than any deadline of the callers.
	bodyTime = 10 * time.Second
	// writeTime is how long a caller may take to read an answer; one that reads nothing would hold its memory for ever.
	writeTime = 10 * time.Second
)

// connection is one caller's connection. One goroutine reads requests, one writes answers, one runs each request.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	queue  chan *exchange

	mu sync.Mutex
	// pending is the number of requests that are read and not answered; receiving says that one is being read.
	pending   int
	receiving bool
	// closing says that no further request is taken.
	closing bool
	// idleSince is when the last answer was out.
	idleSince time.Time
}

// exchange is one request and its answer.
type exchange struct {
	request *http.Request
	body    []byte
	arrived time.Time
	answer  comfreyvale.Answer
	last    bool
	done    chan struct{}
	// flushed is closed when the answer is out, or never will be.
	flushed chan struct{}
	before  *exchange
}

func newConnection(server *Server, conn net.Conn) *connection {
	size := server.Limits().MaxHeaderBytes() + headSlack
	return &connection{server: server, conn: conn, reader: bufio.NewReaderSize(conn, size), queue: make(chan *exchange, pipelined), idleSince: time.Now()}
}

func (c *connection) serve() {
	defer c.server.remove(c)
	ctx, end := context.WithCancelCause(context.Background())
	defer end(nil)
	cancel := func() { end(ErrCallerDisconnected) }
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.write(cancel)
	}()
	c.read(ctx, cancel)
	close(c.queue)
	<-finished
	c.conn.Close()
}

// read takes requests off the connection until it ends. A caller that is gone ends the context.
func (c *connection) read(ctx context.Context, cancel context.CancelFunc) {
	var before *exchange
	for ctx.Err() == nil {
		if err := c.awaitRequest(); err != nil {
			if err != errClosing {
				cancel()
			}
			return
		}
		request, body, arrived, refusal := c.receive()
		if refusal == errGone {
			cancel()
			return
		}
		if !c.begin() {
			c.server.held.Add(-int64(len(body)))
			return
		}
		e := &exchange{request: request, body: body, arrived: arrived, before: before, done: make(chan struct{}), flushed: make(chan struct{})}
		if refusal != nil {
			c.server.OnRefused(c.conn.RemoteAddr().String(), refusal.status, refusal)
			e.answer = comfreyvale.NewAnswer(refusal.status, nil, nil)
			e.last = true
			close(e.done)
			c.queue <- e
			c.awaitEnd()
			return
		}
		e.last = request.Close
		go c.run(ctx, e)
		select {
		case c.queue <- e:
		case <-ctx.Done():
			c.end(e)
			return
		}
		if e.last {
			c.awaitGone(cancel)
			return
		}
		before = e
	}
}

// awaitGone notices a caller that leaves before its last answer.
func (c *connection) awaitGone(cancel context.CancelFunc) {
	c.conn.SetReadDeadline(time.Time{})
	go func() {
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, net.ErrClosed) {
			cancel()
		}
	}()
}

// awaitEnd reads on for a moment behind a request that is refused, whose rest may still be on its way.
func (c *connection) awaitEnd() {
	c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	// What is read belongs to no request, and the connection ends whatever comes.
	_, _ = io.Copy(io.Discard, c.reader)
}

// ErrCallerDisconnected is the cause of a context that ended because the caller closed its connection.
var ErrCallerDisconnected = errors.New("the caller has closed its connection")

// errClosing says that this side ends the connection.
var errClosing = errors.New("the connection ends")

// awaitRequest waits for the first byte of a request, and ends a connection that was idle for too long.
func (c *connection) awaitRequest() error {
	for {
		c.mu.Lock()
		left := c.server.Limits().IdleTimeout()
		if c.pending == 0 {
			left -= time.Since(c.idleSince)
		}
		if left <= 0 {
			c.closing = true
		}
		c.receiving = false
		if c.closing {
			c.mu.Unlock()
			return errClosing
		}
		c.conn.SetReadDeadline(time.Now().Add(left))
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

// begin counts a request as taken, unless the connection ends.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	if c.closing {
		return false
	}
	// While the server stops, a request that still arrives is the last one of its connection.
	c.closing = c.server.stopping.Load()
	c.pending++
	c.server.inFlight.Add(1)
	return true
}

// end counts a request as answered, and gives back what its body held.
func (c *connection) end(e *exchange) {
	c.server.held.Add(-int64(len(e.body)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = time.Now()
	c.server.inFlight.Add(-1)
}

// quiet says whether no answer is due on the connection.
func (c *connection) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// close makes the connection take no further request.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.receiving {
		c.conn.SetReadDeadline(time.Now())
	}
}

// expire ends an idle connection.
func (c *connection) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.receiving {
		c.closing = true
		c.conn.SetReadDeadline(time.Now())
	}
}

// endWithNext says whether the answer about to be sent is the last one; from then on no further request is taken.
func (c *connection) endWithNext(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.last || (c.server.stopping.Load() && c.pending == 1 && !c.receiving) {
		c.closing = true
	}
	return c.closing && c.pending == 1
}

// run handles one request. One that may run only once starts when all earlier ones are answered: an answer before it
// that closes the connection says that it was not read.
func (c *connection) run(ctx context.Context, e *exchange) {
	defer close(e.done)
	if e.before != nil && !c.server.Repeatable(e.request) {
		select {
		case <-e.before.flushed:
		case <-ctx.Done():
			return
		}
	}
	e.before = nil
	e.answer = c.server.Handle(ctx, e.request, e.body, e.arrived)
}

// write sends the answers in the order of their requests.
func (c *connection) write(cancel context.CancelFunc) {
	broken := false
	for e := range c.queue {
		<-e.done
		if !broken {
			broken = !c.send(e)
		}
		c.end(e)
		if broken {
			cancel()
			c.close()
		}
		close(e.flushed)
	}
}

// send writes one answer and returns whether the connection goes on.
func (c *connection) send(e *exchange) bool {
	if e.answer.Status() == 0 {
		c.conn.Close()
		return false
	}
	last := c.endWithNext(e)
	c.conn.SetWriteDeadline(time.Now().Add(writeTime))
	buffers := net.Buffers{head(e.answer, last)}
	if bodyAllowed(e) {
		buffers = append(buffers, e.answer.Body())
	}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		return false
	}
	if last {
		c.linger()
	}
	return !last
}

// linger ends the writing side and lets the caller close first, so that unread bytes do not reset the last answer.
func (c *connection) linger() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.close()
	go func() {
		time.Sleep(lingerTime)
		c.conn.Close()
	}()
}

func bodyAllowed(e *exchange) bool {
	status := e.answer.Status()
	if status == http.StatusNoContent || status == http.StatusNotModified || len(e.answer.Body()) == 0 {
		return false
	}
	return e.request == nil || e.request.Method != http.MethodHead
}
