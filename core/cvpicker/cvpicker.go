// Package cvpicker implements the default routing policy: a call goes to the upstream with the lowest expected latency.
package cvpicker

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvjitter"
)

const (
	// peerCountMaxAge is how long a peer's in-flight count stays valid unless the peer repeats it.
	peerCountMaxAge = 3 * time.Second
	// latencyHalfLife is the time in which the weight of a measured latency halves.
	latencyHalfLife = 200 * time.Millisecond
	// latencyGain is the weight of a new latency in an upstream's moving average.
	latencyGain = 0.3
	// meanLatencyGain is the weight of a new latency in the moving average of all upstreams.
	meanLatencyGain = 0.02
	// failureGain is the weight of a new result in the moving average of the failure share.
	failureGain = 0.2
	// failurePenalty is the relative increase of the score of an upstream whose attempts all fail.
	failurePenalty = 20
	// slowStartTime is how long the limit of a new upstream takes to rise from one slot to all.
	slowStartTime = 2 * time.Second
	// drainingTimeout is how long an upstream counts as draining after its last draining signal.
	drainingTimeout = 30 * time.Second
	// jitterShare is the largest random increase of a score, as a share of it. Without it all balancers would choose
	// the same upstream.
	jitterShare = 0.1
	// initialLatency is the expected latency before the first answer.
	initialLatency = 5 * time.Millisecond
)

// Picker chooses by the in-flight attempts of this balancer and its peers, recent latencies and failures, and the age
// of the oldest in-flight attempt. It is not safe for concurrent use.
type Picker struct {
	// EjectFailures is the number of consecutive failures that ejects an upstream.
	EjectFailures int
	// EjectTime is how long an ejected upstream gets no attempts.
	EjectTime time.Duration
	// EjectFloor is the smallest share of the upstreams, from 0 to 1, that ejections may leave.
	EjectFloor float64

	// slots is the number of slots of each upstream.
	slots int
	// started reports whether an earlier update contained upstreams; upstreams added later get a slow start.
	started   bool
	upstreams []*upstream
	byName    map[string]*upstream
	// meanLatency is the moving average over all upstreams in nanoseconds, 0 before the first answer.
	meanLatency  float64
	ejectedCount int
	// newEjections holds the names of the upstreams ejected since the last call of TakeNewEjections.
	newEjections []string
}

// Update replaces the set of upstreams and the slots of each. It keeps the state of the upstreams that stay.
func (p *Picker) Update(now time.Time, vms []comfreyvale.VM, slots int) {
	p.slots = slots
	known := p.byName
	p.byName = make(map[string]*upstream, len(vms))
	p.upstreams = p.upstreams[:0]
	for _, v := range vms {
		u := known[v.Name()]
		if u == nil {
			u = newUpstream(now, p.started)
		}
		u.vm = v
		p.byName[v.Name()] = u
		p.upstreams = append(p.upstreams, u)
	}
	p.ejectedCount = len(p.Ejected())
	p.started = p.started || len(vms) > 0
}

// Pick returns the upstream with the lowest score, among those that accept attempts, are not in avoid and have a free
// slot, and adds an in-flight attempt to it, or returns false. An upstream in slow start exceeds its limit only when no
// other has a free slot.
func (p *Picker) Pick(now time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	best := p.choose(now, draw, avoid, p.inFlightLimit)
	if best == nil {
		best = p.choose(now, draw, avoid, func(time.Time, *upstream) int { return p.slots })
	}
	if best == nil {
		return comfreyvale.VM{}, false
	}
	best.begin(now)
	return best.vm, true
}

