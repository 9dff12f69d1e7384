// Package cvclass is a class of calls within a service.
package cvclass

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"comfreyvale"
)

// Class is a class of calls that share a time limit, slots and a priority.
type Class struct {
	name       string
	methods    []string
	pathPrefix string
	idempotent string
	timeout    time.Duration
	setting    comfreyvale.Setting
	slotShare  float64
	priority   int
}

// New returns a class that fits every call.
func New(name string) Class { return Class{name: name, pathPrefix: "/", idempotent: "byMethod"} }

// WithMatch returns the class for the methods, or all when there are none, and the path prefix.
// Idempotent is byMethod, true or false.
func (c Class) WithMatch(methods []string, pathPrefix, idempotent string) Class {
	c.methods = methods
	c.pathPrefix = pathPrefix
	c.idempotent = idempotent
	return c
}

// WithTimeout returns the class with a time limit and the setting that it comes from.
func (c Class) WithTimeout(timeout time.Duration, setting comfreyvale.Setting) Class {
	c.timeout = timeout
	c.setting = setting
	return c
}

// WithSlots returns the class with its share of the service's slots and its priority.
func (c Class) WithSlots(share float64, priority int) Class {
	c.slotShare = share
	c.priority = priority
	return c
}

// Name is the class's name.
func (c Class) Name() string { return c.name }

// Timeout is the time for a whole call.
func (c Class) Timeout() time.Duration { return c.timeout }

// TimeoutSetting is the setting that the time limit comes from.
func (c Class) TimeoutSetting() comfreyvale.Setting { return c.setting }

// SlotShare is the share of the service's slots that the class may hold.
func (c Class) SlotShare() float64 { return c.slotShare }

// Priority orders waiting calls; lower numbers go first.
func (c Class) Priority() int { return c.priority }

// Matches says whether a call belongs to the class.
func (c Class) Matches(method, path string) bool {
	if len(c.methods) > 0 && !slices.Contains(c.methods, method) {
		return false
	}
	return strings.HasPrefix(path, c.pathPrefix)
}

// Idempotent says whether a call of the class may be run again without harm.
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
