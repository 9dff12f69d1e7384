// Package cvrequest defines an HTTP request that the balancer sends to an upstream.
package cvrequest

import (
	"net/http"
	"time"
)

// Request is a complete request with its body. It is immutable.
type Request struct {
	id     string
	method string
	target string
	host   string
	header http.Header
	parts  [][]byte
	// deadline is when the caller stops waiting.
	deadline time.Time
	// nonIdempotent is set if the request must not run twice.
	nonIdempotent bool
}

// New returns a request that may run twice and has no deadline. The target is that of the request line as the caller sent
// it, header holds the end-to-end headers alone, and body the parts of the body.
func New(id, method, target, host string, header http.Header, body ...[]byte) *Request {
	return &Request{id: id, method: method, target: target, host: host, header: header, parts: body}
}

// WithDeadline returns a copy with the time at which the caller stops waiting.
func (r *Request) WithDeadline(deadline time.Time) *Request {
	c := *r
	c.deadline = deadline
	return &c
}

// WithNonIdempotent returns a copy that must not run twice if nonIdempotent is set, and may otherwise.
func (r *Request) WithNonIdempotent(nonIdempotent bool) *Request {
	c := *r
	c.nonIdempotent = nonIdempotent
	return &c
}

// WithHeader returns a copy with other end-to-end headers.
func (r *Request) WithHeader(header http.Header) *Request {
	c := *r
	c.header = header
	return &c
}

// Deadline returns the time at which the caller stops waiting.
func (r *Request) Deadline() time.Time { return r.deadline }

// NonIdempotent reports whether the request must not run twice.
func (r *Request) NonIdempotent() bool { return r.nonIdempotent }

// ID returns the id that the caller gave the request.
func (r *Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Target returns the request target of the request line as the caller sent it.
func (r *Request) Target() string { return r.target }

// Host returns the value of the Host header.
func (r *Request) Host() string { return r.host }

// Header returns the end-to-end headers, which must not be modified.
func (r *Request) Header() http.Header { return r.header }

// Parts returns the parts of the complete body, which must not be modified.
func (r *Request) Parts() [][]byte { return r.parts }

// Size returns the length of the body in bytes.
func (r *Request) Size() int {
	size := 0
	for _, p := range r.parts {
		size += len(p)
	}
	return size
}
