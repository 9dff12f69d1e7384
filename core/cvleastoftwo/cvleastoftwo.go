// Package cvleastoftwo implements a routing policy for comparison: the less loaded of two random upstreams.
package cvleastoftwo

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

// secondDrawShift is the position of the first bit in a draw that selects the second upstream.
const secondDrawShift = 32

// Picker chooses the less loaded of two random upstreams. It is not safe for concurrent use.
type Picker struct{ cvinflight.Counter }

// Pick returns the one of two random upstreams with fewer in-flight attempts of this balancer and adds an attempt to
// it, or returns false if no upstream is available.
func (p *Picker) Pick(_ time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	available := p.Available(avoid)
	if len(available) == 0 {
		return comfreyvale.VM{}, false
	}
	vm := available[(draw&(1<<secondDrawShift-1))%uint64(len(available))]
	other := available[(draw>>secondDrawShift)%uint64(len(available))]
	if p.Count(other.Name()) < p.Count(vm.Name()) {
		vm = other
	}
	p.Begin(vm)
	return vm, true
}

// String returns the name of the policy.
func (p *Picker) String() string { return "leastOfTwo" }
