// Package cvtransport implements an HTTP/1 client transport that refuses responses with malformed headers or trailers.
package cvtransport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"comfreyvale/core/cvheadscanner"
)

// maxHeaderBytes limits the head of a response.
const maxHeaderBytes = 64 << 10

// Transport is an http.RoundTripper. It does not check responses over TLS. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// New returns a transport that opens and keeps connections as base does, which must not be used any more.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	base.MaxResponseHeaderBytes = maxHeaderBytes
	return &Transport{base: base}
}

// NewClient returns a client with the default settings of net/http but for the limit of heads.
func NewClient() *http.Client {
	return &http.Client{Transport: New(http.DefaultTransport.(*http.Transport).Clone())}
}

// RoundTrip sends a request and returns when the head of the response has arrived.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.awaitResponse()
			}
		},
	})
	return t.base.RoundTrip(request.WithContext(ctx))
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// conn checks what is read from a connection.
type conn struct {
	net.Conn

	mu sync.Mutex
	// scanner is nil before the first request.
	scanner *cvheadscanner.Scanner
}

// awaitResponse makes the next byte that is read the first one of a response.
func (c *conn) awaitResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = &cvheadscanner.Scanner{}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scanner == nil {
		return n, err
	}
	if scanErr := c.scanner.Scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}
