// Package cvconfiguration provides the services in force at one generation of the configuration.
package cvconfiguration

import (
	"cmp"
	"slices"

	"comfreyvale/core/cvservice"
)

// Configuration is the set of services in force. It is immutable.
type Configuration struct {
	generation int64
	services   []*cvservice.Service
}

// New returns a configuration. Services with a host name match before services for any host. Within each of the
// two sets, services with longer path prefixes match first.
func New(generation int64, services []*cvservice.Service) *Configuration {
	ordered := slices.Clone(services)
	slices.SortFunc(ordered, compareMatchOrder)
	return &Configuration{generation: generation, services: ordered}
}

func compareMatchOrder(a, b *cvservice.Service) int {
	if (a.Host() == "*") != (b.Host() == "*") {
		if a.Host() == "*" {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(len(b.PathPrefix()), len(a.PathPrefix())); c != 0 {
		return c
	}
	return cmp.Compare(a.Name(), b.Name())
}

// Generation returns the log offset of the last accepted publication, or 0 for none.
func (c *Configuration) Generation() int64 { return c.generation }

// Services returns all services, in the order in which they match.
func (c *Configuration) Services() []*cvservice.Service { return c.services }

// Match returns the first service that matches the host and path of a request, or false if there is none.
func (c *Configuration) Match(host, path string) (*cvservice.Service, bool) {
	for _, s := range c.services {
		if s.Matches(host, path) {
			return s, true
		}
	}
	return nil, false
}

// Overlap returns two services with the same host and path prefix, or false if there are none.
func (c *Configuration) Overlap() (a, b *cvservice.Service, found bool) {
	type match struct{ host, prefix string }
	first := make(map[match]*cvservice.Service, len(c.services))
	for _, s := range c.services {
		m := match{s.Host(), s.PathPrefix()}
		if first[m] != nil {
			return first[m], s, true
		}
		first[m] = s
	}
	return nil, nil, false
}
