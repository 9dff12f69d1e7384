package cvhttpserver

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
)

const (
	// headSlack is the room in a read buffer beside the largest head.
	headSlack = 4 << 10
	// bodyStart is the size of the first buffer of a body without a length, or with a large one that may never come.
	bodyStart = 4 << 10
	// largeBody is the length from which a body's buffer grows as it comes.
	largeBody = 64 << 10
)

// refused is an error with the status of the answer that the caller gets before the connection ends.
type refused struct {
	status int
	cause  error
}

// Error says why the request was refused.
func (r *refused) Error() string { return r.cause.Error() }

// errGone says that there is nobody to answer.
var errGone = &refused{cause: errors.New("the caller is gone")}

func refuse(status int, text string) *refused {
	return &refused{status: status, cause: errors.New(text)}
}

// receive reads one request with its whole body.
func (c *connection) receive() (*http.Request, []byte, time.Time, *refused) {
	arrived := time.Now()
	limits := c.server.Limits()
	c.conn.SetReadDeadline(arrived.Add(limits.HeaderTimeout()))
	if refusal := c.awaitHead(limits.MaxHeaderBytes()); refusal != nil {
		return nil, nil, arrived, refusal
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, arrived, refuse(http.StatusBadRequest, "the request cannot be read: "+err.Error())
	}
	if request.Host == "" {
		return nil, nil, arrived, refuse(http.StatusBadRequest, "the request names no host")
	}
	if request.Body == nil || request.Body == http.NoBody {
		return request, nil, arrived, nil
	}
	if request.ContentLength > limits.MaxBodyBytes() {
		return nil, nil, arrived, refuse(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	c.conn.SetReadDeadline(arrived.Add(bodyTime))
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") && c.quiet() {
		// A caller that does not get this line sends the body after a while.
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, refusal := c.readBody(request, limits.MaxBodyBytes())
	return request, body, arrived, refusal
}

// errMemory says that the bodies in progress take all the memory that they may.
var errMemory = errors.New("too many bodies are in progress")

// heldReader counts the bytes of a body as they are read.
type heldReader struct {
	reader io.Reader
	server *Server
}

// Read reads, and fails when the bodies in progress take too much.
func (h heldReader) Read(buffer []byte) (int, error) {
	n, err := h.reader.Read(buffer)
	if h.server.held.Add(int64(n)) > h.server.BodyMemory {
		return n, errMemory
	}
	return n, err
}

// readBody reads a whole body. What it holds is given back with the answer, or at once if it is refused.
func (c *connection) readBody(request *http.Request, limit int64) ([]byte, *refused) {
	size := request.ContentLength
	if size < 0 || size > largeBody {
		size = bodyStart
	}
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := io.Copy(body, heldReader{io.LimitReader(request.Body, limit+1), c.server})
	if n > limit || err != nil {
		c.server.held.Add(-n)
	}
	switch {
	case errors.Is(err, errMemory):
		return nil, &refused{status: http.StatusServiceUnavailable, cause: err}
	case n > limit:
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body is too long")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(http.StatusRequestTimeout, "the body took too long")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errGone
	case err != nil:
		return nil, refuse(http.StatusBadRequest, "the body cannot be read: "+err.Error())
	}
	return body.Bytes(), nil
}

// awaitHead waits until a whole head is in the buffer and checks what the parser would let pass.
func (c *connection) awaitHead(limit int) *refused {
	if c.reader.Size() < limit+headSlack {
		c.reader = bufio.NewReaderSize(c.reader, limit+headSlack)
	}
	for {
		head, _ := c.reader.Peek(c.reader.Buffered())
		if blank := len(head) - len(bytes.TrimLeft(head, "\r\n")); blank > 0 {
			// Empty lines before a request are passed over, as RFC 9112 asks.
			_, _ = c.reader.Discard(blank)
			continue
		}
		if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
			if end+len("\r\n\r\n") > limit {
				return refuse(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
			}
			return checkHead(head[:end])
		}
		if c.reader.Buffered() > limit {
			return refuse(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
		}
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return refuse(http.StatusRequestTimeout, "the head took too long")
		}
		if err != nil {
			return errGone
		}
	}
}

// checkHead refuses heads whose body could be read in two ways: bare line feeds, folded lines, several lengths, or a
// length beside an encoding.
func checkHead(head []byte) *refused {
	hosts, lengths, encodings := 0, 0, 0
	for n, line := range bytes.Split(head, []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return refuse(http.StatusBadRequest, "a line of the head holds a bare line end")
		}
		if n == 0 {
			continue
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return refuse(http.StatusBadRequest, "a line of the head is folded")
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if hosts > 1 || lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return refuse(http.StatusBadRequest, "the head names several hosts, lengths or encodings")
	}
	return nil
}

// framing are the headers of an answer that concern its connection; head writes those of this one.
var framing = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true}

// head renders the status line and the header of an answer.
func head(answer comfreyvale.Answer, last bool) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(answer.Status()) + " " + http.StatusText(answer.Status()) + "\r\n")
	// A buffer takes all that is written to it.
	_ = answer.Header().WriteSubset(&b, framing)
	if answer.Status() != http.StatusNoContent && answer.Status() != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(contentLength(answer)) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// contentLength is the length that the answer's head tells: of the body at hand, or as the upstream told it for a HEAD request.
func contentLength(answer comfreyvale.Answer) int {
	if told, err := strconv.Atoi(answer.Header().Get("Content-Length")); err == nil && len(answer.Body()) == 0 {
		return told
	}
	return len(answer.Body())
}