// choose returns the upstream with the lowest score among those that may get one more attempt within limit, or nil.
func (p *Picker) choose(now time.Time, draw uint64, avoid []string, limit func(time.Time, *upstream) int) *upstream {
	var best *upstream
	var bestScore float64
	for i, u := range p.upstreams {
		if slices.Contains(avoid, u.vm.Name()) || !p.available(now, u, limit) {
			continue
		}
		score := p.score(now, u) * (1 + jitterShare*cvjitter.Fraction(draw, i))
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// Utilization returns the known in-flight attempts as a share of the slots of the upstreams that accept calls.
func (p *Picker) Utilization(now time.Time) float64 {
	taken, slots := 0, 0
	for _, u := range p.upstreams {
		if u.unavailable(now) {
			continue
		}
		taken += u.load(now)
		slots += p.slots
	}
	return float64(taken) / float64(max(slots, 1))
}

// available reports whether an upstream may get one more attempt within the limit. After an ejection it gets one
// attempt at a time until one succeeds.
func (p *Picker) available(now time.Time, u *upstream, limit func(time.Time, *upstream) int) bool {
	if u.unavailable(now) {
		return false
	}
	if u.ejected && u.ownInFlight() > 0 {
		return false
	}
	return u.load(now) < limit(now, u)
}

// inFlightLimit returns how many in-flight attempts an upstream may have: during its slow start the limit rises from
// one to all slots.
func (p *Picker) inFlightLimit(now time.Time, u *upstream) int {
	age := now.Sub(u.slowStartAt)
	if age >= slowStartTime {
		return p.slots
	}
	return 1 + int(float64(p.slots-1)*float64(age)/float64(slowStartTime))
}

// score returns the expected latency of one more attempt in nanoseconds, increased for the load and for failures.
func (p *Picker) score(now time.Time, u *upstream) float64 {
	mean := p.meanLatency
	if mean == 0 {
		mean = float64(initialLatency)
	}
	expected := u.expectedLatency(now, mean)
	load := float64(u.load(now)) / float64(max(p.slots, 1))
	return expected * (1 + load) * (1 + failurePenalty*u.failureShare)
}

// Done removes an in-flight attempt that Pick began and records its outcome.
func (p *Picker) Done(now time.Time, name string, outcome comfreyvale.Outcome) {
	u := p.byName[name]
	if u == nil {
		return
	}
	u.end(now, outcome)
	switch outcome.Result() {
	case comfreyvale.ResultAnswered:
		p.recordSuccess(u, outcome)
	case comfreyvale.ResultFailed, comfreyvale.ResultRefused:
		p.recordFailure(now, u)
	}
}

// recordSuccess records a successful attempt, which ends an ejection.
func (p *Picker) recordSuccess(u *upstream, outcome comfreyvale.Outcome) {
	if u.ejected {
		u.ejected = false
		p.ejectedCount--
	}
	latency := float64(outcome.Latency())
	if p.meanLatency == 0 {
		p.meanLatency = latency
		return
	}
	p.meanLatency += meanLatencyGain * (latency - p.meanLatency)
}

// recordFailure ejects the upstream after EjectFailures consecutive failures, unless too few would remain, and prolongs
// an ejection after each further failure.
func (p *Picker) recordFailure(now time.Time, u *upstream) {
	if u.ejected {
		u.ejectedUntil = now.Add(p.EjectTime)
		return
	}
	if u.failuresInRow < p.EjectFailures {
		return
	}
	if float64(p.ejectedCount+1) > (1-p.EjectFloor)*float64(len(p.upstreams)) {
		return
	}
	u.ejected = true
	u.ejectedUntil = now.Add(p.EjectTime)
	p.ejectedCount++
	p.newEjections = append(p.newEjections, u.vm.Name())
}

// TakeNewEjections returns the names of the upstreams ejected since the last call.
func (p *Picker) TakeNewEjections() []string {
	names := p.newEjections
	p.newEjections = nil
	return names
}

// MarkDraining marks an upstream as draining for drainingTimeout and reports whether it was not marked yet.
func (p *Picker) MarkDraining(now time.Time, name string) bool {
	u := p.byName[name]
	if u == nil {
		return false
	}
	isNew := now.After(u.drainingUntil)
	u.drainingUntil = now.Add(drainingTimeout)
	return isNew
}

// Ejected returns the sorted names of the ejected upstreams.
func (p *Picker) Ejected() []string {
	return p.names(func(u *upstream) bool { return u.ejected })
}

// Draining returns the sorted names of the upstreams that are draining or leaving.
func (p *Picker) Draining(now time.Time) []string {
	return p.names(func(u *upstream) bool { return u.vm.Leaving() || now.Before(u.drainingUntil) })
}

func (p *Picker) names(match func(*upstream) bool) []string {
	var names []string
	for _, u := range p.upstreams {
		if match(u) {
			names = append(names, u.vm.Name())
		}
	}
	slices.Sort(names)
	return names
}

// Observe records the in-flight attempts of a peer. If complete is true, the peer has none on upstreams that are not in
// counts; otherwise their earlier counts stay.
func (p *Picker) Observe(now time.Time, peer string, complete bool, counts []comfreyvale.InFlight) {
	if complete {
		for _, u := range p.upstreams {
			u.removePeerCount(peer)
		}
	}
	for _, c := range counts {
		if u := p.byName[c.Upstream()]; u != nil {
			u.setPeerCount(now, peer, c.Count())
		}
	}
}

// InFlight returns this balancer's in-flight attempts, sorted by upstream, without upstreams that have none.
func (p *Picker) InFlight() []comfreyvale.InFlight {
	var counts []comfreyvale.InFlight
	for _, u := range p.upstreams {
		if u.ownInFlight() > 0 {
			counts = append(counts, comfreyvale.NewInFlight(u.vm.Name(), u.ownInFlight()))
		}
	}
	slices.SortFunc(counts, func(a, b comfreyvale.InFlight) int { return cmp.Compare(a.Upstream(), b.Upstream()) })
	return counts
}

// String returns the name of the policy.
func (p *Picker) String() string { return "soonest" }
