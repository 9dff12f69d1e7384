// Package cvprobing is a routing policy that probes upstreams ahead of calls, after Prequal (Mirrokni et al., NSDI 2024),
// for comparison.
package cvprobing

import (
	"slices"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

const (
	// poolSize is how many probe results are kept.
	poolSize = 16
	// probeLife is how long a result is believed.
	probeLife = time.Second
	// uses is how many calls a result serves.
	uses = 2
	// hotQuantile is the share of in-flight counts above which an upstream counts as hot.
	hotQuantile = 0.84
	// recentCounts is how many counts the quantile is taken of.
	recentCounts = 64
)

// Picker chooses among the results of recent probes: the quickest of the cold ones, else the least loaded of the hot ones.
type Picker struct {
	cvinflight.Counter
	// ProbesPerCall is how many probes each call pays for.
	ProbesPerCall float64

	pool   []probe
	recent []int
	credit float64
	draws  uint64
}

type probe struct {
	vm       comfreyvale.VM
	at       time.Time
	inFlight int
	latency  time.Duration
	used     int
}

// Pick chooses by the pool, or at random while it is empty.
func (p *Picker) Pick(now time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	open := p.Available(avoid)
	if len(open) == 0 {
		return comfreyvale.VM{}, false
	}
	p.credit += p.ProbesPerCall
	p.draws = draw
	p.pool = slices.DeleteFunc(p.pool, func(r probe) bool { return now.Sub(r.at) > probeLife || r.used >= uses })
	vm := open[draw%uint64(len(open))]
	if i := p.best(avoid); i >= 0 {
		vm = p.pool[i].vm
		p.pool[i].used++
		p.pool[i].inFlight++
	}
	p.Begin(vm)
	return vm, true
}

// best returns the index of the result to use, or -1.
func (p *Picker) best(avoid []string) int {
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

// ProbeTargets returns the upstreams to probe now.
func (p *Picker) ProbeTargets() []comfreyvale.VM {
	open := p.Available(nil)
	var chosen []comfreyvale.VM
	for ; p.credit >= 1 && len(open) > 0; p.credit-- {
		const multiplier = 0x9e3779b97f4a7c15
		p.draws = p.draws*multiplier + 1
		chosen = append(chosen, open[(p.draws>>halfBits)%uint64(len(open))])
	}
	return chosen
}

// halfBits takes the better half of a draw.
const halfBits = 32

// RecordProbe takes the result of a probe.
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

// String names the policy.
func (p *Picker) String() string { return "probing" }
