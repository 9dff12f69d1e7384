package cvslots

import (
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvnamedlimit"
	"comfreyvale/core/cvwaiter"
	"comfreyvale/core/cvwire"
)

// unknownLimitAge is the age sent for a limit that was never stated.
const unknownLimitAge = time.Hour

// RecordLimit records the request limit that an upstream named in an answer at a time, 0 for none. It returns the limit
// in force and reports whether it has changed.
func (s *Slots) RecordLimit(now, at time.Time, instance *cvinstance.Instance, perSecond float64) (limit cvnamedlimit.Limit, changed bool) {
	return s.recordLimit(now, at, instance, perSecond, "")
}

// RecordPeerLimit records a request limit that another balancer has told for the current run of an upstream. It returns
// the limit in force and reports whether it has changed.
func (s *Slots) RecordPeerLimit(now time.Time, told *cvwire.RequestLimit, instance *cvinstance.Instance, balancer string) (limit cvnamedlimit.Limit, changed bool) {
	if told.GetRun() != run(instance) {
		return cvnamedlimit.Limit{}, false
	}
	at := now.Add(-time.Duration(told.GetAgeMs()) * time.Millisecond)
	return s.recordLimit(now, at, instance, max(told.GetPerSecond(), 0), balancer)
}

func (s *Slots) recordLimit(now, at time.Time, instance *cvinstance.Instance, perSecond float64, source string) (limit cvnamedlimit.Limit, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	changed = s.admission.Selector.RecordLimit(now, at, instance, perSecond, source)
	if changed {
		s.markChanged(instance.ID())
	}
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

// appendLimit adds the last statement about an upstream's request limit to a message, if it is recent. The caller holds
// the lock.
func (s *Slots) appendLimit(now time.Time, message *cvwire.News, id string) {
	limit, instance, told := s.admission.Selector.LimitToTell(now, id)
	if !told {
		return
	}
	age := uint32(unknownLimitAge.Milliseconds())
	if !limit.StatedAt().IsZero() {
		age = min(age, uint32(max(now.Sub(limit.StatedAt()), 0).Milliseconds()))
	}
	message.Limits = append(message.Limits, &cvwire.RequestLimit{
		Upstream: Hash(id), Run: run(instance), PerSecond: limit.PerSecond(), AgeMs: age, WarmUpMs: s.warmUpMs(now, id),
	})
}

// run identifies the run of an upstream in messages between balancers.
func run(instance *cvinstance.Instance) uint32 { return uint32(instance.StartUnixMilli()) }

// limitFault is the error for a request that the request limits of upstreams have held back. The caller holds the lock.
func (s *Slots) limitFault(now time.Time, waiter *cvwaiter.Waiter) error {
	_, id, _ := s.admission.Selector.PermitsBefore(now, now, waiter.Need())
	limit := s.admission.Selector.NamedLimit(id)
	if warmUp, warmUpLimit, limited := s.admission.Selector.WarmUp(now, id); limited && (limit.PerSecond() <= 0 || warmUpLimit.PerSecond() < limit.PerSecond()) {
		return fail("acquire", comfreyvale.KindLimited, errors.Errorf("every upstream that could take it limits its requests; %s takes the most, %.3g a second while it warms up for another %s, known from %s; %d requests are waiting",
			id, warmUpLimit.PerSecond(), warmUp.Until().Sub(now).Round(time.Millisecond), warmUpSource(warmUp), s.admission.Len()))
	}
	source := limit.Source()
	if source == "" {
		source = "an answer"
	}
	return fail("acquire", comfreyvale.KindLimited, errors.Errorf("every upstream that could take it limits its requests; %s takes the most, %g a second, stated %s ago, known from %s; %d requests are waiting",
		id, limit.PerSecond(), now.Sub(limit.StatedAt()).Round(time.Millisecond), source, s.admission.Len()))
}
