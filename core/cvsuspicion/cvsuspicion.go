// Package cvsuspicion implements the decision to evict unresponsive balancers from the roster.
package cvsuspicion

import (
	"slices"
	"time"
)

const (
	// reportMaxAge is how long a peer's list of lost members counts.
	reportMaxAge = 2500 * time.Millisecond
	// turnInterval is the delay between the turns of two consecutive members to evict a lost one.
	turnInterval = 50 * time.Millisecond
)

// Suspicion records which members this balancer and its peers cannot reach (have lost). It is not safe for concurrent
// use.
type Suspicion struct {
	// Self is this balancer's incarnation.
	Self string
	// LostTimeout is how long a member must be lost before it may be evicted.
	LostTimeout time.Duration
	// RefusedTimeout replaces LostTimeout for a member whose address refuses connections, as after the end of its
	// process.
	RefusedTimeout time.Duration

	// lost holds the members that do not answer, by incarnation.
	lost map[string]loss
	// reports holds the last report of each peer by incarnation.
	reports map[string]report
}

type loss struct {
	since   time.Time
	refused bool
}

type report struct {
	at   time.Time
	lost []string
}

// MarkReachable records that a member answers.
func (s *Suspicion) MarkReachable(incarnation string) { delete(s.lost, incarnation) }

// MarkUnreachable records that a member does not answer, and whether its address refuses connections.
func (s *Suspicion) MarkUnreachable(now time.Time, incarnation string, refused bool) {
	if s.lost == nil {
		s.lost = make(map[string]loss)
	}
	l, ok := s.lost[incarnation]
	if !ok {
		l.since = now
	}
	l.refused = refused
	s.lost[incarnation] = l
}

// Lost returns the sorted incarnations of the members that this balancer has lost for long enough to evict them.
func (s *Suspicion) Lost(now time.Time) []string {
	var found []string
	for incarnation, l := range s.lost {
		if now.Sub(l.since) >= s.lostTimeout(incarnation) {
			found = append(found, incarnation)
		}
	}
	slices.Sort(found)
	return found
}

func (s *Suspicion) lostTimeout(incarnation string) time.Duration {
	if s.lost[incarnation].refused {
		return s.RefusedTimeout
	}
	return s.LostTimeout
}

// turnDelay returns how long this balancer waits before it evicts a lost member: one turn for each member that sorts
// before it and is not lost, so that not all evict the lost member at the same time.
func (s *Suspicion) turnDelay(members, lost []string) time.Duration {
	before := 0
	for _, m := range members {
		if m < s.Self && !slices.Contains(lost, m) {
			before++
		}
	}
	return time.Duration(before) * turnInterval
}

// RecordReport records a peer's list of lost members.
func (s *Suspicion) RecordReport(now time.Time, peer string, lost []string) {
	if s.reports == nil {
		s.reports = make(map[string]report)
	}
	s.reports[peer] = report{at: now, lost: lost}
}

// Evictions returns the sorted incarnations of the members that this balancer must evict now. It must have lost them,
// its turn must have come, and either the platform no longer lists the member's VM (unlisted), or more than half of all
// members, this one included, have lost it. Exactly half suffice if the member that sorts first is among them.
func (s *Suspicion) Evictions(now time.Time, members []string, unlisted func(incarnation string) bool) []string {
	var found []string
	lost := s.Lost(now)
	delay := s.turnDelay(members, lost)
	for _, incarnation := range lost {
		if !slices.Contains(members, incarnation) || now.Sub(s.lost[incarnation].since) < s.lostTimeout(incarnation)+delay {
			continue
		}
		if unlisted(incarnation) || s.hasQuorum(now, incarnation, members) {
			found = append(found, incarnation)
		}
	}
	return found
}

func (s *Suspicion) hasQuorum(now time.Time, incarnation string, members []string) bool {
	first := slices.Min(members)
	count, hasFirst := 1, s.Self == first
	for peer, r := range s.reports {
		fresh := now.Sub(r.at) < reportMaxAge && slices.Contains(members, peer)
		if fresh && slices.Contains(r.lost, incarnation) {
			count++
			hasFirst = hasFirst || peer == first
		}
	}
	return 2*count > len(members) || (2*count == len(members) && hasFirst)
}
