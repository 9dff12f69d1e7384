// Package cvrandom implements a routing policy for comparison: a random upstream for each attempt.
package cvrandom

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

// Picker chooses a random upstream. It is not safe for concurrent use.
type Picker struct{ cvinflight.Counter }

// Pick returns the upstream that the draw selects and adds an in-flight attempt to it. It returns false if no upstream
// is available.
func (p *Picker) Pick(_ time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	open := p.Available(avoid)
	if len(open) == 0 {
		return comfreyvale.VM{}, false
	}
	vm := open[draw%uint64(len(open))]
	p.Begin(vm)
	return vm, true
}

// String returns the name of the policy.
func (p *Picker) String() string { return "random" }
