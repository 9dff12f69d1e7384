// Package cvroute defines a route: which requests it matches and how the balancer serves them.
package cvroute

import (
	"time"

	"comfreyvale/core/cvsplit"
)

// Route describes how requests for a host and a path prefix are served. It is immutable.
type Route struct {
	name           string
	host           string
	prefix         string
	idempotent     bool
	largeResponses bool
	timeout        time.Duration
	targetLatency  time.Duration
	maxAttempts    int
	priority       int
	public         bool
	largeRequests  bool
	regions        []string
	splits         []cvsplit.Split
}

// New returns a route for requests that are not idempotent and have one attempt.
func New(name, host, prefix string, splits ...cvsplit.Split) *Route {
	return &Route{name: name, host: host, prefix: prefix, maxAttempts: 1, splits: splits}
}

// WithIdempotent returns a copy of r for requests that may run more than once, and sets whether their responses are
// large.
func (r *Route) WithIdempotent(largeResponses bool) *Route {
	c := *r
	c.idempotent = true
	c.largeResponses = largeResponses
	return &c
}

// WithTimes returns a copy of r with the request timeout and the target latency; 0 means none.
func (r *Route) WithTimes(timeout, targetLatency time.Duration) *Route {
	c := *r
	c.timeout = timeout
	c.targetLatency = targetLatency
	return &c
}

// WithMaxAttempts returns a copy of r with the maximum number of attempts per request. Below 1, it counts as 1.
func (r *Route) WithMaxAttempts(maxAttempts int) *Route {
	c := *r
	c.maxAttempts = maxAttempts
	return &c
}

// WithPriority returns a copy of r with the given priority; 0 is the most urgent.
func (r *Route) WithPriority(priority int) *Route {
	c := *r
	c.priority = priority
	return &c
}

// WithPublic returns a copy of r whose requests need no API key and belong to no workspace.
func (r *Route) WithPublic(public bool) *Route {
	c := *r
	c.public = public
	return &c
}

// WithLargeRequests returns a copy of r whose requests have large bodies.
func (r *Route) WithLargeRequests() *Route {
	c := *r
	c.largeRequests = true
	return &c
}

// WithRegions returns a copy of r whose requests may only be sent to upstreams in the given regions; none means any.
func (r *Route) WithRegions(regions []string) *Route {
	c := *r
	c.regions = regions
	return &c
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host name that the route matches.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix that the route matches.
func (r *Route) Prefix() string { return r.prefix }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// LargeResponses reports whether responses are large, so that the location of the upstream matters.
func (r *Route) LargeResponses() bool { return r.largeResponses }

// Timeout returns the maximum time that a request waits for its response, or 0 for no limit.
func (r *Route) Timeout() time.Duration { return r.timeout }

// TargetLatency returns the target latency of a response, or 0 if none is set.
func (r *Route) TargetLatency() time.Duration { return r.targetLatency }

// MaxAttempts returns the maximum number of attempts per request, the first included.
func (r *Route) MaxAttempts() int { return max(r.maxAttempts, 1) }

// StatedMaxAttempts returns the number of attempts as it was configured, which may be 0 or less.
func (r *Route) StatedMaxAttempts() int { return r.maxAttempts }

// Priority returns the priority of the route; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Public reports whether requests need no API key and belong to no workspace.
func (r *Route) Public() bool { return r.public }

// LargeRequests reports whether requests have large bodies.
func (r *Route) LargeRequests() bool { return r.largeRequests }

// Regions returns the regions whose upstreams may get the route's requests, or none for any. The slice must not be
// modified.
func (r *Route) Regions() []string { return r.regions }

// Splits returns the groups of upstreams that serve the route, with their weights. The slice must not be modified.
func (r *Route) Splits() []cvsplit.Split { return r.splits }
