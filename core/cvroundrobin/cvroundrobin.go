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

// Pick returns the next upstream and adds an in-flight attempt to it. It returns false if no upstream is available.
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

// String returns the name of the policy.
func (p *Picker) String() string { return "robin" }
