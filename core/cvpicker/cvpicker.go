// Package cvpicker is the default routing policy: it sends a call to the upstream expected to answer it soonest.
package cvpicker

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvjitter"
)

const (
	// peerCountLife is how long a peer's count is believed without being heard again.
	peerCountLife = 3 * time.Second
	// latencyHalfLife is the time in which a measured latency loses half of its weight.
	latencyHalfLife = 200 * time.Millisecond
	// latencyGain is the weight of a new latency beside the older ones.
	latencyGain = 0.3
	// fleetGain is the weight of a new latency in the fleet's average.
	fleetGain = 0.02
	// failureGain is the weight of a new result in the share of failures.
	failureGain = 0.2
	// failurePenalty multiplies the expected latency of an upstream that only fails, on top of its own.
	failurePenalty = 20
	// rampTime is how long a new upstream takes to get all its slots.
	rampTime = 2 * time.Second
	// drainLife is how long an upstream's sign of draining holds without being heard again.
	drainLife = 30 * time.Second
	// noiseShare is how much chance moves an expected latency, so that balancers do not all choose alike.
	noiseShare = 0.1
	// initialLatency is expected of upstreams before any answer was seen.
	initialLatency = 5 * time.Millisecond
)

// Picker chooses by the tries in flight here and at peers, by recent latencies and failures,
// and by how long the tries in flight already take.
type Picker struct {
	// EjectFailures is how many failures in a row eject an upstream.
	EjectFailures int
	// EjectTime is how long an ejected upstream gets no calls.
	EjectTime time.Duration
	// EjectFloor is the share of upstreams that are never ejected together.
	EjectFloor float64

	slots     int
	started   bool
	upstreams []*upstream
	byName    map[string]*upstream
	fleet     float64
	ejections int
	news      []string
}

// Update replaces the set of upstreams; what is known of those that stay is kept.
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
	p.started = p.started || len(vms) > 0
}

// Pick chooses the upstream with a free slot that is expected to answer soonest, and counts the try as begun.
// An upstream that joined lately gets all its slots only when no other has a free one.
func (p *Picker) Pick(now time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	best := p.choose(now, draw, avoid, p.limit)
	if best == nil {
		best = p.choose(now, draw, avoid, func(time.Time, *upstream) int { return p.slots })
	}
	if best == nil {
		return comfreyvale.VM{}, false
	}
	best.begin(now)
	return best.vm, true
}

