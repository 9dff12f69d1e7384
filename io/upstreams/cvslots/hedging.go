package cvslots

import (
	"math/rand/v2"
	"time"

	"comfreyvale/core/cvhedging"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvwaiter"
)

// RecordIdempotent records a new idempotent request, which adds to the extra work.
func (s *Slots) RecordIdempotent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ExtraWork.RecordRequest(now)
}

// ExtraWorkSpent returns the hedges of the last seconds as a share of the idempotent requests.
func (s *Slots) ExtraWorkSpent(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ExtraWork.Spent(now)
}

// HedgeAttempt takes a free slot for a second attempt beside the given one, and counts it as extra work and in the
// budget. Without a slot, it returns what is in the way.
func (s *Slots) HedgeAttempt(now time.Time, attempt *cvhedging.Attempt, need cvrequirements.Requirements) (*cvwaiter.Waiter, cvhedging.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	selector := s.admission.Selector
	reason := attempt.Obstacle(s.admission.Len(), selector.FullSpeedUtilization(now), s.ExtraWork.Left(now), s.Budget.UsedShare(now, s.Balancers()))
	if reason != cvhedging.None {
		return nil, reason
	}
	waiter := cvwaiter.New(now, need.WithHedge())
	instance, ok := selector.Pick(now, rand.Uint64(), waiter.Need())
	if !ok {
		return nil, cvhedging.NoSlot
	}
	waiter.Grant(now, instance, "")
	s.markChanged(instance.ID())
	s.Budget.Allow(now, s.Balancers())
	s.ExtraWork.RecordHedge(now)
	return waiter, cvhedging.None
}
