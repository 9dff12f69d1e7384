// Package cvclass defines classes of calls within a service.
package cvclass

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"comfreyvale"
)

// Class is a class of calls that share a timeout, slots and a priority. It is immutable.
type Class struct {
	name           string
	methods        []string
	pathPrefix     string
	idempotent     string
	timeout        time.Duration
	timeoutSetting comfreyvale.Setting
	slotShare      float64
	priority       int
}

// New returns a class that matches every call.
func New(name string) Class { return Class{name: name, pathPrefix: "/", idempotent: "byMethod"} }

// WithMatch returns a copy restricted to the methods (all if none) and the path prefix. idempotent is byMethod, true or
// false.
func (c Class) WithMatch(methods []string, pathPrefix, idempotent string) Class {
	c.methods = methods
	c.pathPrefix = pathPrefix
	c.idempotent = idempotent
	return c
}

// WithTimeout returns a copy with a timeout and the setting that defines it.
func (c Class) WithTimeout(timeout time.Duration, setting comfreyvale.Setting) Class {
	c.timeout = timeout
	c.timeoutSetting = setting
	return c
}

// WithSlots returns a copy with another SlotShare and Priority.
func (c Class) WithSlots(share float64, priority int) Class {
	c.slotShare = share
	c.priority = priority
	return c
}

// Name returns the class's name.
func (c Class) Name() string { return c.name }

// Timeout returns the time limit of a complete call.
func (c Class) Timeout() time.Duration { return c.timeout }

// TimeoutSetting returns the setting that defines the timeout.
func (c Class) TimeoutSetting() comfreyvale.Setting { return c.timeoutSetting }

// SlotShare returns the fraction of the service's slots that the class may use, from 0 to 1.
func (c Class) SlotShare() float64 { return c.slotShare }

// Priority returns the priority of waiting calls; lower numbers go first.
func (c Class) Priority() int { return c.priority }

// Matches reports whether a call belongs to the class.
func (c Class) Matches(method, path string) bool {
	if len(c.methods) > 0 && !slices.Contains(c.methods, method) {
		return false
	}
	return strings.HasPrefix(path, c.pathPrefix)
}

// Idempotent reports whether a call with the given method may be executed again without harm.
func (c Class) Idempotent(method string) bool {
	if c.idempotent != "byMethod" {
		return c.idempotent == "true"
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
