// Package cvreply defines an upstream's response, complete or partly read.
package cvreply

import (
	"io"
	"net/http"
	"sync"
)

// Reply is an upstream's response. Either the complete body is in memory, or its beginning is in memory and
// the rest is still to be read.
type Reply struct {
	upstream string
	response *http.Response
	buffered []byte
	rest     io.Reader
	close    func(complete bool)
	once     sync.Once
}

// New returns a reply. If rest is nil, buffered is the complete body. The first call of Close calls onClose.
func New(upstream string, response *http.Response, buffered []byte, rest io.Reader, onClose func(complete bool)) *Reply {
	return &Reply{upstream: upstream, response: response, buffered: buffered, rest: rest, close: onClose}
}

// Upstream returns the name of the upstream.
func (r *Reply) Upstream() string { return r.upstream }

// Status returns the HTTP status code.
func (r *Reply) Status() int { return r.response.StatusCode }

// Header returns the headers as received.
func (r *Reply) Header() http.Header { return r.response.Header }

// Trailer returns the trailers, which are complete once the body has been read to its end.
func (r *Reply) Trailer() http.Header { return r.response.Trailer }

// Length returns the length of the complete body in bytes, or -1 if it is unknown.
func (r *Reply) Length() int64 { return r.response.ContentLength }

// Buffered returns the body or its beginning.
func (r *Reply) Buffered() []byte { return r.buffered }

// Complete reports whether the buffered bytes are the complete body.
func (r *Reply) Complete() bool { return r.rest == nil }

// Rest returns a reader for the body after the buffered bytes, or nil if there is no more. It returns io.EOF only at
// the end of a complete body.
func (r *Reply) Rest() io.Reader { return r.rest }

// Close releases the reply's memory and, if Rest is not nil, the upstream's slot. If complete is false, Rest was not
// read to its end and the connection to the upstream is closed. Only the first call has an effect.
func (r *Reply) Close(complete bool) {
	r.once.Do(func() { r.close(complete) })
}
