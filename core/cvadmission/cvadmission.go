// Package cvadmission decides whether a request to a group of upstreams gets a slot, waits or is refused.
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
	// intervalWeight is the weight of a new interval in the moving average of the time between two released slots.
	intervalWeight = 0.1
	// initialInterval is the first value of that moving average.
	initialInterval = 20 * time.Millisecond
	// maxInterval bounds one interval, because idle periods stretch intervals.
	maxInterval = 250 * time.Millisecond
	// latestStartMargin is how long before its latest start a request accepts any slot, so that it does not miss one
	// released between two checks.
	latestStartMargin = 30 * time.Millisecond
	// overloadShare is the fraction of a request's time from its entry to its latest start above which the expected
	// wait counts as overload.
	overloadShare = 0.5
	// minQueueTime is how long a queued request waits at least, even if it can no longer be answered on time, as a late
	// retry cannot.
	minQueueTime = 50 * time.Millisecond
)

// Admission queues the requests for one group of upstreams. It refuses requests that cannot be answered in time,
// because serving them would only delay others. It is not safe for concurrent use.
type Admission struct {
	// Selector chooses the upstream.
	Selector *cvselector.Selector
	// AboveShare returns how far a workspace is above its fair share of the upstreams: 0 if it is not. nil stands for
	// workspaces that never are.
	AboveShare func(now time.Time, workspace string) int

	waiting         []*cvwaiter.Waiter
	releaseInterval time.Duration
	lastRelease     time.Time
}

// Decision is the result of Enter.
type Decision int

// The possible decisions.
const (
	// Refused means that the request cannot be answered in time.
	Refused Decision = iota
	// Granted means that the request has a slot.
	Granted
	// Limited means that the request cannot be sent in time, because each upstream that could take it limits its requests.
	Limited
	// Waiting means that the request is queued until Next grants it a slot, or Leave or RemoveExpired removes it.
	Waiting
)

// Enter grants a slot, queues the request or refuses it. While there is time, a request waits rather than take a slot
// of an upstream that is not expected to answer on time. draw is a uniform random number.
func (a *Admission) Enter(now time.Time, draw uint64, waiter *cvwaiter.Waiter) Decision {
	free := false
	if len(a.waiting) == 0 {
		granted := false
		if granted, free = a.grant(now, draw, waiter); granted {
			return Granted
		}
	}
	if !free && a.limited(now, waiter) {
		return Limited
	}
	// While a slot is free, a request is not refused: it waits for a better slot and finally accepts any.
	if !free && !a.feasible(now, waiter) {
		return Refused
	}
	a.waiting = append(a.waiting, waiter)
	return Waiting
}

// grant gives the request a suitable free slot. free reports whether any slot is free, even one that is not expected to
// answer on time.
func (a *Admission) grant(now time.Time, draw uint64, waiter *cvwaiter.Waiter) (granted, free bool) {
	var instance *cvinstance.Instance
	latest := a.Selector.LatestStart(waiter.Need())
	need := waiter.Need().WithTurn(len(a.waiting) > 0)
	if now.Before(latest.Add(-latestStartMargin)) || a.overloaded(latest.Sub(waiter.EnteredAt())) {
		instance, free = a.Selector.PickBeforeTarget(now, draw, need)
	} else {
		instance, free = a.Selector.Pick(now, draw, need)
	}
	if instance == nil {
		return false, free
	}
	waiter.Grant(now, instance, a.Selector.HeldBack())
	return true, true
}

// overloaded reports whether so many requests wait that an attempt on a slow machine would delay others: such
// an attempt holds its slot long after the machine has recovered.
func (a *Admission) overloaded(maxWait time.Duration) bool {
	return len(a.waiting) > 1 && a.ExpectedWait() > time.Duration(overloadShare*float64(maxWait))
}

// feasible reports whether a request that enters now can expect a slot before its wait deadline.
func (a *Admission) feasible(now time.Time, waiter *cvwaiter.Waiter) bool {
	return now.Add(a.expectedWaitBehind(a.ahead(now, waiter))).Before(a.waitDeadline(waiter))
}

// ahead returns the number of waiting requests but those that go behind a request which enters now because their
// workspaces are further above their fair share. Otherwise a queue full of one workspace's requests would make those of
// the others be refused.
func (a *Admission) ahead(now time.Time, waiter *cvwaiter.Waiter) int {
	if a.AboveShare == nil {
		return len(a.waiting)
	}
	count, steps := 0, a.steps(now)
	own := steps(waiter)
	for _, w := range a.waiting {
		if comparePriority(w, waiter) < 0 || steps(w) <= own {
			count++
		}
	}
	return count
}

