package cvpool

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvhttpstatus"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvmemory"
	"comfreyvale/core/cvrequest"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/balancers/cvtcpstate"
)

const (
	readBufferSize = 8 << 10
	// maxStaleResponses is how many responses to other requests, and interim responses, are discarded before a connection
	// counts as broken.
	maxStaleResponses = 4
	// maxKeepAliveSeconds is the longest Keep-Alive timeout that is read; other values change nothing.
	maxKeepAliveSeconds = 3600
	// maxHeadBytes limits the head of a response. An upstream in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
)

type exchange struct {
	request *cvrequest.Request
	// memory holds the response.
	memory *cvbodies.Holder
	// done is closed when answer or err is set.
	done chan struct{}
	// sent reports whether the request was completely written. It is final when written is closed.
	sent    bool
	written chan struct{}
	// staleResponses counts the responses to other requests.
	staleResponses int
	answer         comfreyvale.Answer
	err            error
}

func newExchange(request *cvrequest.Request, memory *cvbodies.Holder) *exchange {
	return &exchange{request: request, memory: memory, done: make(chan struct{}), written: make(chan struct{})}
}

// connection carries one request at a time. One goroutine reads all data, so that unexpected bytes are detected before
// the next request is sent.
type connection struct {
	pool     *Pool
	instance string
	conn     net.Conn
	reader   *bufio.Reader

	mu      sync.Mutex
	current *exchange
	closed  bool
	// answeredEarly reports whether the response arrived before the request was completely written.
	answeredEarly bool
	idleSince     time.Time
	idleTimeout   time.Duration
}

func newConnection(pool *Pool, instance string, conn net.Conn) *connection {
	return &connection{
		pool: pool, instance: instance, conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize),
		idleSince: time.Now(), idleTimeout: defaultIdleTimeout,
	}
}

func (c *connection) reusable(now time.Time, nonIdempotent bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleTimeout := c.idleTimeout
	if nonIdempotent {
		idleTimeout = min(idleTimeout, nonIdempotentIdleTimeout)
	}
	return !c.closed && now.Sub(c.idleSince) < idleTimeout
}

// start returns false if the connection is already closed.
func (c *connection) start(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.current = e
	return true
}

// recordSent records whether the request was completely written. Until then the connection carries no other request.
func (c *connection) recordSent(e *exchange, complete bool) {
	c.mu.Lock()
	e.sent = complete
	answeredEarly := c.answeredEarly
	c.answeredEarly = false
	c.mu.Unlock()
	close(e.written)
	if answeredEarly && complete {
		c.pool.release(c)
	}
	if answeredEarly && !complete {
		c.close()
	}
}

// close closes the connection. An exchange in progress ends with an error.
func (c *connection) close() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return
	}
	c.conn.Close()
	c.pool.connectionClosed(c.instance, c)
}

func (c *connection) readResponses() {
	defer c.close()
	for {
		if c.reader.Size() > readBufferSize && c.reader.Buffered() == 0 {
			c.reader = bufio.NewReaderSize(c.conn, readBufferSize)
		}
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		e := c.current
		c.mu.Unlock()
		if e == nil {
			if err == nil {
				c.pool.OnDrop(c.instance, "", "received bytes while no request was in flight")
			}
			return
		}
		if err != nil {
			c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, err))
			return
		}
		if !c.receive(e) {
			return
		}
	}
}

// receive reports whether the connection is still usable after one response.
func (c *connection) receive(e *exchange) bool {
	response, err := c.readHead(e.request.Method())
	if err != nil {
		c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.Wrap(err, "the response cannot be parsed")))
		return false
	}
	if cvhttpstatus.Status(response.StatusCode).Interim() {
		e.staleResponses++
		if e.staleResponses > maxStaleResponses {
			c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.New("received only interim responses")))
			return false
		}
		return true
	}
	if !c.matches(e, response) {
		return c.skip(e, response)
	}
	body, err := c.readBody(e, response)
	if err != nil {
		c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.Wrap(err, "the response body cannot be read")))
		return false
	}
	if response.Body != http.NoBody && endsWithConnection(response) {
		if err := c.checkEnd(e); err != nil {
			c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.Wrap(err, "the response body may be incomplete")))
			return false
		}
	}
	answer := comfreyvale.NewAnswer(response.StatusCode, response.Header, body...)
	c.recordKeepAlive(response.Header.Get("Keep-Alive"))
	return c.deliver(e, answer, closesConnection(response) || c.anonymousRejection(response))
}

