// Package cvrandom is the routing policy that sends each call to a random upstream, for comparison.
package cvrandom

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

// Picker chooses at random.
type Picker struct{ cvinflight.Counter }

// Pick chooses an upstream by the draw alone.
func (p *Picker) Pick(_ time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	open := p.Available(avoid)
	if len(open) == 0 {
		return comfreyvale.VM{}, false
	}
	vm := open[draw%uint64(len(open))]
	p.Begin(vm)
	return vm, true
}

// String names the policy.
func (p *Picker) String() string { return "random" }
