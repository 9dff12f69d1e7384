// Package cvsuspicion implements the decision to evict unresponsive balancers from the roster.
package cvsuspicion

import (
	"slices"
	"time"
)

const (
	// reportMaxAge is how long a peer's report of lost members stays valid.
	reportMaxAge = 2500 * time.Millisecond
	// turnInterval is the delay between the turns of two consecutive members to evict a lost one.
	turnInterval = 50 * time.Millisecond
)

// Suspicion records which members this balancer and its peers have lost, that is, cannot reach. It is not safe for
// concurrent use.
type Suspicion struct {
	// Self is this balancer's incarnation.
	Self string
	// LostTimeout is how long a member must be lost before it may be evicted.
	LostTimeout time.Duration
	// RefusedTimeout replaces LostTimeout for a member whose address refuses connections, as after the end of its
	// process.
	RefusedTimeout time.Duration

	// lost holds the lost members by incarnation.
	lost map[string]loss
	// reports holds the last report of each peer by incarnation.
	reports map[string]report
}

// loss records since when a member is lost and whether its address refuses connections.
type loss struct {
	since   time.Time
	refused bool
}

// report is a peer's list of lost members and when it was received.
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

// lostTimeout returns how long the given member must be lost before it may be evicted.
func (s *Suspicion) lostTimeout(incarnation string) time.Duration {
	if s.lost[incarnation].refused {
		return s.RefusedTimeout
	}
	return s.LostTimeout
}

// turnDelay returns how long this balancer waits for the members that sort before it and are not lost, so that not all
// members evict a lost one at the same time.
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

// Evictions returns the sorted incarnations of the members that this balancer must evict now: those that it has lost,
// when its turn to evict them has come and one of two conditions holds. Either the platform no longer lists the
// member's VM, which the function unlisted reports, or more than half of all members, this balancer included, have lost
// the member. Exactly half of all members suffice if the member that sorts first is among them.
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

// hasQuorum reports whether enough members have lost the given one.
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
