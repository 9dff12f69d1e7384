// Package cvcall is one call of a caller, as far as the balancer has read it.
package cvcall

import (
	"net/http"
	"time"

	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvservice"
)

// Call is a request that has been read whole and belongs to a service.
type Call struct {
	id       string
	service  *cvservice.Service
	class    cvclass.Class
	method   string
	target   string
	header   http.Header
	body     []byte
	key      string
	deadline time.Time
}

// New returns a call of a service, with its request id and deadline.
func New(id string, service *cvservice.Service, class cvclass.Class, deadline time.Time) *Call {
	return &Call{id: id, service: service, class: class, deadline: deadline}
}

// WithRequest returns the call with the request's method, target (path and query), end-to-end headers and whole body.
func (c *Call) WithRequest(method, target string, header http.Header, body []byte) *Call {
	c.method = method
	c.target = target
	c.header = header
	c.body = body
	return c
}

// WithKey returns the call with its idempotency key.
func (c *Call) WithKey(key string) *Call {
	c.key = key
	return c
}

// ID is the request id.
func (c *Call) ID() string { return c.id }

// Service is the service as configured when the call arrived.
func (c *Call) Service() *cvservice.Service { return c.service }

// Class is the call's class.
func (c *Call) Class() cvclass.Class { return c.class }

// Method is the request's method.
func (c *Call) Method() string { return c.method }

// Target is the request's path and query.
func (c *Call) Target() string { return c.target }

// Header holds the request's end-to-end headers.
func (c *Call) Header() http.Header { return c.header }

// Body is the request's whole body.
func (c *Call) Body() []byte { return c.body }

// Key is the idempotency key, or empty.
func (c *Call) Key() string { return c.key }

// Deadline is when the caller stops waiting.
func (c *Call) Deadline() time.Time { return c.deadline }

// Repeatable says whether the call may be sent to an upstream more than once.
func (c *Call) Repeatable() bool { return c.class.Idempotent(c.method) }
