// Package cvroute is one route: which requests it takes and how they are to be served.
package cvroute

import (
	"time"

	"comfreyvale/core/cvsplit"
)

// Route takes the requests of a host whose path begins with a prefix. It never changes.
type Route struct {
	name       string
	host       string
	prefix     string
	idempotent bool
	large      bool
	timeout    time.Duration
	target     time.Duration
	attempts   int
	priority   int
	splits     []cvsplit.Split
}

// New returns a route for requests that are not idempotent and may be sent to one upstream.
func New(name, host, prefix string, splits ...cvsplit.Split) *Route {
	return &Route{name: name, host: host, prefix: prefix, attempts: 1, splits: splits}
}

// WithIdempotent returns the route for requests that may run more than once; large says that their answers are big.
func (r *Route) WithIdempotent(large bool) *Route {
	changed := *r
	changed.idempotent = true
	changed.large = large
	return &changed
}

// WithTimes returns the route with the longest time for a request and the time within which an answer is on time.
func (r *Route) WithTimes(timeout, target time.Duration) *Route {
	changed := *r
	changed.timeout = timeout
	changed.target = target
	return &changed
}

// WithMaxAttempts returns the route with the number of upstreams that one request may be sent to.
func (r *Route) WithMaxAttempts(attempts int) *Route {
	changed := *r
	changed.attempts = max(attempts, 1)
	return &changed
}

// WithPriority returns the route with its rank; 0 is the most urgent.
func (r *Route) WithPriority(priority int) *Route {
	changed := *r
	changed.priority = priority
	return &changed
}

// Name is the route's name.
func (r *Route) Name() string { return r.name }

// Host is the host name of the route's requests.
func (r *Route) Host() string { return r.host }

// Prefix is what the paths of the route's requests begin with.
func (r *Route) Prefix() string { return r.prefix }

// Idempotent says whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// LargeResponses says whether answers are big, so that where they come from matters.
func (r *Route) LargeResponses() bool { return r.large }

// Timeout is the longest time that a request may be kept waiting, or 0 for no limit.
func (r *Route) Timeout() time.Duration { return r.timeout }

// TargetLatency is the time within which an answer is on time, or 0 if none is set.
func (r *Route) TargetLatency() time.Duration { return r.target }

// MaxAttempts is how many upstreams one request may be sent to.
func (r *Route) MaxAttempts() int { return r.attempts }

// Priority is the route's rank; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Splits are the groups of upstreams that serve the route, with their weights.
func (r *Route) Splits() []cvsplit.Split { return r.splits }
