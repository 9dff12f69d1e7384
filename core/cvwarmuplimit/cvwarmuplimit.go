// Package cvwarmuplimit computes how an upstream that is warming up must be limited.
//
// The load it handles: the users' bound on the requests of any second allows more than the rate that the upstream takes
// in the long run. Permits by periods, which need no messages between balancers, can be used for some time after their period
// began, so that a second may hold those of a longer time. The rate and that time are chosen so that they fit the bound.
package cvwarmuplimit

import "time"

const (
	// minLifetime is the least time for which a permit may be used, so that requests find permits when they arrive.
	minLifetime = 250 * time.Millisecond
	// maxLifetime is that of a permit of a limit that an upstream names.
	maxLifetime = time.Second
	// minEndRequests and endShare, as a share of the requests a second, are how many requests the periods at both ends of
	// a second add. Above 64 requests a second, a period has those of an eighth of a second.
	minEndRequests = 2.0
	endShare       = 0.25
	// leastShare is the least share of the bound that is used: a bound of a few requests has no room for its ends.
	leastShare = 0.25
)

// Limit is the limit of an upstream that is warming up. The zero value is for none. It is immutable.
type Limit struct {
	perSecond float64
	lifetime  time.Duration
}

// New returns the limit for upstreams that take perSecond requests a second, 0 for any number, where each second may
// have over times as many and slack in addition.
func New(perSecond, over, slack float64) Limit {
	if perSecond <= 0 {
		return Limit{}
	}
	bound := perSecond*over + slack
	inside := bound - max(minEndRequests, endShare*perSecond)
	rate := min(perSecond, max(inside/(1+minLifetime.Seconds()), leastShare*bound))
	lifetime := time.Duration((inside/rate - 1) * float64(time.Second))
	return Limit{perSecond: rate, lifetime: min(max(lifetime, minLifetime), maxLifetime)}
}

// PerSecond returns the requests a second of all balancers together, or 0 for no limit.
func (l Limit) PerSecond() float64 { return l.perSecond }

// Lifetime returns for how long a permit may be used after its period began.
func (l Limit) Lifetime() time.Duration { return l.lifetime }
