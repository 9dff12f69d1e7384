package cvhttpserver

import (
	"context"
	"net"
	"net/http"
	"time"
)

// writeTimeout keeps a caller that reads nothing from holding the response's memory forever.
const writeTimeout = 10 * time.Second

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

// send sends a response, or closes the connection if there is none, and reports whether the connection stays open.
func (c *connection) send(e *exchange) bool {
	if e.response.Status() == 0 {
		c.conn.Close()
		return false
	}
	last := c.closesAfter(e)
	now := time.Now()
	c.conn.SetWriteDeadline(now.Add(writeTimeout))
	e.memory.Sending(now, func() { c.conn.SetWriteDeadline(time.Now()) })
	buffers := net.Buffers{renderHead(e.response, last)}
	if bodyAllowed(e) {
		buffers = append(buffers, e.response.Parts()...)
	}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		return false
	}
	if last {
		c.linger()
	}
	return !last
}

// bodyAllowed reports whether the response has a body to send.
func bodyAllowed(e *exchange) bool {
	status := e.response.Status()
	if status == http.StatusNoContent || status == http.StatusNotModified || e.response.Size() == 0 {
		return false
	}
	return e.request == nil || e.request.Method != http.MethodHead
}