// choose returns the upstream of the lowest score within a limit of tries in flight, or nil.
func (p *Picker) choose(now time.Time, draw uint64, avoid []string, limit func(time.Time, *upstream) int) *upstream {
	var best *upstream
	var bestScore float64
	for i, u := range p.upstreams {
		if slices.Contains(avoid, u.vm.Name()) || !p.open(now, u, limit) {
			continue
		}
		score := p.score(now, u) * (1 + noiseShare*cvjitter.Fraction(draw, i))
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// Utilization is the share of all slots that are taken, as far as known.
func (p *Picker) Utilization(now time.Time) float64 {
	taken, slots := 0, 0
	for _, u := range p.upstreams {
		if u.closed(now) {
			continue
		}
		taken += u.load(now)
		slots += p.slots
	}
	return float64(taken) / float64(max(slots, 1))
}

// open says whether an upstream may get one more try.
func (p *Picker) open(now time.Time, u *upstream, limit func(time.Time, *upstream) int) bool {
	if u.closed(now) {
		return false
	}
	if u.ejected && u.own() > 0 {
		return false
	}
	return u.load(now) < limit(now, u)
}

// limit is how many tries an upstream may have in flight: one at first, all slots after the ramp.
func (p *Picker) limit(now time.Time, u *upstream) int {
	age := now.Sub(u.since)
	if age >= rampTime {
		return p.slots
	}
	return 1 + int(float64(p.slots-1)*float64(age)/float64(rampTime))
}

// score is the latency expected of one more try, in nanoseconds.
func (p *Picker) score(now time.Time, u *upstream) float64 {
	fleet := p.fleet
	if fleet == 0 {
		fleet = float64(initialLatency)
	}
	expected := u.expected(now, fleet)
	load := float64(u.load(now)) / float64(max(p.slots, 1))
	return expected * (1 + load) * (1 + failurePenalty*u.failures)
}

// Done ends a try that Pick began.
func (p *Picker) Done(now time.Time, name string, outcome comfreyvale.Outcome) {
	u := p.byName[name]
	if u == nil {
		return
	}
	u.end(now, outcome)
	switch outcome.Result() {
	case comfreyvale.ResultAnswered:
		p.answered(u, outcome)
	case comfreyvale.ResultFailed, comfreyvale.ResultRefused:
		p.failed(now, u)
	}
}

func (p *Picker) answered(u *upstream, outcome comfreyvale.Outcome) {
	if u.ejected {
		u.ejected = false
		p.ejections--
	}
	latency := float64(outcome.Latency())
	if p.fleet == 0 {
		p.fleet = latency
		return
	}
	p.fleet += fleetGain * (latency - p.fleet)
}

func (p *Picker) failed(now time.Time, u *upstream) {
	if u.ejected {
		u.ejectedUntil = now.Add(p.EjectTime)
		return
	}
	if u.failuresInRow < p.EjectFailures {
		return
	}
	if float64(p.ejections+1) > (1-p.EjectFloor)*float64(len(p.upstreams)) {
		return
	}
	u.ejected = true
	u.ejectedUntil = now.Add(p.EjectTime)
	p.ejections++
	p.news = append(p.news, u.vm.Name())
}

// TakeNewEjections returns the upstreams that were ejected since it was last asked.
func (p *Picker) TakeNewEjections() []string {
	news := p.news
	p.news = nil
	return news
}

// MarkDraining marks an upstream as draining until the sign is old. It returns whether the mark is new.
func (p *Picker) MarkDraining(now time.Time, name string) bool {
	u := p.byName[name]
	if u == nil {
		return false
	}
	fresh := now.After(u.drainingUntil)
	u.drainingUntil = now.Add(drainLife)
	return fresh
}

// Ejected returns the names of the upstreams that are ejected, in order.
func (p *Picker) Ejected() []string {
	return p.names(func(u *upstream) bool { return u.ejected })
}

// Draining returns the names of the upstreams that are draining or leaving, in order.
func (p *Picker) Draining(now time.Time) []string {
	return p.names(func(u *upstream) bool { return u.vm.Leaving() || now.Before(u.drainingUntil) })
}

func (p *Picker) names(fits func(*upstream) bool) []string {
	var names []string
	for _, u := range p.upstreams {
		if fits(u) {
			names = append(names, u.vm.Name())
		}
	}
	slices.Sort(names)
	return names
}

// Observe takes what a peer says of its own tries in flight. When that is the whole, upstreams left out have none.
func (p *Picker) Observe(now time.Time, peer string, whole bool, counts []comfreyvale.InFlight) {
	if whole {
		for _, u := range p.upstreams {
			u.forget(peer)
		}
	}
	for _, c := range counts {
		if u := p.byName[c.Upstream()]; u != nil {
			u.observe(now, peer, c.Count())
		}
	}
}

// InFlight returns the own tries in flight of each upstream that has some.
func (p *Picker) InFlight() []comfreyvale.InFlight {
	var counts []comfreyvale.InFlight
	for _, u := range p.upstreams {
		if u.own() > 0 {
			counts = append(counts, comfreyvale.NewInFlight(u.vm.Name(), u.own()))
		}
	}
	slices.SortFunc(counts, func(a, b comfreyvale.InFlight) int { return cmp.Compare(a.Upstream(), b.Upstream()) })
	return counts
}

// String names the policy.
func (p *Picker) String() string { return "soonest" }
