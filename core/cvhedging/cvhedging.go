// Package cvhedging decides when an idempotent request gets a second attempt beside one that takes long.
//
// The load it answers: upstreams on machines that are slow for 300 ms at a time, a quarter to a third of the time, so
// that durations have two modes, and operators who accept a limited share of extra work. A second attempt helps only if
// it starts early enough to be answered on time; and it must not take a slot that other requests need.
package cvhedging

import (
	"time"

	"comfreyvale/core/cvdurations"
)

const (
	// usualQuantile is the quantile of the durations that a second attempt is expected to take. It goes to an upstream that
	// is not reported slow, so it lies within the durations of machines at normal speed.
	usualQuantile = 0.5
	// shortestQuantile is the quantile of the durations that a second attempt takes at least. When less time is left
	// until the target, it is too late.
	shortestQuantile = 0.15
	// workQuantile is the quantile of the durations that approximates the work on a machine of normal speed.
	workQuantile = 0.35
	// longQuantile is the quantile of the durations that a second attempt gets at least before the deadline.
	longQuantile = 0.9
	// checkInterval is the time between two checks while something is in the way of a hedge, and while the upstream's
	// report may still arrive: that of balancers' messages.
	checkInterval = 20 * time.Millisecond
	// latestMargin is how long before the latest moment a second attempt starts. Where durations hardly differ, the moment
	// from which it is too late is so close that a timer which fires a millisecond late would miss it.
	latestMargin = 20 * time.Millisecond
	// unknownInterval is the time between two checks while too few durations are known.
	unknownInterval = 100 * time.Millisecond
	// maxReportDistance is how far from the start of an attempt a report may be and still tell its machine's speed: half
	// of the time for which machines are slow.
	maxReportDistance = 150 * time.Millisecond
	// minSlowness is the reported slowness from which a machine counts as slow.
	minSlowness = 1.5
	// maxUtilization is the share of taken slots above which no request is hedged. Only slots count in which upstreams don't
	// slow down, as balancers leave the others free: of three slots they use two, so that the utilization of all slots never
	// reaches 0.7. With a bound of 0.7 of all slots, 0.46 of the reads were late in a simulation of 30 balancers and
	// upstreams of two slots at 0.8 of the capacity, and 0.39 without hedges.
	maxUtilization = 0.5
	// An attempt that takes long though its machine was reported to be quick is hedged only up to maxUnexplainedUtilization,
	// and while no more than maxUnexplainedShare of the extra work is spent. Most of these requests take more work wherever
	// they run, but the upstream may also hang. With a share of 0.5, 0.126 of the reads were late in a simulation of 118
	// balancers at 0.3 of the capacity, with 0.2 it was 0.121.
	maxUnexplainedUtilization = 0.3
	maxUnexplainedShare       = 0.2
	// maxRetryBudgetShare is the used share of the retry budget above which no request is hedged, to keep the rest for
	// retries.
	maxRetryBudgetShare = 0.75
	// minMissShare is the share of the attempts as old as this one that miss the deadline, from which a request that
	// cannot be on time any more is hedged.
	minMissShare = 0.5
)

// Reason says why a request is not hedged.
type Reason string

// The reasons.
const (
	// None means that nothing is in the way.
	None Reason = ""
	// Unknown means that too few durations of the route are known.
	Unknown Reason = "unknownDurations"
	// TooLate means that a second attempt could not have been on time when it was first considered.
	TooLate Reason = "tooLate"
	// RequestsWait means that requests waited for a slot.
	RequestsWait Reason = "requestsWait"
	// Busy means that too many slots were taken.
	Busy Reason = "busy"
	// Unexplained means that the upstream was reported to be quick, so that the request itself probably takes more work.
	Unexplained Reason = "unexplained"
	// ExtraWork means that the extra work that the operators accept was used up.
	ExtraWork Reason = "extraWork"
	// RetryBudget means that the rest of the retry budget was kept for retries.
	RetryBudget Reason = "retryBudget"
	// NoSlot means that no suitable upstream had a free slot.
	NoSlot Reason = "noSlot"
)

// Attempt is the only attempt in flight of an idempotent request. It is not safe for concurrent use.
type Attempt struct {
	startedAt, target, deadline time.Time
	// slowness is that of the report closest to the start, distance away from it; 0 before the first.
	slowness float64
	distance time.Duration
	// slowSince reports whether a report from after the start told that the machine is slow.
	slowSince bool
	// obstacle is what was last in the way of a hedge, and missed whether it was too late for an answer on time.
	obstacle Reason
	missed   bool
}

// New returns an attempt of a request whose answer is on time until target and useless after deadline.
func New(startedAt, target, deadline time.Time) *Attempt {
	return &Attempt{startedAt: startedAt, target: target, deadline: deadline}
}

// RecordSlowness records a report of the attempt's upstream: how many times as long as usual work takes on its machine.
func (a *Attempt) RecordSlowness(reportedAt time.Time, slowness float64) {
	distance := reportedAt.Sub(a.startedAt).Abs()
	if slowness <= 0 || distance > maxReportDistance {
		return
	}
	if a.slowness == 0 || distance <= a.distance {
		a.slowness, a.distance = slowness, distance
	}
	a.slowSince = a.slowSince || slowness >= minSlowness && !reportedAt.Before(a.startedAt)
}

