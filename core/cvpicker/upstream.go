package cvpicker

import (
	"math"
	"time"

	"comfreyvale"
)

// upstream is what is known of one upstream.
type upstream struct {
	vm            comfreyvale.VM
	since         time.Time
	begun         []time.Time
	peers         map[string]peerCount
	latency       float64
	latencyAt     time.Time
	failures      float64
	failuresInRow int
	ejected       bool
	ejectedUntil  time.Time
	drainingUntil time.Time
}

type peerCount struct {
	count int
	at    time.Time
}

// newUpstream returns an upstream without history. Only one that joins a running fleet starts cold.
func newUpstream(now time.Time, cold bool) *upstream {
	u := &upstream{peers: make(map[string]peerCount)}
	if cold {
		u.since = now
	}
	return u
}

// own is the number of own tries in flight.
func (u *upstream) own() int { return len(u.begun) }

// load is the number of tries in flight from all balancers, as far as known.
func (u *upstream) load(now time.Time) int {
	total := u.own()
	for _, c := range u.peers {
		if now.Sub(c.at) < peerCountLife {
			total += c.count
		}
	}
	return total
}

// closed says whether the upstream gets no calls: it is leaving, draining, or ejected for a time yet.
func (u *upstream) closed(now time.Time) bool {
	return u.vm.Leaving() || now.Before(u.drainingUntil) || (u.ejected && !now.After(u.ejectedUntil))
}

func (u *upstream) begin(now time.Time) { u.begun = append(u.begun, now) }

// end takes out the try that began nearest to its latency ago.
func (u *upstream) end(now time.Time, outcome comfreyvale.Outcome) {
	u.remove(now.Add(-outcome.Latency()))
	switch outcome.Result() {
	case comfreyvale.ResultAnswered:
		u.failuresInRow = 0
		u.failures -= failureGain * u.failures
		u.measure(now, float64(outcome.Latency()))
	case comfreyvale.ResultFailed:
		u.failuresInRow++
		u.failures += failureGain * (1 - u.failures)
	case comfreyvale.ResultRefused:
		u.failures += failureGain * (1 - u.failures)
	case comfreyvale.ResultCancelled:
		u.measure(now, max(u.latency, float64(outcome.Latency())))
	}
}

func (u *upstream) remove(began time.Time) {
	nearest := -1
	for i, b := range u.begun {
		if nearest < 0 || b.Sub(began).Abs() < u.begun[nearest].Sub(began).Abs() {
			nearest = i
		}
	}
	if nearest >= 0 {
		u.begun = append(u.begun[:nearest], u.begun[nearest+1:]...)
	}
}

func (u *upstream) measure(now time.Time, latency float64) {
	if u.latencyAt.IsZero() {
		u.latency = latency
	}
	u.latency += latencyGain * (latency - u.latency)
	u.latencyAt = now
}

// expected is the latency of one try: what was measured, drawn towards the fleet's average as it ages,
// and no less than the oldest try in flight already takes.
func (u *upstream) expected(now time.Time, fleet float64) float64 {
	expected := fleet
	if !u.latencyAt.IsZero() {
		age := float64(now.Sub(u.latencyAt)) / float64(latencyHalfLife)
		expected = fleet + (u.latency-fleet)*math.Exp2(-age)
	}
	if len(u.begun) > 0 {
		expected = max(expected, float64(now.Sub(u.begun[0])))
	}
	return max(expected, 1)
}

func (u *upstream) observe(now time.Time, peer string, count int) {
	u.peers[peer] = peerCount{count: count, at: now}
}

func (u *upstream) forget(peer string) { delete(u.peers, peer) }
