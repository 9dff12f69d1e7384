// Package cvmessage defines an HTTP request that the balancer sends to an upstream.
package cvmessage

import "net/http"

// Message is a complete request with its body. It is immutable and safe for concurrent use.
type Message struct {
	id     string
	method string
	target string
	host   string
	header http.Header
	body   []byte
}

// New returns a request with the id that the caller gave it. The target is the request target of the caller's request
// line, byte for byte. The header holds only the end-to-end headers.
func New(id, method, target, host string, header http.Header, body []byte) *Message {
	return &Message{id: id, method: method, target: target, host: host, header: header, body: body}
}

// ID returns the id that the caller gave the request.
func (r *Message) ID() string { return r.id }

// Method returns the HTTP method.
func (r *Message) Method() string { return r.method }

// Target returns the request target of the request line as the caller sent it.
func (r *Message) Target() string { return r.target }

// Host returns the value of the Host header.
func (r *Message) Host() string { return r.host }

// Header returns the end-to-end headers, which must not be modified.
func (r *Message) Header() http.Header { return r.header }

// Body returns the complete body, which must not be modified.
func (r *Message) Body() []byte { return r.body }