// Obstacle returns what is in the way of a hedge to a group of upstreams: waiting is the number of requests that wait for
// a slot, utilization the taken share of the slots in which upstreams don't slow down, extraWorkLeft whether the extra
// work allows one more hedge, and retryBudgetUsed the used share of the retry budget.
func (a *Attempt) Obstacle(waiting int, utilization float64, extraWorkLeft bool, retryBudgetUsed float64) Reason {
	switch {
	case waiting > 0:
		return RequestsWait
	case utilization > maxUtilization:
		return Busy
	case a.unexplained() && utilization > maxUnexplainedUtilization:
		return Unexplained
	case !extraWorkLeft:
		return ExtraWork
	case retryBudgetUsed > maxRetryBudgetShare:
		return RetryBudget
	}
	return None
}

// RecordObstacle records what was in the way of a hedge that Decide asked for, and returns when to decide again.
func (a *Attempt) RecordObstacle(now time.Time, reason Reason) time.Time {
	a.obstacle = reason
	return now.Add(checkInterval)
}

// Decision is the result of Decide.
type Decision struct {
	hedge   bool
	checkAt time.Time
	gaveUp  Reason
}

// Hedge reports whether the second attempt should start now.
func (d Decision) Hedge() bool { return d.hedge }

// CheckAt returns when to decide again, or the zero time for never.
func (d Decision) CheckAt() time.Time { return d.checkAt }

// GaveUp returns why the request will not be hedged to be on time, once it is too late for that, else None. It is
// returned once for an attempt.
func (d Decision) GaveUp() Reason { return d.gaveUp }

// Decide decides whether to start the second attempt. extraWork is the share of the requests that may be hedged, spent
// the share of those of late that were.
func (a *Attempt) Decide(now time.Time, durations *cvdurations.Distribution, extraWork, spent float64) Decision {
	usual, known := durations.Quantile(now, usualQuantile)
	if !known {
		return a.decideUnknown(now)
	}
	shortest, _ := durations.Quantile(now, shortestQuantile)
	if now.After(a.target.Add(-shortest)) {
		return a.decideLate(now, durations, usual)
	}
	due := a.due(now, durations, usual, extraWork)
	if now.Before(due) {
		if now.Sub(a.startedAt) < maxReportDistance {
			// A report may still tell that the machine is slow.
			due = earlier(due, now.Add(checkInterval))
		}
		return Decision{checkAt: due}
	}
	if a.unexplained() && spent > maxUnexplainedShare*extraWork {
		return Decision{checkAt: a.RecordObstacle(now, Unexplained)}
	}
	return Decision{hedge: true}
}

// due returns when the second attempt should start. On a machine that was reported slow, if the answer would be late, it
// starts at once; if a report from before the start disagrees, once the attempt has taken longer than usual. Otherwise it
// starts at the latest when it can still be on time and, unless the machine was reported quick, before that at the
// quantile above which no more requests lie than may be hedged.
func (a *Attempt) due(now time.Time, durations *cvdurations.Distribution, usual time.Duration, extraWork float64) time.Time {
	latest := a.target.Add(-usual - latestMargin)
	if a.unexplained() {
		return latest
	}
	work, _ := durations.Quantile(now, workQuantile)
	switch {
	case a.startedAt.Add(time.Duration(a.slowness * float64(work))).After(a.target):
		return a.startedAt
	case a.slowSince:
		return earlier(a.startedAt.Add(usual), latest)
	}
	long, _ := durations.Quantile(now, 1-extraWork)
	return earlier(a.startedAt.Add(long), latest)
}

// unexplained reports whether the machine was reported to have its usual speed when the attempt started.
func (a *Attempt) unexplained() bool {
	return a.slowness > 0 && a.slowness < minSlowness && !a.slowSince
}

// decideUnknown waits until enough durations are known.
func (a *Attempt) decideUnknown(now time.Time) Decision {
	d := Decision{checkAt: now.Add(unknownInterval)}
	if now.After(a.target) {
		d.gaveUp = a.giveUp(Unknown)
	}
	if now.After(a.deadline) {
		d.checkAt = time.Time{}
	}
	return d
}

// decideLate decides for a request that a second attempt could not answer on time any more. It is hedged only if the
// caller's deadline would be missed otherwise.
func (a *Attempt) decideLate(now time.Time, durations *cvdurations.Distribution, usual time.Duration) Decision {
	d := Decision{gaveUp: a.giveUp(TooLate)}
	if now.After(a.deadline.Add(-usual)) {
		return d
	}
	long, _ := durations.Quantile(now, longQuantile)
	if due := a.deadline.Add(-long); now.Before(due) {
		d.checkAt = due
		return d
	}
	as := durations.LongerShare(now, now.Sub(a.startedAt))
	missed := durations.LongerShare(now, a.deadline.Sub(a.startedAt))
	d.hedge = missed >= minMissShare*as
	d.checkAt = now.Add(checkInterval)
	return d
}

// giveUp returns the reason for the first time that it is too late for an answer on time, else None.
func (a *Attempt) giveUp(otherwise Reason) Reason {
	if a.missed {
		return None
	}
	a.missed = true
	if a.obstacle != None {
		return a.obstacle
	}
	return otherwise
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
