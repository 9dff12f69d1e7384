// Package cvgroup defines the configuration of a group of upstreams.
package cvgroup

import "time"

// Group is a set of upstreams that serve the same requests.
type Group struct {
	name           string
	healthPath     string
	maxConnections int
	warmUp         time.Duration
	warmUpPerS     float64
}

// New returns a group of upstreams.
func New(name, healthPath string, maxConnections int) Group {
	return Group{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// WithWarmUp returns a copy of g whose upstreams warm up for a time after a start or a restart of their caches, in which
// each takes perSecond requests a second from all balancers together; 0 means no limit.
func (g Group) WithWarmUp(warmUp time.Duration, perSecond float64) Group {
	g.warmUp, g.warmUpPerS = warmUp, perSecond
	return g
}

// Name returns the name of the group.
func (g Group) Name() string { return g.name }

// HealthPath returns the path of the health check of an upstream.
func (g Group) HealthPath() string { return g.healthPath }

// MaxConnections returns the number of connections that one upstream accepts from all balancers together.
func (g Group) MaxConnections() int { return g.maxConnections }

// WarmUp returns how long an upstream warms up, or 0.
func (g Group) WarmUp() time.Duration { return g.warmUp }

// WarmUpPerS returns how many requests a second an upstream takes from all balancers together while it warms up, or 0
// for no limit.
func (g Group) WarmUpPerS() float64 { return g.warmUpPerS }
