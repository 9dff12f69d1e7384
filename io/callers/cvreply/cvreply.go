// Package cvreply is an upstream's answer on its way to the caller.
package cvreply

import (
	"io"
	"net/http"
	"sync"
)

// Reply holds an answer: whole, or its beginning and the rest still to be read.
type Reply struct {
	upstream string
	response *http.Response
	held     []byte
	rest     io.Reader
	close    func(whole bool)
	once     sync.Once
}

// New returns a reply of an upstream. A nil rest says that the held bytes are the whole body.
// The function is called once, with whether the whole body was read.
func New(upstream string, response *http.Response, held []byte, rest io.Reader, closed func(whole bool)) *Reply {
	return &Reply{upstream: upstream, response: response, held: held, rest: rest, close: closed}
}

// Upstream is the name of the upstream that answered.
func (r *Reply) Upstream() string { return r.upstream }

// Status is the answer's HTTP status.
func (r *Reply) Status() int { return r.response.StatusCode }

// Header holds the answer's headers as received.
func (r *Reply) Header() http.Header { return r.response.Header }

// Trailer holds the trailers, once the body was read.
func (r *Reply) Trailer() http.Header { return r.response.Trailer }

// Length is the length of the whole body in bytes, or -1 when it is not known.
func (r *Reply) Length() int64 { return r.response.ContentLength }

// Buffered is the body, or its beginning.
func (r *Reply) Buffered() []byte { return r.held }

// Complete says whether the held bytes are the whole body.
func (r *Reply) Complete() bool { return r.rest == nil }

// Rest reads what follows the held bytes. Its end is io.EOF only when the body was whole.
func (r *Reply) Rest() io.Reader { return r.rest }

// Close frees the upstream's slot. A body that was not read whole costs the connection.
func (r *Reply) Close(whole bool) {
	r.once.Do(func() { r.close(whole) })
}
