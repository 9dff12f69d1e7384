package cvhttpserver

import (
	"context"
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// lingerTimeout is how long the rest of a rejected request is read, and how long the connection stays open after its
	// write side is closed. Closing a connection with unread input sends a reset, and the caller may then lose the
	// response.
	lingerTimeout = 500 * time.Millisecond
	// maxDiscarded limits what is read behind the last request of a connection.
	maxDiscarded = 1 << 20
)

// closesAfter reports whether the next response is the connection's last one. If so, no further request is accepted.
func (c *connection) closesAfter(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.last || (c.server.stopping.Load() && c.pending == 1 && !c.receiving) {
		c.closing = true
	}
	return c.closing && c.pending == 1
}

// stopReading makes the connection accept no further request. A request that is being received is still read.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.receiving {
		c.conn.SetReadDeadline(time.Now())
	}
}

// closeIfIdle closes the connection if no response is pending and no request is being received.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.receiving {
		c.closing = true
		c.conn.SetReadDeadline(time.Now())
	}
}

// endReceiving ends the wait for the rest of a request.
func (c *connection) endReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		c.conn.SetReadDeadline(time.Now())
	}
}

// linger closes the write side, so that the caller can close the connection first. The connection stays open until
// then, but at most for lingerTimeout.
func (c *connection) linger() {
	closer, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	c.writeSideClosed = true
	c.stopReading()
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
