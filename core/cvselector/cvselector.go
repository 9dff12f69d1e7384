// Package cvselector implements the selection of the upstream that is expected to answer a request soonest.
//
// The estimate uses load reports and the in-flight attempts of this balancer and its peers. It is designed for many
// balancers that share few slots, on machines whose speed changes several times a second.
package cvselector

import (
	"math"
	"slices"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvjitter"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvwarmuplimit"
)

const (
	// slownessMaxAge is the age at which a slowness report has no weight left; the weight falls linearly. Other
	// workloads on the same machine start and stop every 300 ms.
	slownessMaxAge = 300 * time.Millisecond
	// loadDecayTime is the time constant of the exponential decay of a reported load: about the duration of one
	// request.
	loadDecayTime = 250 * time.Millisecond
	// peerCountMaxAge is how long a peer's in-flight count stays valid: the time of three full state messages.
	peerCountMaxAge = 1500 * time.Millisecond
	// initialServiceTime is the expected service time before the first answer.
	initialServiceTime = 100 * time.Millisecond
	// serviceTimeGain bounds the relative change of the expected service time by one answer.
	serviceTimeGain = 0.05
	// serviceTimeQuantile is the share of answers that are faster than the expected service time. At any moment more
	// than half of the machines run at normal speed, so it is close to the median of those.
	serviceTimeQuantile = 0.35
	// slownessGain is the weight of a new report in the moving average of the slowness.
	slownessGain = 0.05
	// usableSlotShare is the share of an upstream's slots above which most upstreams slow down.
	usableSlotShare = 0.8
	// nearFullSlowdown is how much longer a request takes on an upstream that is nearly full. The last slots are used
	// only if they add more throughput than this costs, as with two slots.
	nearFullSlowdown = 1.7
	// loadTolerance is how much an estimated load, which is fractional, may exceed the integer limit.
	loadTolerance = 0.3
	// warmUpPenalty multiplies the expected latency of an upstream that is warming up.
	warmUpPenalty = 2
	// minRemotePenalty and minLargeRemotePenalty, for large answers, are added at least to the expected latency of an
	// upstream in another data centre: the round-trip time, and the price of the traffic expressed as time.
	minRemotePenalty      = 60 * time.Millisecond
	minLargeRemotePenalty = 300 * time.Millisecond
	// remotePenaltyShare and largeRemotePenaltyShare are the penalty as a share of the time until the target. An answer
	// that is on time from this data centre is as good as a quicker one from another.
	remotePenaltyShare      = 0.25
	largeRemotePenaltyShare = 0.5
	// connectPenalty is added to the expected latency of an upstream without an idle connection: the handshake and its
	// round trip, and the work of both sides. It is far below the difference between a slow machine and one of normal
	// speed.
	connectPenalty = 10 * time.Millisecond
	// failureGain is the weight of a new result in the moving average of the failure share.
	failureGain = 0.2
	// failurePenalty is the relative increase of the expected latency of an upstream whose attempts all fail.
	failurePenalty = 12
	// failureDecayTime is the time constant of the exponential decay of a failure share.
	failureDecayTime = 4 * time.Second
	// ejectFailures is the number of consecutive failures that ejects an upstream.
	ejectFailures = 3
	// minEjectionTime and maxEjectionTime bound an ejection, whose time doubles with each further failure.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
	// ejectFloor is the smallest share of the upstreams, draining ones not counted, that ejections may leave.
	ejectFloor = 0.5
	// jitterShare is the largest random increase of an expected latency, as a share of it. Without it all balancers
	// would choose the same upstream.
	jitterShare = 0.08
)