// steps returns a function that returns how far a request's workspace is above its fair share. It asks once for each
// workspace.
func (a *Admission) steps(now time.Time) func(w *cvwaiter.Waiter) int {
	if a.AboveShare == nil {
		return func(*cvwaiter.Waiter) int { return 0 }
	}
	known := make(map[string]int)
	return func(w *cvwaiter.Waiter) int {
		name := w.Need().Workspace()
		if name == "" {
			return 0
		}
		steps, ok := known[name]
		if !ok {
			steps = a.AboveShare(now, name)
			known[name] = steps
		}
		return steps
	}
}

// limited reports whether the upstreams limit their requests so much that there will be no permit for a request which
// enters now, behind those that wait.
func (a *Admission) limited(now time.Time, waiter *cvwaiter.Waiter) bool {
	permits, _, limited := a.Selector.PermitsBefore(now, a.waitDeadline(waiter), waiter.Need())
	return limited && permits <= a.ahead(now, waiter)
}

// waitDeadline returns a request's latest start, but at least minQueueTime after it entered.
func (a *Admission) waitDeadline(waiter *cvwaiter.Waiter) time.Time {
	deadline := a.Selector.LatestStart(waiter.Need())
	if least := waiter.EnteredAt().Add(minQueueTime); deadline.Before(least) {
		deadline = least
	}
	return deadline
}

// ExpectedWait returns the expected wait of a request that enters now.
func (a *Admission) ExpectedWait() time.Duration { return a.expectedWaitBehind(len(a.waiting)) }

func (a *Admission) expectedWaitBehind(waiting int) time.Duration {
	interval := a.releaseInterval
	if interval == 0 {
		interval = initialInterval
	}
	return time.Duration(waiting+1) * interval
}

// Next grants a slot to the most urgent waiting request that can use one, or returns false.
func (a *Admission) Next(now time.Time, draw uint64) (*cvwaiter.Waiter, bool) {
	steps := a.steps(now)
	slices.SortStableFunc(a.waiting, func(v, w *cvwaiter.Waiter) int { return a.compare(now, v, w, steps) })
	for n, w := range a.waiting {
		if granted, _ := a.grant(now, draw, w); granted {
			a.waiting = slices.Delete(a.waiting, n, n+1)
			return w, true
		}
	}
	return nil, false
}

// compare sorts requests that can still be on time first, then by the priority of the workspace, then by that of the
// route, then those of workspaces that are not above their fair share, then by target time.
func (a *Admission) compare(now time.Time, v, w *cvwaiter.Waiter, steps func(w *cvwaiter.Waiter) int) int {
	if c := cmp.Compare(a.late(now, v), a.late(now, w)); c != 0 {
		return c
	}
	if c := comparePriority(v, w); c != 0 {
		return c
	}
	if c := cmp.Compare(steps(v), steps(w)); c != 0 {
		return c
	}
	return v.Need().Target().Compare(w.Need().Target())
}

// comparePriority sorts requests by the priority of the workspace, then by that of the route.
func comparePriority(v, w *cvwaiter.Waiter) int {
	if c := cmp.Compare(v.Need().WorkspacePriority(), w.Need().WorkspacePriority()); c != 0 {
		return c
	}
	return cmp.Compare(v.Need().Priority(), w.Need().Priority())
}

// late returns 1 if a machine of normal speed can no longer answer the request on time, else 0.
func (a *Admission) late(now time.Time, waiter *cvwaiter.Waiter) int {
	if now.After(a.Selector.LatestStart(waiter.Need())) {
		return 1
	}
	return 0
}

// RecordRelease records that a slot was released.
func (a *Admission) RecordRelease(now time.Time) {
	if !a.lastRelease.IsZero() {
		interval := min(now.Sub(a.lastRelease), maxInterval)
		if a.releaseInterval == 0 {
			a.releaseInterval = initialInterval
		}
		a.releaseInterval += time.Duration(intervalWeight * float64(interval-a.releaseInterval))
	}
	a.lastRelease = now
}

// Leave removes a request from the queue. It returns false if it is not queued, for example because it has a slot.
func (a *Admission) Leave(waiter *cvwaiter.Waiter) bool {
	for n, w := range a.waiting {
		if w == waiter {
			a.waiting = append(a.waiting[:n], a.waiting[n+1:]...)
			return true
		}
	}
	return false
}

// RemoveExpired removes and returns the requests whose wait deadline has passed, and those whose upstreams are all in
// evacuated data centres.
func (a *Admission) RemoveExpired(now time.Time) []*cvwaiter.Waiter {
	var expired []*cvwaiter.Waiter
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if now.Before(a.waitDeadline(w)) && len(a.Selector.Evacuated(now, w.Need())) == 0 {
			kept = append(kept, w)
			continue
		}
		expired = append(expired, w)
	}
	a.waiting = kept
	return expired
}

// Len returns the number of waiting requests.
func (a *Admission) Len() int { return len(a.waiting) }
