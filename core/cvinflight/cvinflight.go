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
func (t *Counter) Update(_ time.Time, vms []comfreyvale.VM, _ int) {
	t.vms = vms
	if t.inFlight == nil {
		t.inFlight = make(map[string]int)
	}
}

// Available returns the upstreams that are neither draining nor in avoid.
func (t *Counter) Available(avoid []string) []comfreyvale.VM {
	available := make([]comfreyvale.VM, 0, len(t.vms))
	for _, v := range t.vms {
		if !v.Leaving() && !slices.Contains(avoid, v.Name()) {
			available = append(available, v)
		}
	}
	return available
}

// Begin counts a new attempt.
func (t *Counter) Begin(vm comfreyvale.VM) { t.inFlight[vm.Name()]++ }

// Count returns the number of this balancer's in-flight attempts on an upstream.
func (t *Counter) Count(name string) int { return t.inFlight[name] }

// Done removes a completed attempt from the count.
func (t *Counter) Done(_ time.Time, name string, _ comfreyvale.Outcome) { t.inFlight[name]-- }

// Observe ignores the reports of peers.
func (t *Counter) Observe(time.Time, string, bool, []comfreyvale.InFlight) {}

// InFlight returns this balancer's in-flight attempts, sorted by upstream.
func (t *Counter) InFlight() []comfreyvale.InFlight {
	var counts []comfreyvale.InFlight
	for name, count := range t.inFlight {
		if count > 0 {
			counts = append(counts, comfreyvale.NewInFlight(name, count))
		}
	}
	slices.SortFunc(counts, func(a, b comfreyvale.InFlight) int { return cmp.Compare(a.Upstream(), b.Upstream()) })
	return counts
}
