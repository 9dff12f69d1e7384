// Package cvroundrobin implements a routing policy for comparison: round robin.
package cvroundrobin

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinflight"
)

// Picker chooses the upstreams in turn. It is not safe for concurrent use.
type Picker struct {
	cvinflight.Counter

	next int
}

// Pick returns the next upstream and adds an in-flight attempt to it, or returns false if none is available.
func (p *Picker) Pick(_ time.Time, _ uint64, avoid []string) (comfreyvale.VM, bool) {
	available := p.Available(avoid)
	if len(available) == 0 {
		return comfreyvale.VM{}, false
	}
	p.next++
	vm := available[p.next%len(available)]
	p.Begin(vm)
	return vm, true
}

// String returns the name of the policy.
func (p *Picker) String() string { return "robin" }
