package cvslots

import (
	"math/rand/v2"
	"time"

	"comfreyvale/core/cvloadcheck"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvwaiter"
)

// LoadCheckChoice returns what is known of the upstream that was chosen for a request, for the decision whether to ask it
// for its load before the request is sent.
func (s *Slots) LoadCheckChoice(now time.Time, waiter *cvwaiter.Waiter) cvloadcheck.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	id, selector := waiter.Instance().ID(), s.admission.Selector
	state, _ := selector.OwnState(now, id)
	age := max(state.LoadAge(), state.SlownessAge())
	return cvloadcheck.NewChoice(selector.Near(id), selector.Limited(id), s.admission.Len(), age, selector.LatestStart(waiter.Need()).Sub(now))
}

// Reassign moves a request that has a slot and was not sent to another upstream if that is now expected to answer much
// sooner, or if its upstream may not get it any more. lost reports that it has to be released instead.
func (s *Slots) Reassign(now time.Time, waiter *cvwaiter.Waiter) (moved, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	before := waiter.Instance().ID()
	need := waiter.Need().WithTurn(s.admission.Len() > 0)
	instance, lost := s.admission.Selector.Reassign(now, rand.Uint64(), need, before, waiter.GrantedAt())
	if instance == nil {
		return false, lost
	}
	waiter.Grant(now, instance, s.admission.Selector.HeldBack())
	s.markChanged(before)
	s.markChanged(instance.ID())
	s.advance(now)
	return true, false
}

// AvailableCount returns the number of upstreams that accept requests.
func (s *Slots) AvailableCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.admission.Selector.AvailableCount(now, cvrequirements.Requirements{})
}
