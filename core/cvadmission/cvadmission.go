// Package cvadmission decides which request gets a free slot, which one waits, and which one is refused at once. It
// answers a load beyond the slots: a request that cannot be answered in time only makes others late.
package cvadmission

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale/core/cvinstance"
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
	// patienceMargin is how long before its last start a request takes any slot, so that one which comes free is not
	// missed between two looks.
	patienceMargin = 30 * time.Millisecond
	// crowdedShare is the part of a request's patience from which the expected wait of a new one counts as crowded.
	crowdedShare = 0.5
	// lateWait is how long a request waits that cannot be on time any more, such as one that is tried again.
	lateWait = 50 * time.Millisecond
)

// Admission holds the requests that wait for one group of upstreams. It is not safe for concurrent use.
type Admission struct {
	// Selector chooses the upstream.
	Selector *cvselector.Selector

	waiting  []*cvwaiter.Waiter
	interval time.Duration
	freed    time.Time
}

// Decision is what became of a request that entered.
type Decision int

// The verdicts.
const (
	// Refused requests cannot be answered in time.
	Refused Decision = iota
	// Granted requests have a slot.
	Granted
	// Waiting requests get a slot from Next, or are taken out by Leave.
	Waiting
)

// Enter grants a slot, lets the request wait, or refuses it. While there is time, a request rather waits than takes an
// upstream that is not expected to answer on time.
func (a *Admission) Enter(now time.Time, draw uint64, waiter *cvwaiter.Waiter) Decision {
	free := false
	if len(a.waiting) == 0 {
		granted := false
		if granted, free = a.grant(now, draw, waiter); granted {
			return Granted
		}
	}
	// With a slot free that is not expected to be in time, the request waits for a better one, and takes any in the end.
	if !free && !a.feasible(now, waiter) {
		return Refused
	}
	a.waiting = append(a.waiting, waiter)
	return Waiting
}

// grant gives a request a slot if there is one for it. Free says that there is one, in time or not.
func (a *Admission) grant(now time.Time, draw uint64, waiter *cvwaiter.Waiter) (granted, free bool) {
	var instance *cvinstance.Instance
	last := a.Selector.LatestStart(waiter.Need())
	need := waiter.Need().WithTurn(len(a.waiting) > 0)
	if now.Before(last.Add(-patienceMargin)) || a.crowded(last.Sub(waiter.EnteredAt())) {
		instance, free = a.Selector.PickBeforeTarget(now, draw, need)
	} else {
		instance, free = a.Selector.Pick(now, draw, need)
	}
	if instance == nil {
		return false, free
	}
	waiter.Grant(now, instance)
	return true, true
}

// crowded says whether so many wait that a late answer would make others late: a try on a slow machine holds its slot
// far into the time in which the machine is quick again.
func (a *Admission) crowded(patience time.Duration) bool {
	return len(a.waiting) > 1 && a.ExpectedWait() > time.Duration(crowdedShare*float64(patience))
}

// feasible says whether a request that enters now can be expected to get a slot before it is hopeless.
func (a *Admission) feasible(now time.Time, waiter *cvwaiter.Waiter) bool {
	return now.Add(a.ExpectedWait()).Before(a.lastWait(waiter))
}

// lastWait is until when a request waits: as long as it can be on time, or for a moment if it never could.
func (a *Admission) lastWait(waiter *cvwaiter.Waiter) time.Time {
	last := a.Selector.LatestStart(waiter.Need())
	if moment := waiter.EnteredAt().Add(lateWait); last.Before(moment) {
		last = moment
	}
	return last
}

// ExpectedWait is how long a request that enters now is expected to wait.
func (a *Admission) ExpectedWait() time.Duration {
	interval := a.interval
	if interval == 0 {
		interval = initialInterval
	}
	return time.Duration(len(a.waiting)+1) * interval
}

// Next grants a slot to the waiting request that needs it most of those that can use one, or returns false.
func (a *Admission) Next(now time.Time, draw uint64) (*cvwaiter.Waiter, bool) {
	slices.SortStableFunc(a.waiting, func(v, w *cvwaiter.Waiter) int { return a.compare(now, v, w) })
	for n, w := range a.waiting {
		if granted, _ := a.grant(now, draw, w); granted {
			a.waiting = slices.Delete(a.waiting, n, n+1)
			return w, true
		}
	}
	return nil, false
}

// compare orders requests: those that can still be on time first, then the more urgent, then the one whose time ends first.
func (a *Admission) compare(now time.Time, v, w *cvwaiter.Waiter) int {
	if c := cmp.Compare(a.late(now, v), a.late(now, w)); c != 0 {
		return c
	}
	if c := cmp.Compare(v.Need().Priority(), w.Need().Priority()); c != 0 {
		return c
	}
	return v.Need().Target().Compare(w.Need().Target())
}

// late is 1 for a request that no machine of usual speed answers on time any more, else 0.
func (a *Admission) late(now time.Time, waiter *cvwaiter.Waiter) int {
	if now.After(a.Selector.LatestStart(waiter.Need())) {
		return 1
	}
	return 0
}

// RecordRelease notes that a slot came free.
func (a *Admission) RecordRelease(now time.Time) {
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

// RemoveExpired takes out and returns the requests that have waited for as long as that could help them.
func (a *Admission) RemoveExpired(now time.Time) []*cvwaiter.Waiter {
	var found []*cvwaiter.Waiter
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if now.Before(a.lastWait(w)) {
			kept = append(kept, w)
			continue
		}
		found = append(found, w)
	}
	a.waiting = kept
	return found
}

// Len is the number of requests that wait.
func (a *Admission) Len() int { return len(a.waiting) }