// skip discards a response to another request and reports whether the connection is still usable.
func (c *connection) skip(e *exchange, response *http.Response) bool {
	e.staleResponses++
	c.pool.OnDrop(c.instance, e.request.ID(), "received a response to another request")
	if e.staleResponses > maxStaleResponses || closesConnection(response) {
		c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.New("received only responses to other requests")))
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(c.body(response), c.pool.MaxResponseBytes+1))
	if n > c.pool.MaxResponseBytes {
		err = errors.Errorf("the body is longer than %d bytes", c.pool.MaxResponseBytes)
	}
	if err != nil {
		c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.Wrap(err, "a response to another request cannot be read")))
		return false
	}
	return true
}

// readBody returns the parts of a complete body.
func (c *connection) readBody(e *exchange, response *http.Response) ([][]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	return e.memory.Receive(c.body(response), cvmemory.KindAnswer, c.instance, response.ContentLength, c.pool.MaxResponseBytes, c.close)
}

// checkEnd returns an error if a body that ends with its connection may be incomplete: the connection was reset, or the
// upstream has closed it before it received the whole request.
func (c *connection) checkEnd(e *exchange) error {
	// Ends a write for which the upstream has no room.
	if err := c.conn.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	<-e.written
	if !e.sent {
		return errors.New("the connection ended before the request was completely written")
	}
	return cvtcpstate.CheckEnd(c.conn)
}

// matches reports whether a response carries the request's ID, or is a rejection without an ID.
func (c *connection) matches(e *exchange, response *http.Response) bool {
	return response.Header.Get(c.pool.HeaderNames.RequestID) == e.request.ID() || c.anonymousRejection(response)
}

// anonymousRejection reports whether a response states that a request did not run, by the NotRun header or status 421,
// without saying which. It is believed only as the first of its connection: a later one could be a second copy of the
// first, while the upstream runs the request.
func (c *connection) anonymousRejection(response *http.Response) bool {
	if response.Header.Get(c.pool.HeaderNames.RequestID) != "" {
		return false
	}
	return response.Header.Get(c.pool.HeaderNames.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

// closesConnection reports whether the connection ends after a response, by its header or as the end of its body.
func closesConnection(response *http.Response) bool {
	return response.Close || endsWithConnection(response)
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func (c *connection) recordKeepAlive(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 && seconds <= maxKeepAliveSeconds {
			c.mu.Lock()
			c.idleTimeout = time.Duration(idleTimeoutShare * float64(time.Duration(seconds)*time.Second))
			c.mu.Unlock()
		}
	}
}

// deliver ends an exchange and reports whether the connection is still usable. The connection is reused only once the
// request is completely written.
func (c *connection) deliver(e *exchange, answer comfreyvale.Answer, lastResponse bool) bool {
	c.mu.Lock()
	usable := !lastResponse && c.reader.Buffered() == 0 && !c.closed
	if usable {
		c.current = nil
		c.idleSince = time.Now()
		c.answeredEarly = !e.sent
	}
	sent := e.sent
	c.mu.Unlock()
	if usable && sent {
		c.pool.release(c)
	}
	c.finish(e, answer, nil)
	return usable
}

func (c *connection) finish(e *exchange, answer comfreyvale.Answer, err error) {
	e.answer = answer
	e.err = err
	close(e.done)
}

func (p *Pool) requestHead(instance *cvinstance.Instance, request *cvrequest.Request, remaining time.Duration) []byte {
	var b bytes.Buffer
	b.WriteString(request.Method() + " " + request.Target() + " HTTP/1.1\r\nHost: " + request.Host() + "\r\n")
	// Writes to a bytes.Buffer never fail.
	_ = request.Header().WriteSubset(&b, map[string]bool{p.HeaderNames.Deadline: true, p.HeaderNames.Instance: true, "Content-Length": true})
	b.WriteString(p.HeaderNames.Deadline + ": " + strconv.FormatInt(max(remaining.Milliseconds(), 1), 10) + "\r\n")
	b.WriteString(p.HeaderNames.Instance + ": " + instance.ID() + "\r\n")
	if size := request.Size(); size > 0 || request.Header()["Content-Length"] != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
