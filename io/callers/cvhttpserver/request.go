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
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvmemory"
	"comfreyvale/io/balancers/cvbodies"
)

// headSlack is the size of a read buffer beyond the limit for the request line and headers, in bytes.
const headSlack = 4 << 10

// requestError is the reason why a request is rejected, with the status of the connection's last response.
type requestError struct {
	status int
	cause  error
}

func (e *requestError) Error() string { return e.cause.Error() }

// errDisconnected means that no response can be sent.
var errDisconnected = &requestError{cause: errors.New("caller disconnected")}

func newRequestError(status int, text string) *requestError {
	return &requestError{status: status, cause: errors.New(text)}
}

// received is a request with its complete body.
type received struct {
	request *http.Request
	body    [][]byte
	// memory holds the body, and later the answers to the request.
	memory  *cvbodies.Holder
	arrived time.Time
}

// receive reads one request with its complete body. The memory is set also if it fails.
func (c *connection) receive() (received, *requestError) {
	r := received{memory: c.server.Memory.Holder(c.caller), arrived: time.Now()}
	limits := c.server.Limits()
	c.conn.SetReadDeadline(r.arrived.Add(limits.HeaderTimeout()))
	if reqErr := c.awaitHead(limits.MaxHeaderBytes()); reqErr != nil {
		return r, reqErr
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return r, newRequestError(http.StatusBadRequest, "the request cannot be read: "+withoutQuoted(err))
	}
	if request.Host == "" {
		return r, newRequestError(http.StatusBadRequest, "the request names no host")
	}
	r.request = request
	if request.Body == nil || request.Body == http.NoBody {
		return r, nil
	}
	if request.ContentLength > limits.MaxBodyBytes() {
		return r, newRequestError(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	c.conn.SetReadDeadline(r.arrived.Add(bodyTimeout))
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") && c.idle() {
		// The error is ignored: a caller that does not get this response sends the body after a while.
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	var reqErr *requestError
	r.body, reqErr = c.readBody(r, limits.MaxBodyBytes())
	return r, reqErr
}

// withoutQuoted returns the text of a parser's error without the part of the request that it quotes, which may hold an API
// key.
func withoutQuoted(err error) string {
	text := err.Error()
	if end := strings.IndexAny(text, ":\""); end >= 0 {
		text = text[:end]
	}
	return strings.TrimSpace(text)
}

// readBody reads a complete body.
func (c *connection) readBody(r received, limit int64) ([][]byte, *requestError) {
	abort := func() { c.conn.SetReadDeadline(time.Now()) }
	body, err := r.memory.Receive(r.request.Body, cvmemory.KindRequest, c.caller, r.request.ContentLength, limit, abort)
	switch {
	case err == nil:
		return body, nil
	case cvfault.KindOf(err) == comfreyvale.KindExhausted:
		return nil, &requestError{status: http.StatusServiceUnavailable, cause: err}
	case cvfault.KindOf(err) == comfreyvale.KindLimited:
		return nil, newRequestError(http.StatusRequestEntityTooLarge, "the body is too long")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRequestError(http.StatusRequestTimeout, "the body took too long")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errDisconnected
	}
	return nil, newRequestError(http.StatusBadRequest, "the body cannot be read: "+withoutQuoted(err))
}

// awaitHead waits until the buffer holds the request line and headers. It rejects errors that http.ReadRequest accepts.
func (c *connection) awaitHead(limit int) *requestError {
	if c.reader.Size() < limit+headSlack {
		c.reader = bufio.NewReaderSize(c.reader, limit+headSlack)
	}
	for {
		head, _ := c.reader.Peek(c.reader.Buffered())
		if blank := len(head) - len(bytes.TrimLeft(head, "\r\n")); blank > 0 {
			// RFC 9112 requires that empty lines before a request are skipped.
			_, _ = c.reader.Discard(blank)
			continue
		}
		if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
			if end+len("\r\n\r\n") > limit {
				return newRequestError(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
			}
			return checkHead(head[:end])
		}
		if c.reader.Buffered() > limit {
			return newRequestError(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
		}
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return newRequestError(http.StatusRequestTimeout, "the head took too long")
		}
		if err != nil {
			return errDisconnected
		}
	}
}

// checkHead rejects heads that another server could parse differently (request smuggling): bare line ends, NUL bytes,
// folded lines, blanks in header names, several Host, Content-Length or Transfer-Encoding headers, or Content-Length with
// Transfer-Encoding.
func checkHead(head []byte) *requestError {
	hosts, lengths, encodings := 0, 0, 0
	for n, line := range bytes.Split(head, []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return newRequestError(http.StatusBadRequest, "a line of the head holds a bare line end")
		}
		if n == 0 {
			continue
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return newRequestError(http.StatusBadRequest, "a line of the head is folded")
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(name, " \t"):
			// http.ReadRequest takes such a name for another header.
			return newRequestError(http.StatusBadRequest, "a header name of the head holds a blank")
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if hosts > 1 || lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return newRequestError(http.StatusBadRequest, "the head names several hosts, lengths or encodings")
	}
	return nil
}

// framingHeaders are not copied from the response of Handle; renderHead writes the values for the caller's connection.
var framingHeaders = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true}

func renderHead(response comfreyvale.Answer, last bool) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(response.Status()) + " " + http.StatusText(response.Status()) + "\r\n")
	// Writes to a bytes.Buffer never fail.
	_ = response.Header().WriteSubset(&b, framingHeaders)
	if response.Status() != http.StatusNoContent && response.Status() != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(contentLength(response)) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// contentLength returns the length of the body or, if it is empty, as for a HEAD request, the value of the
// Content-Length header.
func contentLength(response comfreyvale.Answer) int {
	if length, err := strconv.Atoi(response.Header().Get("Content-Length")); err == nil && response.Size() == 0 {
		return length
	}
	return response.Size()
}
