// Package cvrequest is a caller's request as it is sent on.
package cvrequest

import "net/http"

// Request is a whole request. It never changes.
type Request struct {
	id     string
	method string
	target string
	host   string
	header http.Header
	body   []byte
}

// New returns a request with the caller's id. The target is the request line's, byte for byte; the header holds what
// travels on.
func New(id, method, target, host string, header http.Header, body []byte) *Request {
	return &Request{id: id, method: method, target: target, host: host, header: header, body: body}
}

// ID is the caller's id of the request.
func (m *Request) ID() string { return m.id }

// Method is the HTTP method.
func (m *Request) Method() string { return m.method }

// Target is the request line's target as the caller sent it.
func (m *Request) Target() string { return m.target }

// Host is the Host header.
func (m *Request) Host() string { return m.host }

// Header holds the end-to-end headers.
func (m *Request) Header() http.Header { return m.header }

// Body is the whole body.
func (m *Request) Body() []byte { return m.body }
