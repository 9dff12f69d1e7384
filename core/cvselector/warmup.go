package cvselector

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvpermits"
	"comfreyvale/core/cvwarmup"
	"comfreyvale/core/cvwarmuplimit"
)

// sourceEvacuation is the source of a warm-up that is assumed because an evacuation has ended. Only balancers of the
// upstream's data centre tell others of it, as all learn of the end themselves.
const sourceEvacuation = "evacuation"

// maxWarmUpAge is the time between two health checks of an upstream whose other responses bring load reports. Only health
// checks tell that it has started to warm up again. In deployment A, upstreams at full use get 18 requests a second: what
// they get in this time and until the news have reached all stays within the users' bound.
const maxWarmUpAge = 500 * time.Millisecond

// SetWarmUp sets for how long upstreams warm up after they start, and their limit while they do.
func (s *Selector) SetWarmUp(now time.Time, duration time.Duration, limit cvwarmuplimit.Limit) {
	if duration == s.warmUpTime && limit == s.warmUpLimit {
		return
	}
	s.warmUpTime, s.warmUpLimit = duration, limit
	for _, u := range s.upstreams {
		s.assumeWarmUp(now, u)
	}
}

// recordEntry records the remaining warm-up time of an entry that has just arrived.
func (s *Selector) recordEntry(now time.Time, u *upstream) {
	if u.warmUp.Extend(now, now.Add(u.instance.WarmUp()), "") {
		s.warmUpLearned(now, u)
	}
}

// assumeWarmUp extends the warm-up of an upstream that has just started, or whose data centre was evacuated until
// lately.
func (s *Selector) assumeWarmUp(now time.Time, u *upstream) {
	if s.warmUpTime <= 0 {
		return
	}
	// The clock of the upstream may be ahead. The end is relative to now, so that later steps of this machine's clock do
	// not move it.
	running := max(now.Sub(time.UnixMilli(u.instance.StartUnixMilli())), 0)
	if u.instance.StartUnixMilli() > 0 && u.warmUp.Assume(now, now.Add(s.warmUpTime-running), "") {
		s.warmUpLearned(now, u)
	}
	ended, ok := s.evacuationEnds[u.instance.DataCentre()]
	if !ok {
		return
	}
	source := sourceEvacuation
	if s.near(u) {
		source = ""
	}
	if u.warmUp.Assume(now, ended.Add(s.warmUpTime), source) && s.near(u) {
		s.warmUpLearned(now, u)
	}
}

// warmUpLearned marks a warm-up to be told to other balancers.
func (s *Selector) warmUpLearned(now time.Time, u *upstream) {
	if s.warmUpLimit.PerSecond() > 0 {
		u.limitChangedAt = now
		s.learned = append(s.learned, u.instance.ID())
	}
}

// TakeLearned returns the IDs of the upstreams of whose warm-up this balancer has learned, from entries or by the end of
// an evacuation, since the last call.
func (s *Selector) TakeLearned() []string {
	learned := s.learned
	s.learned = nil
	return learned
}

// RecordAnsweredWarmUp records how much longer an upstream warms up by its response to a request that was sent at a time.
// It reports whether that has changed, if such upstreams are limited.
func (s *Selector) RecordAnsweredWarmUp(now, sentAt time.Time, instance *cvinstance.Instance, left time.Duration) bool {
	u := s.byID[instance.ID()]
	if u == nil || !u.instance.SameStart(instance) || !u.warmUp.Answer(now, sentAt, now.Add(left)) || s.warmUpLimit.PerSecond() <= 0 {
		return false
	}
	u.limitChangedAt = now
	return true
}

// RecordToldWarmUp records how much longer an upstream warms up by another balancer, which may know a later run of the
// upstream than this one. It reports whether that has changed, if such upstreams are limited.
func (s *Selector) RecordToldWarmUp(now time.Time, id string, left time.Duration, balancer string) bool {
	u := s.byID[id]
	if u == nil || !u.warmUp.Extend(now, now.Add(left), balancer) || s.warmUpLimit.PerSecond() <= 0 {
		return false
	}
	u.limitChangedAt = now
	return true
}

// WarmUp returns the warm-up of an upstream if it limits its requests now.
func (s *Selector) WarmUp(now time.Time, id string) (warmUp cvwarmup.WarmUp, limit cvwarmuplimit.Limit, limited bool) {
	u := s.byID[id]
	if u == nil || !s.warmingUp(now, u) {
		return cvwarmup.WarmUp{}, cvwarmuplimit.Limit{}, false
	}
	return u.warmUp, s.warmUpLimit, true
}

// WarmingUpCount returns the number of upstreams whose requests are limited because they are warming up.
func (s *Selector) WarmingUpCount(now time.Time) int {
	count := 0
	for _, u := range s.upstreams {
		if s.warmingUp(now, u) {
			count++
		}
	}
	return count
}

// warmingUp reports whether the requests of an upstream are limited because it is warming up.
func (s *Selector) warmingUp(now time.Time, u *upstream) bool {
	return s.warmUpLimit.PerSecond() > 0 && u.warmUp.Active(now)
}

// refreshLimit puts the lower of the limit that an upstream names and that of its warm-up in force.
func (s *Selector) refreshLimit(now time.Time, u *upstream) {
	perSecond, warmingUp := u.limit.PerSecond(), s.warmingUp(now, u)
	if warmingUp && (perSecond <= 0 || s.warmUpLimit.PerSecond() < perSecond) {
		perSecond = s.warmUpLimit.PerSecond()
	}
	if perSecond == u.perSecond && warmingUp == u.warmingUp {
		return
	}
	if warmingUp && !u.warmingUp {
		// Permits of periods that began before this balancer learned of the warm-up must not be used: they would add to
		// what balancers send that learn of it later.
		u.permits = cvpermits.Permits{}
	}
	u.perSecond, u.warmingUp = perSecond, warmingUp
	lifetime := time.Duration(0)
	if warmingUp {
		lifetime = s.warmUpLimit.Lifetime()
	}
	u.permits.SetLifetime(lifetime)
	if u.limited() {
		u.permits.SetLimit(now, perSecond)
	}
}

// limitedUntil reports whether the requests of an upstream are limited now and will be at a time.
func (s *Selector) limitedUntil(u *upstream, until time.Time) bool {
	return u.limited() && (u.limit.PerSecond() > 0 || u.warmUp.Active(until))
}

// mustAskWarmUp reports whether the upstream has to be asked whether it is warming up at all. It is asked once.
func (s *Selector) mustAskWarmUp(u *upstream) bool {
	return u.limit.PerSecond() <= 0 && u.warmUp.Assumed() && u.probedAt.Before(u.warmUp.StatedAt())
}

// warmUpTold reports whether a warm-up was learned recently enough to be told to other balancers.
func (s *Selector) warmUpTold(now time.Time, u *upstream) bool {
	return s.warmingUp(now, u) && now.Sub(u.warmUp.StatedAt()) <= limitTellTime
}