// Selector chooses among the upstreams of one group. It is not safe for concurrent use.
type Selector struct {
	// DataCentre is the data centre of this balancer.
	DataCentre string
	// MayTakeFreeSlot reports whether this balancer may now take one of the free slots of an upstream, near if it is in
	// this data centre; nil means always.
	MayTakeFreeSlot func(now time.Time, id string, near bool, free int) bool
	// OwnsPeriod reports whether a period in which an upstream takes limited requests belongs to this balancer; nil means
	// every period.
	OwnsPeriod func(id string, period int64) bool

	// Connected reports whether there is an idle connection to an upstream; nil means that it does not matter.
	Connected func(id string) bool

	upstreams []*upstream
	byID      map[string]*upstream
	// serviceTime is in nanoseconds, on a machine of normal speed; 0 before the first answer.
	serviceTime float64
	// slowness is the moving average of the reports, 0 before the first.
	slowness float64
	// evacuated holds the data centres whose upstreams get no requests. evacuationEnds holds when this balancer learned
	// that an evacuation had ended, until the upstreams there have warmed up.
	evacuated      map[string]bool
	evacuationEnds map[string]time.Time
	// warmUpTime is for how long upstreams warm up after they start, and warmUpLimit their limit meanwhile.
	warmUpTime  time.Duration
	warmUpLimit cvwarmuplimit.Limit
	// learned holds the IDs of the upstreams that TakeLearned returns next.
	learned []string
	// heldBack is the upstream that the last pick would have preferred but for its request limit.
	heldBack *upstream
}

// Update replaces the set of upstreams. It keeps the state of those that have neither restarted nor changed their
// address.
func (s *Selector) Update(now time.Time, instances []*cvinstance.Instance) {
	known := s.byID
	s.byID = make(map[string]*upstream, len(instances))
	s.upstreams = s.upstreams[:0]
	for _, i := range instances {
		u := known[i.ID()]
		unknown := false
		if u == nil || !u.instance.SameStart(i) || u.instance.Address() != i.Address() {
			u, unknown = &upstream{}, true
		}
		if u.instance != i {
			u.instance = i
			u.slowUntil = now.Add(i.WarmUp())
			s.recordEntry(now, u)
		}
		if unknown {
			s.assumeWarmUp(now, u)
		}
		s.byID[i.ID()] = u
		s.upstreams = append(s.upstreams, u)
	}
}

// Pick returns the upstream that is expected to answer soonest and adds an in-flight attempt to it. It returns false if
// none has a free slot that the request may take. draw is a uniform random number.
func (s *Selector) Pick(now time.Time, draw uint64, reqs cvrequirements.Requirements) (*cvinstance.Instance, bool) {
	best, _ := s.bestUpstream(now, draw, reqs)
	if best == nil {
		return nil, false
	}
	best.begin(now)
	return best.instance, true
}

// PickBeforeTarget is like Pick, but returns nil if no answer is expected before the request's target time. free
// reports whether there was a free slot that the request may take.
func (s *Selector) PickBeforeTarget(now time.Time, draw uint64, reqs cvrequirements.Requirements) (instance *cvinstance.Instance, free bool) {
	best, expected := s.bestUpstream(now, draw, reqs)
	if best == nil {
		return nil, false
	}
	if now.Add(expected).After(reqs.Target()) {
		return nil, true
	}
	best.begin(now)
	return best.instance, true
}

// bestUpstream returns the upstream that is expected to answer soonest, among those with a free slot that the request
// may take, and its expected latency, or nil.
func (s *Selector) bestUpstream(now time.Time, draw uint64, reqs cvrequirements.Requirements) (*upstream, time.Duration) {
	var best, preferred *upstream
	var bestTime, preferredTime float64
	for n, u := range s.upstreams {
		if slices.Contains(reqs.Avoid(), u.instance.ID()) || !s.available(now, u) || !reqs.Allows(u.instance.DataCentre()) {
			continue
		}
		s.refreshLimit(now, u)
		load, limit := s.load(now, u), inFlightLimit(u.instance)
		if reqs.Hedge() && !suitsHedge(now, u, load) {
			continue
		}
		if load+1 > limit || reqs.InTurn() && !s.hasTurn(now, u, int(limit-load)) {
			continue
		}
		expected := s.expectedLatency(now, u, load, reqs) * (1 + jitterShare*cvjitter.Fraction(draw, n))
		if preferred == nil || expected < preferredTime {
			preferred, preferredTime = u, expected
		}
		if (best == nil || expected < bestTime) && s.permitted(now, u) {
			best, bestTime = u, expected
		}
	}
	s.heldBack = nil
	if preferred != best {
		s.heldBack = preferred
	}
	return best, time.Duration(bestTime)
}

