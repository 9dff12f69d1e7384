package cvpicker

import (
	"math"
	"time"

	"comfreyvale"
)

type upstream struct {
	vm comfreyvale.VM
	// slowStartAt is zero for an upstream without a slow start.
	slowStartAt time.Time
	// attempts holds the start times of this balancer's in-flight attempts, oldest first.
	attempts   []time.Time
	peerCounts map[string]peerCount
	// latency is the moving average of the latencies in nanoseconds, last updated at latencyAt.
	latency       float64
	latencyAt     time.Time
	failureShare  float64
	failuresInRow int
	ejected       bool
	ejectedUntil  time.Time
	drainingUntil time.Time
}

type peerCount struct {
	count int
	at    time.Time
}

// newUpstream returns an upstream without history. cold is true for one that joins a running fleet; it gets a slow
// start.
func newUpstream(now time.Time, cold bool) *upstream {
	u := &upstream{peerCounts: make(map[string]peerCount)}
	if cold {
		u.slowStartAt = now
	}
	return u
}

func (u *upstream) ownInFlight() int { return len(u.attempts) }

// load returns the known in-flight attempts of this balancer and its peers.
func (u *upstream) load(now time.Time) int {
	total := u.ownInFlight()
	for _, c := range u.peerCounts {
		if now.Sub(c.at) < peerCountMaxAge {
			total += c.count
		}
	}
	return total
}

// unavailable reports whether the upstream gets no attempts: it is leaving, draining or ejected.
func (u *upstream) unavailable(now time.Time) bool {
	return u.vm.Leaving() || now.Before(u.drainingUntil) || (u.ejected && !now.After(u.ejectedUntil))
}

func (u *upstream) begin(now time.Time) { u.attempts = append(u.attempts, now) }

// end removes an in-flight attempt, which it finds by the latency, and records its outcome.
func (u *upstream) end(now time.Time, outcome comfreyvale.Outcome) {
	u.removeAttempt(now.Add(-outcome.Latency()))
	switch outcome.Result() {
	case comfreyvale.ResultAnswered:
		u.failuresInRow = 0
		u.failureShare -= failureGain * u.failureShare
		u.recordLatency(now, float64(outcome.Latency()))
	case comfreyvale.ResultFailed:
		u.failuresInRow++
		u.failureShare += failureGain * (1 - u.failureShare)
	case comfreyvale.ResultRefused:
		u.failureShare += failureGain * (1 - u.failureShare)
	case comfreyvale.ResultCancelled:
		u.recordLatency(now, max(u.latency, float64(outcome.Latency())))
	}
}

// removeAttempt removes the attempt whose start time is closest to the given one.
func (u *upstream) removeAttempt(began time.Time) {
	nearest := -1
	for i, b := range u.attempts {
		if nearest < 0 || b.Sub(began).Abs() < u.attempts[nearest].Sub(began).Abs() {
			nearest = i
		}
	}
	if nearest >= 0 {
		u.attempts = append(u.attempts[:nearest], u.attempts[nearest+1:]...)
	}
}

// recordLatency adds a latency in nanoseconds to the moving average.
func (u *upstream) recordLatency(now time.Time, latency float64) {
	if u.latencyAt.IsZero() {
		u.latency = latency
	}
	u.latency += latencyGain * (latency - u.latency)
	u.latencyAt = now
}

// expectedLatency returns the measured latency in nanoseconds, which moves towards the mean of all upstreams as it
// ages, but at least the age of the oldest in-flight attempt.
func (u *upstream) expectedLatency(now time.Time, mean float64) float64 {
	expected := mean
	if !u.latencyAt.IsZero() {
		age := float64(now.Sub(u.latencyAt)) / float64(latencyHalfLife)
		expected = mean + (u.latency-mean)*math.Exp2(-age)
	}
	if len(u.attempts) > 0 {
		expected = max(expected, float64(now.Sub(u.attempts[0])))
	}
	return max(expected, 1)
}

func (u *upstream) setPeerCount(now time.Time, peer string, count int) {
	u.peerCounts[peer] = peerCount{count: count, at: now}
}

func (u *upstream) removePeerCount(peer string) { delete(u.peerCounts, peer) }
