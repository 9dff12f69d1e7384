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
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
)

const (
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 8 << 10
	// staleAnswers is how many answers to earlier requests are passed over before a connection counts as broken.
	staleAnswers = 4
)

// exchange is one request on a connection.
type exchange struct {
	message *cvrequest.Request
	done    chan struct{}
	sent    bool
	stale   int
	answer  comfreyvale.Answer
	err     error
}

func newExchange(message *cvrequest.Request) *exchange {
	return &exchange{message: message, done: make(chan struct{})}
}

// connection carries one request at a time. One goroutine reads all that comes, so that bytes which belong to no request
// are noticed before the next one.
type connection struct {
	pool     *Pool
	instance string
	conn     net.Conn
	reader   *bufio.Reader

	mu      sync.Mutex
	current *exchange
	closed  bool
	// answered says that the answer came before the request was written whole.
	answered  bool
	idleSince time.Time
	keep      time.Duration
}

func newConnection(pool *Pool, instance string, conn net.Conn) *connection {
	return &connection{
		pool: pool, instance: instance, conn: conn, reader: bufio.NewReaderSize(conn, readBuffer),
		idleSince: time.Now(), keep: defaultKeep,
	}
}

// fresh says whether an idle connection may carry another request.
func (c *connection) fresh(now time.Time, once bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := c.keep
	if once {
		keep = min(keep, orderKeep)
	}
	return !c.closed && now.Sub(c.idleSince) < keep
}

// start gives the connection a request, or returns false if it broke meanwhile.
func (c *connection) start(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.current = e
	return true
}

// sent notes whether the request is written whole; until then the connection carries no other one.
func (c *connection) sent(e *exchange, whole bool) {
	c.mu.Lock()
	e.sent = whole
	answered := c.answered
	c.answered = false
	c.mu.Unlock()
	if answered && whole {
		c.pool.release(c)
	}
	if answered && !whole {
		c.close()
	}
}

// close ends the connection; a request on it ends with an error.
func (c *connection) close() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return
	}
	c.conn.Close()
	c.pool.gone(c.instance, c)
}

// read takes what comes until the connection ends.
func (c *connection) read() {
	defer c.close()
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		e := c.current
		c.mu.Unlock()
		if e == nil {
			if err == nil {
				c.pool.OnDrop(c.instance, "", "bytes came that belong to no request")
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

// receive reads one answer and returns whether the connection goes on.
func (c *connection) receive(e *exchange) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: e.message.Method()})
	if err != nil {
		c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.Wrap(err, "the answer cannot be read")))
		return false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.pool.MaxResponseBytes+1))
	if err != nil {
		c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.Wrap(err, "the answer breaks off")))
		return false
	}
	if int64(len(body)) > c.pool.MaxResponseBytes {
		c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.New("the answer is too long")))
		return false
	}
	if response.StatusCode < http.StatusOK {
		return true
	}
	if !c.matches(e, response) {
		e.stale++
		c.pool.OnDrop(c.instance, e.message.ID(), "an answer to another request came")
		if e.stale > staleAnswers || ends(response) {
			c.finish(e, comfreyvale.Answer{}, fail("exchange", comfreyvale.KindUncertain, errors.New("only answers to other requests came")))
			return false
		}
		return true
	}
	answer := comfreyvale.NewAnswer(response.StatusCode, response.Header, body)
	c.noteKeep(response.Header.Get("Keep-Alive"))
	return c.release(e, answer, ends(response))
}

// matches says whether an answer is to the request. Only an upstream's statement that it did not run a request may lack the id.
func (c *connection) matches(e *exchange, response *http.Response) bool {
	id := response.Header.Get(c.pool.HeaderNames.RequestID)
	if id == "" && e.message.ID() != "" {
		return response.Header.Get(c.pool.HeaderNames.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
	}
	return id == e.message.ID()
}

// ends says whether a connection ends with an answer: it says so, or its end is the connection's.
func ends(response *http.Response) bool {
	return response.Close || (response.ContentLength < 0 && len(response.TransferEncoding) == 0)
}

// noteKeep takes in for how long the upstream keeps an idle connection.
func (c *connection) noteKeep(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.mu.Lock()
			c.keep = time.Duration(keepShare * float64(time.Duration(seconds)*time.Second))
			c.mu.Unlock()
		}
	}
}

// release hands the answer over and makes the connection ready for the next request, where it can be used again.
func (c *connection) release(e *exchange, answer comfreyvale.Answer, last bool) bool {
	c.mu.Lock()
	usable := !last && c.reader.Buffered() == 0 && !c.closed
	if usable {
		c.current = nil
		c.idleSince = time.Now()
		c.answered = !e.sent
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

// head renders the request line and the headers for an instance.
func (p *Pool) head(to *cvinstance.Instance, message *cvrequest.Request, left time.Duration) []byte {
	var b bytes.Buffer
	b.WriteString(message.Method() + " " + message.Target() + " HTTP/1.1\r\nHost: " + message.Host() + "\r\n")
	// A buffer takes all that is written to it.
	_ = message.Header().WriteSubset(&b, map[string]bool{p.HeaderNames.Deadline: true, p.HeaderNames.Instance: true, "Content-Length": true})
	b.WriteString(p.HeaderNames.Deadline + ": " + strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "\r\n")
	b.WriteString(p.HeaderNames.Instance + ": " + to.ID() + "\r\n")
	if len(message.Body()) > 0 || message.Header()["Content-Length"] != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(len(message.Body())) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
