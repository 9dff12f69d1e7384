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
	// initialBodySize is the first buffer size, in bytes, for a body of unknown length or a large one, which may never
	// arrive.
	initialBodySize = 4 << 10
	// largeBodySize is the size, in bytes, above which a body's buffer is not allocated at once but grows with the
	// body.
	largeBodySize = 64 << 10
)

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

// receive reads one request with its complete body, and returns its arrival time.
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
		// The error is ignored: a caller that does not get this response sends the body after a while.
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, reqErr := c.readBody(request, limits.MaxBodyBytes())
	return request, body, arrived, reqErr
}

// errBodyMemoryFull means that the bodies in progress exceed Server.BodyMemory.
var errBodyMemoryFull = errors.New("request bodies exceed the body memory")

// countingReader adds the bytes that it reads to the server's body memory in use.
type countingReader struct {
	reader io.Reader
	server *Server
}

// Read returns errBodyMemoryFull if the body memory is exceeded.
func (r countingReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if r.server.bodyBytes.Add(int64(n)) > r.server.BodyMemory {
		return n, errBodyMemoryFull
	}
	return n, err
}

// readBody reads a complete body. Its memory is released by endRequest, or at once if the request is refused.
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
// folded lines, several Host, Content-Length or Transfer-Encoding headers, or Content-Length with Transfer-Encoding.
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
	if length, err := strconv.Atoi(response.Header().Get("Content-Length")); err == nil && len(response.Body()) == 0 {
		return length
	}
	return len(response.Body())
}