// hasTurn reports whether this balancer may take a free slot while other balancers have waiting requests too. It may
// always take a slot that it has just released, as the others do not know of it yet.
func (s *Selector) hasTurn(now time.Time, u *upstream, free int) bool {
	return s.MayTakeFreeSlot == nil || u.lastEnd.Equal(now) || s.MayTakeFreeSlot(now, u.instance.ID(), s.near(u), free)
}

// near reports whether an upstream is in this balancer's data centre.
func (s *Selector) near(u *upstream) bool { return u.instance.DataCentre() == s.DataCentre }

// AvailableCount returns the number of upstreams that accept requests and to which the request may be sent.
func (s *Selector) AvailableCount(now time.Time, reqs cvrequirements.Requirements) int {
	count := 0
	for _, u := range s.upstreams {
		if s.available(now, u) && reqs.Allows(u.instance.DataCentre()) {
			count++
		}
	}
	return count
}

// Utilization returns the known load of the upstreams that accept requests, as a share of their slots. Upstreams that
// limit their requests have no slots to spare.
func (s *Selector) Utilization(now time.Time) float64 {
	taken, slots, limited := 0.0, 0, false
	for _, u := range s.upstreams {
		s.refreshLimit(now, u)
		if u.limited() {
			limited = true
			continue
		}
		if s.available(now, u) {
			taken += min(s.load(now, u), float64(u.instance.Slots()))
			slots += u.instance.Slots()
		}
	}
	if limited && slots == 0 {
		return 1
	}
	return taken / float64(max(slots, 1))
}

// FullSpeedUtilization is like Utilization, as a share of the slots that can be in use before upstreams slow down: two of
// three, and one of two.
func (s *Selector) FullSpeedUtilization(now time.Time) float64 {
	taken, slots := 0.0, 0.0
	for _, u := range s.upstreams {
		s.refreshLimit(now, u)
		if !u.limited() && s.available(now, u) {
			limit := fullSpeedLimit(u.instance)
			taken += min(s.load(now, u), limit)
			slots += limit
		}
	}
	if slots == 0 {
		return 1
	}
	return taken / slots
}

// ServiceTime returns the expected service time of a request on a machine of normal speed.
func (s *Selector) ServiceTime() time.Duration {
	if s.serviceTime == 0 {
		return initialServiceTime
	}
	return time.Duration(s.serviceTime)
}

// inFlightLimit returns the highest load that an upstream may reach.
func inFlightLimit(instance *cvinstance.Instance) float64 {
	slots := float64(instance.Slots())
	if limit := fullSpeedLimit(instance); limit > slots/nearFullSlowdown {
		return limit + loadTolerance
	}
	return slots + loadTolerance
}

// fullSpeedLimit returns the highest load at which an upstream does not slow down.
func fullSpeedLimit(instance *cvinstance.Instance) float64 {
	return max(math.Floor(usableSlotShare*float64(instance.Slots())), 1)
}

// serviceTimeOf returns the expected service time on a machine of normal speed: that of similar requests if known,
// otherwise that of all requests.
func (s *Selector) serviceTimeOf(reqs cvrequirements.Requirements) time.Duration {
	if reqs.ServiceTime() > 0 {
		return reqs.ServiceTime()
	}
	return s.ServiceTime()
}

// LatestStart returns the latest time at which a request can get a slot and still be answered before its target time,
// and before its deadline, by a machine of normal speed.
func (s *Selector) LatestStart(reqs cvrequirements.Requirements) time.Time {
	end := reqs.Target()
	if reqs.Deadline().Before(end) {
		end = reqs.Deadline()
	}
	return end.Add(-s.serviceTimeOf(reqs))
}

// meanSlowness returns the average slowness of the machines, at least 1, which is normal speed.
func (s *Selector) meanSlowness() float64 { return max(s.slowness, 1) }

