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
	// headSlack is the size of a read buffer beyond the limit for the request line and headers, in bytes.
	headSlack = 4 << 10
	// initialBodySize is the initial buffer size for a body of unknown length, and for a large body that may never
	// arrive.
	initialBodySize = 4 << 10
	// largeBodySize is the largest body, in bytes, whose buffer is allocated at once. The buffer of a larger body grows
	// as the body arrives.
	largeBodySize = 64 << 10
)

// requestError is an error with the status of the response that the caller gets before the connection is closed.
type requestError struct {
	status int
	cause  error
}

// Error returns the reason for which the request is refused.
func (e *requestError) Error() string { return e.cause.Error() }

// errDisconnected means that the caller disconnected, so that no response can be sent.
var errDisconnected = &requestError{cause: errors.New("caller disconnected")}

func newRequestError(status int, text string) *requestError {
	return &requestError{status: status, cause: errors.New(text)}
}

// receive reads one request with its complete body. It also returns the arrival time of the request.
func (c *connection) receive() (*http.Request, []byte, time.Time, *requestError) {
	arrived := time.Now()
	limits := c.server.Limits()
	c.conn.SetReadDeadline(arrived.Add(limits.HeaderTimeout()))
	if reqErr := c.awaitHead(limits.MaxHeaderBytes()); reqErr != nil {
		return nil, nil, arrived, reqErr
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, arrived, newRequestError(http.StatusBadRequest, "the request cannot be read: "+err.Error())
	}
	if request.Host == "" {
		return nil, nil, arrived, newRequestError(http.StatusBadRequest, "the request names no host")
	}
	if request.Body == nil || request.Body == http.NoBody {
		return request, nil, arrived, nil
	}
	if request.ContentLength > limits.MaxBodyBytes() {
		return nil, nil, arrived, newRequestError(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	c.conn.SetReadDeadline(arrived.Add(bodyTimeout))
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") && c.idle() {
		// An error is ignored: a caller that does not get this response sends the body after a while.
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, reqErr := c.readBody(request, limits.MaxBodyBytes())
	return request, body, arrived, reqErr
}

// errBodyMemoryFull means that the bodies of the requests in progress exceed Server.BodyMemory.
var errBodyMemoryFull = errors.New("request bodies exceed the body memory")

// countingReader adds the bytes that it reads to the server's body memory in use.
type countingReader struct {
	reader io.Reader
	server *Server
}

// Read reads bytes of the body. It returns errBodyMemoryFull if the body memory of the server is exceeded.
func (r countingReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if r.server.bodyBytes.Add(int64(n)) > r.server.BodyMemory {
		return n, errBodyMemoryFull
	}
	return n, err
}

// readBody reads a complete body. The memory of the body is released by endRequest, or at once if the request is
// refused.
func (c *connection) readBody(request *http.Request, limit int64) ([]byte, *requestError) {
	size := request.ContentLength
	if size < 0 || size > largeBodySize {
		size = initialBodySize
	}
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	n, err := io.Copy(body, countingReader{io.LimitReader(request.Body, limit+1), c.server})
	if n > limit || err != nil {
		c.server.bodyBytes.Add(-n)
	}
	switch {
	case errors.Is(err, errBodyMemoryFull):
		return nil, &requestError{status: http.StatusServiceUnavailable, cause: err}
	case n > limit:
		return nil, newRequestError(http.StatusRequestEntityTooLarge, "the body is too long")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRequestError(http.StatusRequestTimeout, "the body took too long")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errDisconnected
	case err != nil:
		return nil, newRequestError(http.StatusBadRequest, "the body cannot be read: "+err.Error())
	}
	return body.Bytes(), nil
}

// awaitHead waits until the buffer holds the complete request line and headers. It rejects heads with errors that
// http.ReadRequest accepts.
func (c *connection) awaitHead(limit int) *requestError {
	if c.reader.Size() < limit+headSlack {
		c.reader = bufio.NewReaderSize(c.reader, limit+headSlack)
	}
	for {
		head, _ := c.reader.Peek(c.reader.Buffered())
		if blank := len(head) - len(bytes.TrimLeft(head, "\r\n")); blank > 0 {
			// Empty lines before a request are skipped, as RFC 9112 requires.
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

// checkHead rejects request heads that another server could parse differently (request smuggling): bare line ends, NUL
// bytes, folded lines, several Host, Content-Length or Transfer-Encoding headers, or a Content-Length beside a
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

// framingHeaders are the headers that describe the framing of a message or the connection. They are not copied from the
// response that Handle returns; renderHead writes the values for the caller's connection.
var framingHeaders = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true}

// renderHead returns the status line and the headers of a response, in wire format.
func renderHead(response comfreyvale.Answer, last bool) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(response.Status()) + " " + http.StatusText(response.Status()) + "\r\n")
	// A write to a bytes.Buffer never fails.
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

// contentLength returns the value of the response's Content-Length header: the length of the body, or the header's
// value in the response that Handle returns if the body is empty, as for a HEAD request.
func contentLength(response comfreyvale.Answer) int {
	if length, err := strconv.Atoi(response.Header().Get("Content-Length")); err == nil && len(response.Body()) == 0 {
		return length
	}
	return len(response.Body())
}
