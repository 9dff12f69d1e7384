// Package cvpermits counts out the requests that one balancer may send to an upstream which limits its requests.
//
// The load it answers: an upstream takes a few requests a second from all balancers together, or less than one, while
// each balancer could send it more than that alone. Time is divided into periods so short that one request each keeps to
// the limit. Each period belongs to one balancer, which needs no word from the others to use it: neither a silent nor a
// paused balancer makes another send too much. A permit lapses a second after its period began, or with its period, so
// that what was not used does not add up.
package cvpermits

import (
	"math"
	"time"
)

const (
	// maxLifetime is how long after the start of its period a permit may be used at most.
	maxLifetime = time.Second
	// stepsPerOctave is the number of period lengths between a length and its double. Coarse steps keep the periods when
	// a limit changes a little, and cost at most a sixth of the limit.
	stepsPerOctave = 4
	// maxSingleLimit is the limit, in requests a second, above which a period has several permits.
	maxSingleLimit = 64
	// sharedPeriod is the length of those periods.
	sharedPeriod = 125 * time.Millisecond
	// maxPeriod bounds the length of a period.
	maxPeriod = time.Hour
	// maxClockStep is the largest step back of the clock that is waited out.
	maxClockStep = 10 * time.Second
	// maxLookAhead bounds the periods that Count looks at.
	maxLookAhead = 256
)

// Permits are the requests that this balancer may send to one upstream. The zero value has none. It is not safe for
// concurrent use.
type Permits struct {
	length time.Duration
	// each is the number of permits of a period.
	each int
	// next is the first period that may have permits left; used of them were taken. owned is set once it is known to
	// belong to this balancer.
	next  int64
	used  int
	owned bool
	// lifetime is how long after the start of its period a permit may be used, or 0 for maxLifetime.
	lifetime time.Duration
}

// SetLimit sets the limit in requests a second. If the length of the periods changes, the first permits are those of the
// next period: in the present one, others may have used permits for the limit before.
func (p *Permits) SetLimit(now time.Time, perSecond float64) {
	length, each := periods(perSecond)
	if length != p.length {
		p.length = length
		p.skipTo(p.number(now) + 1)
	}
	p.each = each
}

// SetLifetime sets how long after the start of its period a permit may be used, at most maxLifetime. It applies to the
// permits that are left, too.
func (p *Permits) SetLifetime(lifetime time.Duration) { p.lifetime = min(lifetime, maxLifetime) }

// periods returns the length of a limit's periods and the number of permits in each.
func periods(perSecond float64) (length time.Duration, each int) {
	if perSecond > maxSingleLimit {
		return sharedPeriod, int(perSecond * sharedPeriod.Seconds())
	}
	steps := math.Ceil(-stepsPerOctave * math.Log2(perSecond))
	seconds := min(math.Exp2(steps/stepsPerOctave), maxPeriod.Seconds())
	return time.Duration(seconds * float64(time.Second)), 1
}

// Available reports whether a permit is left. owns reports whether a period belongs to this balancer.
func (p *Permits) Available(now time.Time, owns func(period int64) bool) bool {
	present := p.number(now)
	if steppedBack := time.Duration(min(p.next-present-1, maxLookAhead)) * p.length; steppedBack > maxClockStep {
		p.skipTo(present + 1)
	}
	lifetime := p.lifetime
	if lifetime <= 0 {
		lifetime = maxLifetime
	}
	if oldest := min(present, p.number(now.Add(-lifetime))+1); p.next < oldest {
		p.skipTo(oldest)
	}
	for p.next <= present {
		p.owned = p.owned || owns(p.next)
		if p.owned && p.used < p.each {
			return true
		}
		p.skipTo(p.next + 1)
	}
	return false
}

// Take uses a permit. Call it after Available has reported true.
func (p *Permits) Take() { p.used++ }

// Count returns how many permits this balancer has until a time, those that are left now included. Beyond maxLookAhead
// periods it is an estimate.
func (p *Permits) Count(now, until time.Time, owns func(period int64) bool) int {
	count := 0
	if p.Available(now, owns) {
		count = p.each - p.used
	}
	last := p.number(until)
	first := min(p.next, p.number(now)) + 1
	for period := first; period <= min(last, first+maxLookAhead); period++ {
		if owns(period) {
			count += p.each
		}
	}
	return count + int(max(last-first-maxLookAhead, 0))
}

// number returns the number of the period at a time. It follows the wall clock, on which balancers agree.
func (p *Permits) number(at time.Time) int64 { return at.UnixNano() / int64(p.length) }

func (p *Permits) skipTo(period int64) { p.next, p.used, p.owned = period, 0, false }
