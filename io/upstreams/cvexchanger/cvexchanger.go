// Package cvexchanger is the pool of HTTP connections to upstreams.
package cvexchanger

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

const (
	// connectTimeout is how long opening a connection may take.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
	// keyHeader is written in lower case: net/http sends a request again by itself if it finds the canonical name.
	keyHeader          = "idempotency-key"
	canonicalKeyHeader = "Idempotency-Key"
	// maxHeaderBytes is the size of the largest head of an answer.
	maxHeaderBytes = 64 << 10
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Exchanger keeps connections to the upstreams of one service.
type Exchanger struct {
	// MaxConnections is how many connections are opened to one upstream at most.
	MaxConnections int

	once      sync.Once
	transport *http.Transport
}

func (e *Exchanger) init() {
	dialer := &net.Dialer{Timeout: connectTimeout}
	e.transport = &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        e.MaxConnections,
		MaxIdleConnsPerHost:    e.MaxConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Exchange sends a request and returns the answer's head. The request is sent at most once.
// An error of KindUnavailable means that no byte was sent, one of KindUncertain that some may have been.
func (e *Exchanger) Exchange(ctx context.Context, upstream comfreyvale.VM, request *http.Request) (*http.Response, error) {
	e.once.Do(e.init)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request = request.WithContext(ctx)
	request.URL.Scheme = "http"
	request.URL.Host = upstream.Address()
	sendOnce(request)
	response, err := e.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, fail("exchange", comfreyvale.KindUncertain, err)
	}
	return nil, fail("exchange", comfreyvale.KindUnavailable, err)
}

// sendOnce keeps net/http from sending a request a second time by itself.
func sendOnce(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = emptyBody{}
	}
	if key, ok := request.Header[canonicalKeyHeader]; ok {
		delete(request.Header, canonicalKeyHeader)
		request.Header[keyHeader] = key
	}
}

// emptyBody is a body without bytes that net/http does not know to be empty.
type emptyBody struct{}

// Read returns the end of the body.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }

// CheckFraming says whether an answer's end can be told from a broken connection.
func (e *Exchanger) CheckFraming(response *http.Response) error {
	bodiless := response.Request != nil && response.Request.Method == http.MethodHead
	if bodiless || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	return fail("exchange", comfreyvale.KindInvalid, errors.New("the answer has neither a length nor chunks"))
}

// Close ends the idle connections.
func (e *Exchanger) Close() {
	e.once.Do(e.init)
	e.transport.CloseIdleConnections()
}

// String names the implementation.
func (e *Exchanger) String() string { return "http/1.1" }
