// Package cvrandom implements a routing policy for comparison: a random upstream for each attempt.
package cvrandom

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

// Picker chooses a random upstream. It is not safe for concurrent use.
type Picker struct{ cvinflight.Counter }

// Pick returns the upstream that draw selects and adds an in-flight attempt to it, or returns false if none is
// available.
func (p *Picker) Pick(_ time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	available := p.Available(avoid)
	if len(available) == 0 {
		return comfreyvale.VM{}, false
	}
	vm := available[draw%uint64(len(available))]
	p.Begin(vm)
	return vm, true
}

// String returns the name of the policy.
func (p *Picker) String() string { return "random" }
