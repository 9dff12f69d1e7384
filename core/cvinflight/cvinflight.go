// Package cvinflight implements the count of in-flight attempts that the simple routing policies share.
package cvinflight

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale"
)

// Counter holds the upstreams and this balancer's in-flight attempts on each. It is not safe for concurrent use.
type Counter struct {
	vms      []comfreyvale.VM
	inFlight map[string]int
}

// Update replaces the set of upstreams.
func (c *Counter) Update(_ time.Time, vms []comfreyvale.VM, _ int) {
	c.vms = vms
	if c.inFlight == nil {
		c.inFlight = make(map[string]int)
	}
}

// Available returns the upstreams that are neither draining nor in avoid.
func (c *Counter) Available(avoid []string) []comfreyvale.VM {
	available := make([]comfreyvale.VM, 0, len(c.vms))
	for _, v := range c.vms {
		if !v.Leaving() && !slices.Contains(avoid, v.Name()) {
			available = append(available, v)
		}
	}
	return available
}

// Begin counts a new attempt.
func (c *Counter) Begin(vm comfreyvale.VM) { c.inFlight[vm.Name()]++ }

// Count returns the number of this balancer's in-flight attempts on an upstream.
func (c *Counter) Count(name string) int { return c.inFlight[name] }

// Done removes a completed attempt.
func (c *Counter) Done(_ time.Time, name string, _ comfreyvale.Outcome) { c.inFlight[name]-- }

// Observe ignores the reports of peers.
func (c *Counter) Observe(time.Time, string, bool, []comfreyvale.InFlight) {}

// InFlight returns this balancer's in-flight attempts, sorted by upstream.
func (c *Counter) InFlight() []comfreyvale.InFlight {
	var counts []comfreyvale.InFlight
	for name, count := range c.inFlight {
		if count > 0 {
			counts = append(counts, comfreyvale.NewInFlight(name, count))
		}
	}
	slices.SortFunc(counts, func(a, b comfreyvale.InFlight) int { return cmp.Compare(a.Upstream(), b.Upstream()) })
	return counts
}
