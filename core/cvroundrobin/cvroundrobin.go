// Package cvroundrobin is the routing policy that goes through the upstreams in turn, for comparison.
package cvroundrobin

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

// Picker chooses in turn.
type Picker struct {
	cvinflight.Counter

	next int
}

// Pick chooses the next upstream.
func (p *Picker) Pick(_ time.Time, _ uint64, avoid []string) (comfreyvale.VM, bool) {
	open := p.Available(avoid)
	if len(open) == 0 {
		return comfreyvale.VM{}, false
	}
	p.next++
	vm := open[p.next%len(open)]
	p.Begin(vm)
	return vm, true
}

// String names the policy.
func (p *Picker) String() string { return "robin" }
