// Package cvselector chooses the upstream that is expected to answer a request soonest, from its own tries in flight and
// from load reports that came with earlier answers. It answers a load of many balancers before few slots, on machines
// whose speed changes several times a second.
package cvselector

import (
	"math"
	"slices"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvjitter"
	"comfreyvale/core/cvrequirements"
)

const (
	// slownessLife is the time in which a report of a machine's speed loses its worth evenly: neighbours come and go
	// every 300 ms.
	slownessLife = 300 * time.Millisecond
	// loadLife is the time in which a report of other balancers' requests loses most of its worth: about the length of
	// one request.
	loadLife = 250 * time.Millisecond
	// peerLife is how long a peer's count is believed without being heard again: three whole messages.
	peerLife = 1500 * time.Millisecond
	// initialWork is expected of a request before any was answered.
	initialWork = 100 * time.Millisecond
	// workGain is how far one more answer moves the expected work, as a share of it.
	workGain = 0.05
	// workQuantile is the share of answers that are quicker than the expected work: more than half of the machines are of
	// usual speed at any moment, so that this is about their middle.
	workQuantile = 0.35
	// slownessGain is the weight of one more report in the average slowness.
	slownessGain = 0.05
	// usableShare is the share of an upstream's slots that are used. Most upstreams turn slow when they are nearly full, by
	// more than what the last slots add.
	usableShare = 0.8
	// loadSlack is how far a load that is only estimated may be above a whole number.
	loadSlack = 0.3
	// warmUpCost multiplies the time expected on an upstream that has just started.
	warmUpCost = 2
	// remoteCost is the time that crossing data centres counts for: the way there and back, and its price.
	remoteCost = 60 * time.Millisecond
	// largeRemoteCost is the same for big answers, whose transfer between data centres is dear.
	largeRemoteCost = 300 * time.Millisecond
	// failureGain is the weight of one more result in the share of failures.
	failureGain = 0.2
	// failureCost multiplies the time expected on an upstream that only fails, on top of its own.
	failureCost = 12
	// failureLife is the time in which a share of failures loses most of its worth.
	failureLife = 4 * time.Second
	// ejectFailures is how many failures in a row eject an upstream.
	ejectFailures = 3
	// firstEjection and lastEjection bound the time for which an upstream is ejected; it doubles with each try that fails.
	firstEjection = time.Second
	lastEjection  = 8 * time.Second
	// ejectFloor is the share of the upstreams that are never ejected together.
	ejectFloor = 0.5
	// noiseShare is how much chance moves an expected time, so that balancers do not all choose alike.
	noiseShare = 0.08
)

// Selector chooses among the upstreams of one group. It is not safe for concurrent use.
type Selector struct {
	// DataCentre is where this balancer runs.
	DataCentre string
	// MayTakeFreeSlot says whether it is this balancer's turn to take one of the free slots of an upstream. Nil is always.
	MayTakeFreeSlot func(now time.Time, id string, free int) bool

	members  []*member
	byID     map[string]*member
	work     float64
	slowness float64
}

// Update replaces the set of upstreams; what is known of those that stay is kept.
func (s *Selector) Update(now time.Time, instances []*cvinstance.Instance) {
	known := s.byID
	s.byID = make(map[string]*member, len(instances))
	s.members = s.members[:0]
	for _, i := range instances {
		m := known[i.ID()]
		if m == nil || !m.instance.SameStart(i) || m.instance.Address() != i.Address() {
			m = &member{}
		}
		if m.instance != i {
			m.instance = i
			m.warmUntil = now.Add(i.WarmUp())
		}
		s.byID[i.ID()] = m
		s.members = append(s.members, m)
	}
}

// Pick chooses an upstream with a free slot and counts the try as begun. The draw is a uniform random number.
func (s *Selector) Pick(now time.Time, draw uint64, need cvrequirements.Requirements) (*cvinstance.Instance, bool) {
	best, _ := s.best(now, draw, need)
	if best == nil {
		return nil, false
	}
	best.begin(now)
	return best.instance, true
}

// PickBeforeTarget is Pick for a request that rather waits than takes an upstream which is not expected to answer on time. Free
// says that there was a slot, timely or not.
func (s *Selector) PickBeforeTarget(now time.Time, draw uint64, need cvrequirements.Requirements) (instance *cvinstance.Instance, free bool) {
	best, expected := s.best(now, draw, need)
	if best == nil {
		return nil, false
	}
	if now.Add(expected).After(need.Target()) {
		return nil, true
	}
	best.begin(now)
	return best.instance, true
}

// best returns the upstream with a free slot that is expected to answer soonest, and the time it is expected to take.
func (s *Selector) best(now time.Time, draw uint64, need cvrequirements.Requirements) (*member, time.Duration) {
	var best *member
	var bestTime float64
	for n, m := range s.members {
		if slices.Contains(need.Avoid(), m.instance.ID()) || !m.open(now) {
			continue
		}
		load, limit := s.load(now, m), usable(m.instance)
		if load+1 > limit || need.InTurn() && !s.turn(now, m, int(limit-load)) {
			continue
		}
		expected := s.expected(now, m, need) * (1 + noiseShare*cvjitter.Fraction(draw, n))
		if best == nil || expected < bestTime {
			best, bestTime = m, expected
		}
	}
	return best, time.Duration(bestTime)
}

