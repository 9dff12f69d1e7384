// Package cvleastoftwo is the routing policy that takes the less loaded of two random upstreams, for comparison.
package cvleastoftwo

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

// halfBits is where the second choice's part of a draw begins.
const halfBits = 32

// Picker chooses by the own tries in flight.
type Picker struct{ cvinflight.Counter }

// Pick draws two upstreams and takes the one with fewer own tries in flight.
func (p *Picker) Pick(_ time.Time, draw uint64, avoid []string) (comfreyvale.VM, bool) {
	open := p.Available(avoid)
	if len(open) == 0 {
		return comfreyvale.VM{}, false
	}
	vm := open[(draw&(1<<halfBits-1))%uint64(len(open))]
	other := open[(draw>>halfBits)%uint64(len(open))]
	if p.Count(other.Name()) < p.Count(vm.Name()) {
		vm = other
	}
	p.Begin(vm)
	return vm, true
}

// String names the policy.
func (p *Picker) String() string { return "leastOfTwo" }
