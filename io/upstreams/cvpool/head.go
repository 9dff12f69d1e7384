package cvpool

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/pkg/errors"

	"comfreyvale/core/cvfieldlines"
	"comfreyvale/core/cvhttpstatus"
)

// protocolName begins each status line.
const protocolName = "HTTP/"

// readHead reads the head of a response. It fails for a response that cannot reach a caller, after which it is not known
// where the next response begins.
func (c *connection) readHead(method string) (*http.Response, error) {
	// The end of a line that is no status line may never arrive.
	for n := 1; n <= len(protocolName); n++ {
		start, err := c.reader.Peek(n)
		if err != nil {
			return nil, err
		}
		if start[n-1] != protocolName[n-1] {
			return nil, errors.Errorf("it begins with %q and not with a status line", start)
		}
	}
	head, err := c.peekBlock()
	if err != nil {
		return nil, err
	}
	statusLine, lines, _ := bytes.Cut(head, []byte("\n"))
	if err := cvfieldlines.CheckAll(lines); err != nil {
		return nil, err
	}
	if bytes.HasPrefix(statusLine, []byte("HTTP/1.0")) && cvfieldlines.Contain(lines, "Transfer-Encoding") {
		// http.ReadResponse ignores the header there.
		return nil, errors.New("a response of HTTP/1.0 names a transfer encoding")
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	status := cvhttpstatus.Status(response.StatusCode)
	if !status.Interim() && !status.Final() {
		return nil, errors.Errorf("its status is %q", response.Status)
	}
	if status.Interim() && cvhttpstatus.InterimBody(response.Header, response.TransferEncoding) {
		return nil, errors.Errorf("its status is %q, which has no body, but a body is announced", response.Status)
	}
	return response, nil
}

// peekBlock waits until the buffer holds the lines up to the next empty one, and returns them with the empty one.
func (c *connection) peekBlock() ([]byte, error) {
	for searched := 0; ; {
		block, _ := c.reader.Peek(c.reader.Buffered())
		if end := blockEnd(block, searched); end > 0 {
			return block[:end], nil
		}
		// A line end may be split.
		searched = max(len(block)-len("\r\n"), 0)
		if len(block) >= maxHeadBytes {
			return nil, errors.Errorf("the head or the trailers are longer than %d bytes", maxHeadBytes)
		}
		if len(block) == c.reader.Size() {
			buffered := bytes.NewReader(bytes.Clone(block))
			c.reader = bufio.NewReaderSize(io.MultiReader(buffered, c.conn), maxHeadBytes)
		}
		if _, err := c.reader.Peek(len(block) + 1); err != nil {
			return nil, err
		}
	}
}

// blockEnd returns the length of a block of lines with the empty one that ends it, or 0. It ignores line ends before an
// offset.
func blockEnd(text []byte, from int) int {
	for n := from; n < len(text); n++ {
		if text[n] != '\n' {
			continue
		}
		rest := text[n+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return n + 2
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return n + 3
		}
	}
	return 0
}

// body returns the body of a response.
func (c *connection) body(response *http.Response) io.Reader {
	if response.Body == http.NoBody || len(response.TransferEncoding) == 0 {
		return response.Body
	}
	return &chunkedBody{connection: c, chunks: httputil.NewChunkedReader(c.reader)}
}

// chunkedBody reads a body in chunks and discards its trailers. It fails if these are malformed.
type chunkedBody struct {
	connection *connection
	chunks     io.Reader
	// end is the error of all further reads.
	end error
}

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.end != nil {
		return 0, b.end
	}
	n, b.end = b.chunks.Read(p)
	if b.end == io.EOF {
		if err := b.connection.discardTrailers(); err != nil {
			b.end = err
		}
	}
	return n, b.end
}

// discardTrailers reads the trailers behind the last chunk, and the empty line that ends them.
func (c *connection) discardTrailers() error {
	first, err := c.reader.Peek(1)
	if err == nil && first[0] == '\r' {
		first, err = c.reader.Peek(2)
	}
	if err != nil {
		return errors.Wrap(err, "read the trailers")
	}
	length := len(first)
	if first[length-1] != '\n' {
		block, err := c.peekBlock()
		if err != nil {
			return errors.Wrap(err, "read the trailers")
		}
		if err := cvfieldlines.CheckAll(block); err != nil {
			return err
		}
		length = len(block)
	}
	_, err = c.reader.Discard(length)
	return err
}