// load returns the expected number of in-flight requests of all balancers on an upstream.
func (s *Selector) load(now time.Time, u *upstream) float64 {
	return float64(len(u.attempts)+u.peerInFlight(now)) + u.unattributed*decay(now.Sub(u.reportedAt), loadDecayTime)
}

// expectedLatency returns the expected latency of one more request in nanoseconds, on an upstream with the given load.
func (s *Selector) expectedLatency(now time.Time, u *upstream, load float64, reqs cvrequirements.Requirements) float64 {
	latency := float64(s.serviceTimeOf(reqs)) * s.expectedSlowness(now, u)
	if now.Before(u.slowUntil) {
		latency *= warmUpPenalty
	}
	if load+1 > fullSpeedLimit(u.instance)+loadTolerance {
		latency *= nearFullSlowdown
	}
	latency *= 1 + failurePenalty*u.failureShare*decay(now.Sub(u.failureShareAt), failureDecayTime)
	if s.Connected != nil && !s.Connected(u.instance.ID()) {
		latency += float64(connectPenalty)
	}
	if s.near(u) {
		return latency
	}
	return latency + float64(remotePenalty(now, reqs))
}

// remotePenalty returns the time by which an upstream in another data centre must be quicker.
func remotePenalty(now time.Time, reqs cvrequirements.Requirements) time.Duration {
	remaining := float64(reqs.Target().Sub(now))
	if reqs.Large() {
		return max(minLargeRemotePenalty, time.Duration(largeRemotePenaltyShare*remaining))
	}
	return max(minRemotePenalty, time.Duration(remotePenaltyShare*remaining))
}

// expectedSlowness returns the last reported slowness, which moves towards the average as it ages, but at least the
// slowness implied by the age of the oldest in-flight attempt.
func (s *Selector) expectedSlowness(now time.Time, u *upstream) float64 {
	mean := s.meanSlowness()
	slowness := mean
	if u.slowness > 0 {
		slowness = mean + (u.slowness-mean)*max(0, 1-float64(now.Sub(u.slownessAt))/float64(slownessMaxAge))
	}
	if len(u.attempts) > 0 && s.serviceTime > 0 {
		slowness = max(slowness, float64(now.Sub(u.attempts[0]))/s.serviceTime)
	}
	return slowness
}

// decay returns the weight, from 1 down to 0, of a value of the given age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// Done removes the in-flight attempt that began at the given time and records its result.
func (s *Selector) Done(now time.Time, id string, began time.Time, result comfreyvale.Result) {
	u := s.byID[id]
	if u == nil {
		return
	}
	u.end(now, began)
	u.lastEnd = now
	switch result {
	case comfreyvale.ResultAnswered:
		s.recordSuccess(now, u, now.Sub(began))
	case comfreyvale.ResultFailed:
		s.recordFailure(now, u)
	case comfreyvale.ResultRefused:
		// The upstream is full: its load is unknown, but at least its number of slots.
		s.applyReport(now, now, u, max(u.reportedLoad, u.instance.Slots()))
	}
}

// recordSuccess records an answered attempt, which ends an ejection.
func (s *Selector) recordSuccess(now time.Time, u *upstream, took time.Duration) {
	u.failureShare = u.failureShare * decay(now.Sub(u.failureShareAt), failureDecayTime) * (1 - failureGain)
	u.failureShareAt = now
	u.failuresInRow = 0
	if u.ejected {
		u.ejected = false
		u.ejectionTime = 0
	}
	s.updateServiceTime(float64(took))
}

// updateServiceTime moves the expected service time towards the serviceTimeQuantile of all durations. took is in
// nanoseconds.
func (s *Selector) updateServiceTime(took float64) {
	switch {
	case s.serviceTime == 0:
		s.serviceTime = took
	case took < s.serviceTime:
		s.serviceTime -= serviceTimeGain * (1 - serviceTimeQuantile) * s.serviceTime
	default:
		s.serviceTime += serviceTimeGain * serviceTimeQuantile * s.serviceTime
	}
}

// String returns the name of the policy.
func (s *Selector) String() string { return "soonest by reports" }
