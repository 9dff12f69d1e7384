package cvselector

import (
	"slices"
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvnamedlimit"
	"comfreyvale/core/cvpermits"
	"comfreyvale/core/cvwarmup"
)

// upstream is what the selector knows of one run of an upstream.
type upstream struct {
	instance *cvinstance.Instance
	// slowUntil is until when the upstream is slow after its start, by its entry in the directory. Unlike warmUp, it
	// limits nothing: it is known also where groups state no rate for the warm-up.
	slowUntil time.Time

	// attempts holds the start times of this balancer's in-flight attempts, oldest first, and lastEnd is when one last
	// ended.
	attempts []time.Time
	lastEnd  time.Time
	// peerCounts holds the in-flight attempts of other balancers by process ID, and those of other data centres by the hash
	// of their names.
	peerCounts map[uint64]peerCount
	// countsChangedAt is when the attempts of this data centre's balancers last changed, as far as this balancer knows.
	countsChangedAt time.Time

	reports
	requestLimit
	failures
}

// reports is what the upstream has reported of itself, to this balancer or to others.
type reports struct {
	// reportedLoad is the number of in-flight requests of all balancers by the last load report. A refused attempt
	// counts as a report of a full upstream.
	reportedLoad int
	reportedAt   time.Time
	// unattributed is the part of reportedLoad that the counts of this balancer and its peers do not explain.
	unattributed float64
	// slowness is the last reported slowness, 0 before the first report.
	slowness   float64
	slownessAt time.Time
	// learnedAt is when a load or a slowness was last learned, and probedAt when this balancer last asked for one.
	learnedAt time.Time
	probedAt  time.Time
}

// requestLimit is the limit of the requests that the upstream takes from all balancers together.
type requestLimit struct {
	// limit is what the upstream names, and warmUp the warm-up in which its group's rate applies.
	limit  cvnamedlimit.Limit
	warmUp cvwarmup.WarmUp
	// perSecond is the lower of the two as of the last refreshLimit, 0 for none, and warmingUp whether the upstream was
	// warming up then.
	perSecond float64
	warmingUp bool
	// permits are the requests that this balancer may send while a limit is in force.
	permits cvpermits.Permits
	// limitChangedAt is when the limit in force last changed here.
	limitChangedAt time.Time
}

// failures is what the results of this balancer's attempts say about the upstream.
type failures struct {
	// failureShare is the share of failures among recent attempts, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	failuresInRow  int
	ejected        bool
	// ejectionTime is the duration of the current or the last ejection.
	ejectionTime time.Duration
	ejectedUntil time.Time
}

// available reports whether the upstream accepts requests, apart from an evacuation of its data centre. After an ejection
// it gets one attempt at a time until one succeeds.
func (u *upstream) available(now time.Time) bool {
	if u.instance.Draining() {
		return false
	}
	if !u.ejected {
		return true
	}
	return !now.Before(u.ejectedUntil) && len(u.attempts) == 0
}

// begin adds an attempt, which uses a permit of an upstream that limits its requests.
func (u *upstream) begin(now time.Time) {
	if u.limited() {
		u.permits.Take()
	}
	u.attempts = append(u.attempts, now)
	u.countsChangedAt = now
}

// end removes the attempt that began at a time, if there is one.
func (u *upstream) end(now, began time.Time) {
	u.countsChangedAt = now
	for n, b := range u.attempts {
		if b.Equal(began) {
			u.attempts = append(u.attempts[:n], u.attempts[n+1:]...)
			return
		}
	}
}

// resume adds an attempt again that end has removed.
func (u *upstream) resume(began time.Time) {
	at := slices.IndexFunc(u.attempts, began.Before)
	if at < 0 {
		at = len(u.attempts)
	}
	u.attempts = slices.Insert(u.attempts, at, began)
}
