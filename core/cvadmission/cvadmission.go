// Package cvadmission decides which request gets a free slot, which one waits, and which one is refused at once. It
// answers a load beyond the slots: a request that cannot be answered in time only makes others late.
package cvadmission

import (
	"time"

	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvwaiter"
)

const (
	// rateGain is the weight of one more interval in the average time between two slots that come free.
	rateGain = 0.1
	// initialInterval is expected between two free slots before any came free.
	initialInterval = 20 * time.Millisecond
	// longestInterval bounds an interval that idleness has stretched.
	longestInterval = 250 * time.Millisecond
)

// Admission holds the requests that wait for one group of upstreams. It is not safe for concurrent use.
type Admission struct {
	// Selector chooses the upstream.
	Selector *cvselector.Selector

	waiting  []*cvwaiter.Waiter
	interval time.Duration
	freed    time.Time
}

// Verdict is what became of a request that entered.
type Verdict int

// The verdicts.
const (
	// Refused requests cannot be answered in time.
	Refused Verdict = iota
	// Granted requests have a slot.
	Granted
	// Waiting requests get a slot from Next, or are taken out by Leave.
	Waiting
)

// Enter grants a slot, lets the request wait, or refuses it.
func (a *Admission) Enter(now time.Time, draw uint64, waiter *cvwaiter.Waiter) Verdict {
	if len(a.waiting) == 0 {
		if instance, ok := a.Selector.Pick(now, draw, waiter.Need()); ok {
			waiter.Grant(now, instance)
			return Granted
		}
	}
	if !a.feasible(now, waiter) {
		return Refused
	}
	a.waiting = append(a.waiting, waiter)
	return Waiting
}

// feasible says whether a request that enters now can be expected to end before its deadline.
func (a *Admission) feasible(now time.Time, waiter *cvwaiter.Waiter) bool {
	return !now.Add(a.Wait() + a.Selector.Work()).After(waiter.Need().Deadline())
}

// Wait is how long a request that enters now is expected to wait.
func (a *Admission) Wait() time.Duration {
	interval := a.interval
	if interval == 0 {
		interval = initialInterval
	}
	return time.Duration(len(a.waiting)+1) * interval
}

// Next grants a slot to the waiting request that needs it most, or returns false.
func (a *Admission) Next(now time.Time, draw uint64) (*cvwaiter.Waiter, bool) {
	best := -1
	for n, w := range a.waiting {
		if best < 0 || a.before(now, w, a.waiting[best]) {
			best = n
		}
	}
	if best < 0 {
		return nil, false
	}
	w := a.waiting[best]
	instance, ok := a.Selector.Pick(now, draw, w.Need())
	if !ok {
		return nil, false
	}
	w.Grant(now, instance)
	a.waiting = append(a.waiting[:best], a.waiting[best+1:]...)
	return w, true
}

// before says whether one request goes before another: those that can still be on time, then the more urgent, then the
// one whose time ends first.
func (a *Admission) before(now time.Time, one, other *cvwaiter.Waiter) bool {
	soonest := now.Add(a.Selector.Work())
	oneTimely, otherTimely := !soonest.After(one.Need().Target()), !soonest.After(other.Need().Target())
	if oneTimely != otherTimely {
		return oneTimely
	}
	if one.Need().Priority() != other.Need().Priority() {
		return one.Need().Priority() < other.Need().Priority()
	}
	return one.Need().Target().Before(other.Need().Target())
}

// Freed notes that a slot came free.
func (a *Admission) Freed(now time.Time) {
	if !a.freed.IsZero() {
		interval := min(now.Sub(a.freed), longestInterval)
		if a.interval == 0 {
			a.interval = initialInterval
		}
		a.interval += time.Duration(rateGain * float64(interval-a.interval))
	}
	a.freed = now
}

// Leave takes a request out of the queue; false says that it was granted a slot before.
func (a *Admission) Leave(waiter *cvwaiter.Waiter) bool {
	for n, w := range a.waiting {
		if w == waiter {
			a.waiting = append(a.waiting[:n], a.waiting[n+1:]...)
			return true
		}
	}
	return false
}

// Hopeless takes out and returns the requests that cannot end before their deadlines any more.
func (a *Admission) Hopeless(now time.Time) []*cvwaiter.Waiter {
	var found []*cvwaiter.Waiter
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if now.Add(a.Selector.Work()).After(w.Need().Deadline()) {
			found = append(found, w)
			continue
		}
		kept = append(kept, w)
	}
	a.waiting = kept
	return found
}

// Len is the number of requests that wait.
func (a *Admission) Len() int { return len(a.waiting) }
