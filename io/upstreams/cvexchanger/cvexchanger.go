// Package cvexchanger implements a pool of HTTP connections to the upstreams of a service.
package cvexchanger

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvhttpstatus"
	"comfreyvale/io/balancers/cvtransport"
	"comfreyvale/io/callers/cvheader"
)

const (
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 90 * time.Second
	// keyHeader is canonicalKeyHeader in lower case. net/http resends a request whose header map has the canonical form.
	keyHeader          = "idempotency-key"
	canonicalKeyHeader = "Idempotency-Key"
	// maxInterimResponses limits the interim responses before a response.
	maxInterimResponses = 4
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Exchanger manages the connections to the upstreams of one service. It is safe for concurrent use.
type Exchanger struct {
	// MaxConnections limits the open connections to one upstream. Set it before the first call.
	MaxConnections int

	once      sync.Once
	transport *cvtransport.Transport
}

func (e *Exchanger) init() {
	dialer := &net.Dialer{Timeout: connectTimeout}
	e.transport = cvtransport.New(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     e.MaxConnections,
		MaxIdleConnsPerHost: e.MaxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
}

// Exchange sends a request at most once and returns when the response header has arrived. It modifies the request's URL
// and header; the caller must close the response body. KindUnavailable means that no byte was sent, KindUncertain that
// the request may have been sent. A response that carries the ID of another request is refused. One that states that the
// request did not run loses this statement unless it carries the request's ID or is the first of its connection, because
// it may be a second copy of an earlier one. One with a status that cannot reach a caller is refused.
func (e *Exchanger) Exchange(ctx context.Context, upstream comfreyvale.VM, request *http.Request) (*http.Response, error) {
	e.once.Do(e.init)
	var connected, reused atomic.Bool
	var conn atomic.Pointer[net.Conn]
	var interim atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(info.Reused)
			conn.Store(&info.Conn)
		},
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error { return checkInterim(code, header, interim.Add(1)) },
	})
	request = request.WithContext(ctx)
	request.URL.Scheme = "http"
	request.URL.Host = upstream.Address()
	sendOnce(request)
	response, err := e.transport.RoundTrip(request)
	if err == nil && !cvhttpstatus.Status(response.StatusCode).Final() {
		response.Body.Close()
		// net/http has released the connection if the response has no body, so another request may lose its response.
		(*conn.Load()).Close()
		return nil, fail("exchange", comfreyvale.KindUncertain, errors.Errorf("the status of the response is %q", response.Status))
	}
	if err == nil {
		return checkIdentity(request, response, reused.Load())
	}
	if connected.Load() {
		return nil, fail("exchange", comfreyvale.KindUncertain, err)
	}
	return nil, fail("exchange", comfreyvale.KindUnavailable, err)
}

// checkInterim returns an error, which closes the connection, for an interim response that announces a body, and for the
// count-th of too many. net/http does not limit those that it hands over.
func checkInterim(code int, header textproto.MIMEHeader, count int32) error {
	if cvhttpstatus.InterimBody(http.Header(header), nil) {
		return errors.Errorf("an interim response with status %d announces a body", code)
	}
	if count > maxInterimResponses {
		return errors.Errorf("received more than %d interim responses", maxInterimResponses)
	}
	return nil
}

// checkIdentity returns an error for a response that carries the ID of another request. It removes the statement that the
// request did not run from one without an ID on a reused connection.
func checkIdentity(request *http.Request, response *http.Response, reused bool) (*http.Response, error) {
	id, want := response.Header.Get(cvheader.RequestID), request.Header.Get(cvheader.RequestID)
	if id != "" && id != want {
		response.Body.Close()
		return nil, fail("exchange", comfreyvale.KindUncertain, errors.Errorf("the response is to request %q", id))
	}
	if id == "" && reused {
		response.Header.Del(cvheader.Ran)
	}
	return response, nil
}

// sendOnce keeps net/http from sending a request a second time.
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

// emptyBody hides from net/http that a body is empty, because net/http may resend a request without a body.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }

// CheckFraming returns an error of KindInvalid if the end of a response cannot be told from a broken connection.
func (e *Exchanger) CheckFraming(response *http.Response) error {
	bodiless := response.Request != nil && response.Request.Method == http.MethodHead
	if bodiless || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	return fail("exchange", comfreyvale.KindInvalid, errors.New("the answer has neither a length nor chunks"))
}

// Close closes the idle connections.
func (e *Exchanger) Close() {
	e.once.Do(e.init)
	e.transport.CloseIdleConnections()
}

// String returns the name of the implementation.
func (e *Exchanger) String() string { return "http/1.1" }
