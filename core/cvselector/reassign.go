package cvselector

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequirements"
)

// reassignMargin is how many times as long as on another upstream a request must be expected to take for it to be moved
// there before it is sent. Less is within what estimates differ by.
const reassignMargin = 1.4

// Reassign moves an attempt that has not been sent, and that began at the given time, from one upstream to another one
// if that is expected to answer much sooner, or if the upstream accepts no requests any more or limits them. It returns
// nil for an attempt that stays. lost is set if it may not be sent and there is no other upstream: it must be given up.
func (s *Selector) Reassign(now time.Time, draw uint64, reqs cvrequirements.Requirements, id string, began time.Time) (moved *cvinstance.Instance, lost bool) {
	u := s.byID[id]
	if u == nil {
		return nil, true
	}
	s.refreshLimit(now, u)
	u.end(now, began)
	// An attempt that began before the upstream was known to limit its requests has no permit.
	usable := s.available(now, u) && reqs.Allows(u.instance.DataCentre()) && !u.limited()
	best, expected := s.bestUpstream(now, draw, reqs)
	current := s.expectedLatency(now, u, s.load(now, u), reqs)
	sooner := best != nil && best != u && time.Duration(current) >= time.Duration(reassignMargin*float64(expected))
	if best == nil || usable && !sooner {
		u.resume(began)
		return nil, !usable
	}
	u.lastEnd = now
	best.begin(now)
	return best.instance, false
}

// Near reports whether an upstream is in this balancer's data centre.
func (s *Selector) Near(id string) bool {
	u := s.byID[id]
	return u != nil && s.near(u)
}

// Limited reports whether an upstream limits its requests.
func (s *Selector) Limited(id string) bool {
	u := s.byID[id]
	return u != nil && u.limited()
}
