// Package cvprobing implements a routing policy for comparison: it probes upstreams ahead of calls, as Prequal does
// (Mirrokni et al., NSDI 2024).
package cvprobing

import (
	"slices"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

const (
	poolSize    = 16
	probeMaxAge = time.Second
	// maxProbeUses is how many attempts a result is used for.
	maxProbeUses = 2
	// hotQuantile is the quantile of the recent in-flight counts above which an upstream counts as hot.
	hotQuantile = 0.84
	// recentCounts is how many in-flight counts the quantile is computed from.
	recentCounts = 64
)

// Picker chooses by recent probes: the upstream with the lowest latency among those that are not hot or, if all are
// hot, the one with the fewest in-flight requests. It is not safe for concurrent use.
type Picker struct {
	cvinflight.Counter
	// ProbesPerAttempt is the number of probes per attempt; it may be fractional.
	ProbesPerAttempt float64

	// pool holds the last probe results, oldest first.
	pool []probe
	// recent holds the in-flight counts of the last probes, oldest first.
	recent []int
	// credit is the number of probes that may be sent now.
	credit float64
	// randomState selects the upstreams to probe.
	randomState uint64
}

type probe struct {
	vm       comfreyvale.VM
	at       time.Time
	inFlight int
	latency  time.Duration
	// used counts the attempts for which the result was used.
	used int
}

// Pick returns the upstream of the best probe result, or a random one if no result is valid, and adds an in-flight
// attempt to it. It returns false if no upstream is available.
func (p *Picker) Pick(now time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	available := p.Available(avoid)
	if len(available) == 0 {
		return comfreyvale.VM{}, false
	}
	p.credit += p.ProbesPerAttempt
	p.randomState = draw
	p.pool = slices.DeleteFunc(p.pool, func(r probe) bool { return now.Sub(r.at) > probeMaxAge || r.used >= maxProbeUses })
	vm := available[draw%uint64(len(available))]
	if i := p.bestProbe(avoid); i >= 0 {
		vm = p.pool[i].vm
		p.pool[i].used++
		p.pool[i].inFlight++
	}
	p.Begin(vm)
	return vm, true
}

// bestProbe returns the index of the best probe result in the pool, or -1 if no result can be used.
func (p *Picker) bestProbe(avoid []string) int {
	limit := p.hotLimit()
	best := -1
	for i, r := range p.pool {
		if slices.Contains(avoid, r.vm.Name()) {
			continue
		}
		if best < 0 || better(r, p.pool[best], limit) {
			best = i
		}
	}
	return best
}

// better reports whether a is preferred to b; upstreams with more in-flight requests than limit are hot.
func better(a, b probe, limit int) bool {
	hotA, hotB := a.inFlight > limit, b.inFlight > limit
	switch {
	case hotA != hotB:
		return hotB
	case hotA:
		return a.inFlight < b.inFlight
	}
	return a.latency < b.latency
}

func (p *Picker) hotLimit() int {
	if len(p.recent) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.recent))
	return sorted[int(hotQuantile*float64(len(sorted)-1))]
}

// ProbeTargets returns random upstreams to probe now, as many as the credit allows, and spends it.
func (p *Picker) ProbeTargets() []comfreyvale.VM {
	available := p.Available(nil)
	var chosen []comfreyvale.VM
	for ; p.credit >= 1 && len(available) > 0; p.credit-- {
		const multiplier = 0x9e3779b97f4a7c15
		p.randomState = p.randomState*multiplier + 1
		chosen = append(chosen, available[(p.randomState>>droppedBits)%uint64(len(available))])
	}
	return chosen
}

// droppedBits is the number of low bits of a random number that are dropped, as the high bits are more random.
const droppedBits = 32

// RecordProbe records the result of a probe.
func (p *Picker) RecordProbe(now time.Time, vm comfreyvale.VM, inFlight int, latency time.Duration) {
	if len(p.pool) >= poolSize {
		p.pool = p.pool[1:]
	}
	p.pool = append(p.pool, probe{vm: vm, at: now, inFlight: inFlight, latency: latency})
	p.recent = append(p.recent, inFlight)
	if len(p.recent) > recentCounts {
		p.recent = p.recent[1:]
	}
}

// String returns the name of the policy.
func (p *Picker) String() string { return "probing" }
