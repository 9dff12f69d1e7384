package cvselector

import (
	"time"

	"comfreyvale/core/cvinstance"
)

// upstream is the state of one upstream.
type upstream struct {
	instance *cvinstance.Instance
	// attempts holds the start times of this balancer's in-flight attempts, oldest first.
	attempts []time.Time
	// lastEnd is when the last attempt of this balancer ended.
	lastEnd time.Time
	// peerCounts holds the in-flight counts of the peers, by process ID.
	peerCounts map[uint64]peerCount
	// reportedLoad is the number of in-flight requests of all balancers by the last load report, made at reportedAt. A
	// refused attempt counts as a report of a full upstream.
	reportedLoad int
	reportedAt   time.Time
	// probedAt is when this balancer last requested a load report.
	probedAt time.Time
	// unattributed is the part of reportedLoad that neither this balancer's nor its peers' counts explain.
	unattributed float64
	// slowness is the last reported slowness of the machine, 0 before the first report; it was reported at slownessAt.
	slowness   float64
	slownessAt time.Time
	// warmUntil is when the upstream's warm-up ends.
	warmUntil time.Time
	// failureShare is the share of failures among recent attempts, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	failuresInRow  int
	ejected        bool
	// ejectionTime is the duration of the current ejection, or of the last one.
	ejectionTime time.Duration
	ejectedUntil time.Time
}

// available reports whether the upstream accepts requests. After an ejection it gets one attempt at a time until one
// succeeds.
func (u *upstream) available(now time.Time) bool {
	if u.instance.Draining() {
		return false
	}
	if !u.ejected {
		return true
	}
	return !now.Before(u.ejectedUntil) && len(u.attempts) == 0
}

// peerCount is the in-flight count of a peer and when it was received.
type peerCount struct {
	count int
	at    time.Time
}

// peerInFlight returns the in-flight attempts of all peers whose counts are still valid.
func (u *upstream) peerInFlight(now time.Time) int {
	total := 0
	for _, c := range u.peerCounts {
		if now.Sub(c.at) < peerCountMaxAge {
			total += c.count
		}
	}
	return total
}

// updateUnattributed recomputes unattributed: the reported load less the in-flight attempts of this balancer and its
// peers.
func (u *upstream) updateUnattributed(now time.Time) {
	u.unattributed = max(float64(u.reportedLoad-len(u.attempts)-u.peerInFlight(now)), 0)
}

func (u *upstream) begin(now time.Time) { u.attempts = append(u.attempts, now) }

// end removes the in-flight attempt that began at the given time.
func (u *upstream) end(began time.Time) {
	for n, b := range u.attempts {
		if b.Equal(began) {
			u.attempts = append(u.attempts[:n], u.attempts[n+1:]...)
			return
		}
	}
}