// turn says whether this balancer may take one of the free slots of an upstream while others have requests waiting too. A slot that
// it has just freed is its own to take again, as the others do not know of it yet.
func (s *Selector) turn(now time.Time, m *member, free int) bool {
	return s.MayTakeFreeSlot == nil || m.freed.Equal(now) || s.MayTakeFreeSlot(now, m.instance.ID(), free)
}

// AvailableCount is the number of upstreams that take work.
func (s *Selector) AvailableCount(now time.Time) int {
	count := 0
	for _, m := range s.members {
		if m.open(now) {
			count++
		}
	}
	return count
}

// Utilization is the share of the slots of the upstreams that take work which is taken, as far as known.
func (s *Selector) Utilization(now time.Time) float64 {
	taken, slots := 0.0, 0
	for _, m := range s.members {
		if m.open(now) {
			taken += min(s.load(now, m), float64(m.instance.Slots()))
			slots += m.instance.Slots()
		}
	}
	return taken / float64(max(slots, 1))
}

// ServiceTime is how long a request takes on a machine of usual speed.
func (s *Selector) ServiceTime() time.Duration {
	if s.work == 0 {
		return initialWork
	}
	return time.Duration(s.work)
}

// usable is how many requests an upstream is given at a time.
func usable(instance *cvinstance.Instance) float64 {
	return max(math.Floor(usableShare*float64(instance.Slots())), 1) + loadSlack
}

// workOf is how long a request takes on a machine of usual speed.
func (s *Selector) workOf(need cvrequirements.Requirements) time.Duration {
	if need.ServiceTime() > 0 {
		return need.ServiceTime()
	}
	return s.ServiceTime()
}

// LatestStart is until when a request can get its slot and still be answered on time by a machine of usual speed.
func (s *Selector) LatestStart(need cvrequirements.Requirements) time.Time {
	return need.Target().Add(-s.workOf(need))
}

// meanSlowness is how many times as long as usual requests take on average.
func (s *Selector) meanSlowness() float64 { return max(s.slowness, 1) }

// load is the number of requests expected in progress on an upstream, from all balancers.
func (s *Selector) load(now time.Time, m *member) float64 {
	return float64(len(m.begun)+m.told(now)) + m.others*decay(now.Sub(m.reported), loadLife)
}

// expected is the time, in nanoseconds, that one more request is expected to take.
func (s *Selector) expected(now time.Time, m *member, need cvrequirements.Requirements) float64 {
	took := float64(s.workOf(need)) * s.slownessOf(now, m)
	if now.Before(m.warmUntil) {
		took *= warmUpCost
	}
	took *= 1 + failureCost*m.failures*decay(now.Sub(m.failedAt), failureLife)
	if m.instance.DataCentre() == s.DataCentre {
		return took
	}
	if need.Large() {
		return took + float64(largeRemoteCost)
	}
	return took + float64(remoteCost)
}

// slownessOf is the slowness expected of an upstream's machine: its last report, drawn towards the average as it ages,
// and at least what the oldest try in flight shows.
func (s *Selector) slownessOf(now time.Time, m *member) float64 {
	mean := s.meanSlowness()
	slowness := mean
	if m.slowness > 0 {
		slowness = mean + (m.slowness-mean)*max(0, 1-float64(now.Sub(m.measured))/float64(slownessLife))
	}
	if len(m.begun) > 0 && s.work > 0 {
		slowness = max(slowness, float64(now.Sub(m.begun[0]))/s.work)
	}
	return slowness
}

// decay is the part of its worth that a report of an age still has.
func decay(age, life time.Duration) float64 { return math.Exp(-float64(age) / float64(life)) }

// Done ends a try that Pick began at a time.
func (s *Selector) Done(now time.Time, id string, began time.Time, result comfreyvale.Result) {
	m := s.byID[id]
	if m == nil {
		return
	}
	m.end(began)
	m.freed = now
	switch result {
	case comfreyvale.ResultAnswered:
		s.answered(now, m, now.Sub(began))
	case comfreyvale.ResultFailed:
		s.failed(now, m)
	case comfreyvale.ResultRefused:
		// It is full: what it runs is not known, but it is no less than its slots.
		s.take(now, now, m, max(m.busy, m.instance.Slots()), 0)
	}
}

func (s *Selector) answered(now time.Time, m *member, took time.Duration) {
	m.failures = m.failures * decay(now.Sub(m.failedAt), failureLife) * (1 - failureGain)
	m.failedAt = now
	m.failuresInRow = 0
	if m.ejected {
		m.ejected = false
		m.ejection = 0
	}
	s.learn(float64(took))
}

// learn moves the expected work towards the quantile of a new answer's time.
func (s *Selector) learn(took float64) {
	switch {
	case s.work == 0:
		s.work = took
	case took < s.work:
		s.work -= workGain * (1 - workQuantile) * s.work
	default:
		s.work += workGain * workQuantile * s.work
	}
}

// String names the policy.
func (s *Selector) String() string { return "soonest by reports" }
