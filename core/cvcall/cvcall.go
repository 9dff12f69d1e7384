// Package cvcall defines a caller's request as the balancer has read it.
package cvcall

import (
	"net/http"
	"time"

	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvservice"
)

// Call is a fully read request to a service. It is not safe for concurrent modification.
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

// New returns a call to a service; id is the request ID.
func New(id string, service *cvservice.Service, class cvclass.Class, deadline time.Time) *Call {
	return &Call{id: id, service: service, class: class, deadline: deadline}
}

// WithRequest sets the method, target (path and query), end-to-end headers and complete body, and returns the call.
func (c *Call) WithRequest(method, target string, header http.Header, body []byte) *Call {
	c.method = method
	c.target = target
	c.header = header
	c.body = body
	return c
}

// WithKey sets the idempotency key and returns the call.
func (c *Call) WithKey(key string) *Call {
	c.key = key
	return c
}

// ID returns the request ID.
func (c *Call) ID() string { return c.id }

// Service returns the service as configured when the call arrived.
func (c *Call) Service() *cvservice.Service { return c.service }

// Class returns the call's class.
func (c *Call) Class() cvclass.Class { return c.class }

// Method returns the request's method.
func (c *Call) Method() string { return c.method }

// Target returns the request's path and query.
func (c *Call) Target() string { return c.target }

// Header returns the request's end-to-end headers.
func (c *Call) Header() http.Header { return c.header }

// Body returns the request's complete body.
func (c *Call) Body() []byte { return c.body }

// Key returns the idempotency key, or an empty string.
func (c *Call) Key() string { return c.key }

// Deadline returns the time at which the caller stops waiting.
func (c *Call) Deadline() time.Time { return c.deadline }

// Repeatable reports whether the call may be sent to an upstream more than once.
func (c *Call) Repeatable() bool { return c.class.Idempotent(c.method) }
