package cvslots

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvnamedlimit"
)

// RecordLimit records the request limit that an upstream named in an answer at a time, 0 for none. It returns the limit
// in force and reports whether it has changed.
func (s *Slots) RecordLimit(at time.Time, instance *cvinstance.Instance, perSecond float64) (limit cvnamedlimit.Limit, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	changed = s.admission.Selector.RecordLimit(at, instance, perSecond, "")
	return s.admission.Selector.NamedLimit(instance.ID()), changed
}

// NamedLimit returns what is known of an upstream's request limit.
func (s *Slots) NamedLimit(id string) cvnamedlimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.admission.Selector.NamedLimit(id)
}

// LimitedCount returns the number of upstreams with a request limit in force.
func (s *Slots) LimitedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.admission.Selector.LimitedCount()
}
