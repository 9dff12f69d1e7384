// Package cvsuspicion is the decision which balancers are taken out of the roster because they stopped answering.
package cvsuspicion

import (
	"slices"
	"time"
)

const (
	// reportLife is how long a peer's word on whom it lost is believed.
	reportLife = 2500 * time.Millisecond
	// turnTime is how much later each further member takes its turn to take a lost one out.
	turnTime = 50 * time.Millisecond
)

// Suspicion gathers what this balancer and its peers say of lost members. It is not safe for concurrent use.
type Suspicion struct {
	// Self is this balancer's incarnation.
	Self string
	// LostTimeout is how long a member must be lost.
	LostTimeout time.Duration
	// RefusedTimeout is the same for a member whose address refuses connections, as when its process is gone.
	RefusedTimeout time.Duration

	lost    map[string]loss
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

// MarkReachable says that a member answers.
func (s *Suspicion) MarkReachable(incarnation string) { delete(s.lost, incarnation) }

// MarkUnreachable says that a member does not answer, and whether its address refuses connections.
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

// Lost are the members that this balancer has lost for long enough, in order.
func (s *Suspicion) Lost(now time.Time) []string {
	var found []string
	for incarnation, l := range s.lost {
		if now.Sub(l.since) >= s.after(incarnation) {
			found = append(found, incarnation)
		}
	}
	slices.Sort(found)
	return found
}

// after is how long a member must be lost.
func (s *Suspicion) after(incarnation string) time.Duration {
	if s.lost[incarnation].refused {
		return s.RefusedTimeout
	}
	return s.LostTimeout
}

// turn is how long this balancer lets the members before it go first, so that not all take a lost one out at once.
func (s *Suspicion) turn(members, lost []string) time.Duration {
	before := 0
	for _, m := range members {
		if m < s.Self && !slices.Contains(lost, m) {
			before++
		}
	}
	return time.Duration(before) * turnTime
}

// RecordReport takes a peer's word on whom it lost.
func (s *Suspicion) RecordReport(now time.Time, peer string, lost []string) {
	if s.reports == nil {
		s.reports = make(map[string]report)
	}
	s.reports[peer] = report{at: now, lost: lost}
}

// Evictions returns the members to take out, in order. A member goes when this balancer has lost it and so have more than
// half of all members; exactly half suffice with the first member among them, or when the platform no longer lists the VM.
// The members take turns.
func (s *Suspicion) Evictions(now time.Time, members []string, unlisted func(incarnation string) bool) []string {
	var found []string
	lost := s.Lost(now)
	turn := s.turn(members, lost)
	for _, incarnation := range lost {
		if !slices.Contains(members, incarnation) || now.Sub(s.lost[incarnation].since) < s.after(incarnation)+turn {
			continue
		}
		if unlisted(incarnation) || s.agreed(now, incarnation, members) {
			found = append(found, incarnation)
		}
	}
	return found
}

func (s *Suspicion) agreed(now time.Time, incarnation string, members []string) bool {
	first := slices.Min(members)
	count, hasFirst := 1, s.Self == first
	for peer, r := range s.reports {
		fresh := now.Sub(r.at) < reportLife && slices.Contains(members, peer)
		if fresh && slices.Contains(r.lost, incarnation) {
			count++
			hasFirst = hasFirst || peer == first
		}
	}
	return 2*count > len(members) || (2*count == len(members) && hasFirst)
}
