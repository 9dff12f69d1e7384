// Package cvinflight is the count of own tries in flight that the simple routing policies share.
package cvinflight

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale"
)

// Counter knows the upstreams and the own tries in flight on each.
type Counter struct {
	vms   []comfreyvale.VM
	begun map[string]int
}

// Update replaces the set of upstreams.
func (t *Counter) Update(_ time.Time, vms []comfreyvale.VM, _ int) {
	t.vms = vms
	if t.begun == nil {
		t.begun = make(map[string]int)
	}
}

// Available returns the upstreams that are neither leaving nor avoided.
func (t *Counter) Available(avoid []string) []comfreyvale.VM {
	open := make([]comfreyvale.VM, 0, len(t.vms))
	for _, v := range t.vms {
		if !v.Leaving() && !slices.Contains(avoid, v.Name()) {
			open = append(open, v)
		}
	}
	return open
}

// Begin counts a try.
func (t *Counter) Begin(vm comfreyvale.VM) { t.begun[vm.Name()]++ }

// Count is the number of own tries in flight on an upstream.
func (t *Counter) Count(name string) int { return t.begun[name] }

// Done ends a try.
func (t *Counter) Done(_ time.Time, name string, _ comfreyvale.Outcome) { t.begun[name]-- }

// Observe ignores what peers say.
func (t *Counter) Observe(time.Time, string, bool, []comfreyvale.InFlight) {}

// InFlight returns the own tries in flight, by upstream.
func (t *Counter) InFlight() []comfreyvale.InFlight {
	var counts []comfreyvale.InFlight
	for name, count := range t.begun {
		if count > 0 {
			counts = append(counts, comfreyvale.NewInFlight(name, count))
		}
	}
	slices.SortFunc(counts, func(a, b comfreyvale.InFlight) int { return cmp.Compare(a.Upstream(), b.Upstream()) })
	return counts
}
