package cvslots

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvwarmup"
	"comfreyvale/core/cvwarmuplimit"
	"comfreyvale/core/cvwire"
)

// SetWarmUp sets for how long the upstreams warm up after they start, and their limit while they do.
func (s *Slots) SetWarmUp(now time.Time, duration time.Duration, limit cvwarmuplimit.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.SetWarmUp(now, duration, limit)
	s.markLearned()
}

// markLearned marks the upstreams of whose warm-up this balancer has learned. The caller holds the lock.
func (s *Slots) markLearned() {
	for _, id := range s.admission.Selector.TakeLearned() {
		s.markChanged(id)
	}
}

// RecordWarmUp records how much longer an upstream warms up by its response to a request that was sent at a time. It
// reports whether that has changed.
func (s *Slots) RecordWarmUp(now, sentAt time.Time, instance *cvinstance.Instance, left time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	changed := s.admission.Selector.RecordAnsweredWarmUp(now, sentAt, instance, left)
	if changed {
		s.markChanged(instance.ID())
	}
	return changed
}

// RecordPeerWarmUp records how much longer an upstream warms up by another balancer. What that one knows of an earlier
// run than this one does not count; a later run counts, because this balancer's entry is then out of date. It reports
// whether that has changed.
func (s *Slots) RecordPeerWarmUp(now time.Time, told *cvwire.RequestLimit, instance *cvinstance.Instance, balancer string) bool {
	// The difference of the low bits is negative for an earlier run, if the two started within 24 days.
	if told.GetWarmUpMs() == 0 || int32(told.GetRun()-run(instance)) < 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	left := min(time.Duration(told.GetWarmUpMs())*time.Millisecond, cvinstance.MaxWarmUp)
	changed := s.admission.Selector.RecordToldWarmUp(now, instance.ID(), left, balancer)
	if changed {
		s.markChanged(instance.ID())
	}
	return changed
}

// warmUpMs returns the rest of an upstream's warm-up in milliseconds, rounded up, or 0. The caller holds the lock.
func (s *Slots) warmUpMs(now time.Time, id string) uint32 {
	warmUp, _, limited := s.admission.Selector.WarmUp(now, id)
	if !limited {
		return 0
	}
	return uint32((warmUp.Until().Sub(now) + time.Millisecond - 1) / time.Millisecond)
}

// WarmUp returns the warm-up of an upstream and its limit if its requests are limited now because of it.
func (s *Slots) WarmUp(now time.Time, id string) (warmUp cvwarmup.WarmUp, limit cvwarmuplimit.Limit, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.admission.Selector.WarmUp(now, id)
}

// WarmingUpCount returns the number of upstreams whose requests are limited because they are warming up.
func (s *Slots) WarmingUpCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.admission.Selector.WarmingUpCount(now)
}

// warmUpSource returns whose statement a warm-up is, for an error.
func warmUpSource(warmUp cvwarmup.WarmUp) string {
	if warmUp.Source() == "" {
		return "the upstream"
	}
	return warmUp.Source()
}
