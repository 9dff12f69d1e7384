package cvselector

import (
	"slices"
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvnamedlimit"
	"comfreyvale/core/cvrequirements"
)

// limitTellTime is how long a statement about a request limit is told to other balancers, several times, as messages may
// be lost.
const limitTellTime = 2 * time.Second

// RecordLimit records the request limit that an upstream named at a time, 0 for none, and whose statement it is: a
// balancer's, or that of an answer if source is empty. It ignores an earlier run of the upstream. It reports whether the
// limit in force has changed.
func (s *Selector) RecordLimit(now, at time.Time, instance *cvinstance.Instance, perSecond float64, source string) bool {
	u := s.byID[instance.ID()]
	if u == nil || !u.instance.SameStart(instance) || !u.limit.Record(at, perSecond, source) {
		return false
	}
	u.limitChangedAt = now
	s.refreshLimit(now, u)
	return true
}

// NamedLimit returns what is known of an upstream's request limit.
func (s *Selector) NamedLimit(id string) cvnamedlimit.Limit {
	if u := s.byID[id]; u != nil {
		return u.limit
	}
	return cvnamedlimit.Limit{}
}

// LimitToTell returns the last statement about an upstream's request limit, if that or what was learned of its warm-up is
// recent enough to be told to other balancers, and the run of the upstream that made it.
func (s *Selector) LimitToTell(now time.Time, id string) (limit cvnamedlimit.Limit, run *cvinstance.Instance, told bool) {
	u := s.byID[id]
	if u == nil || !u.limitStated(now) && !s.warmUpTold(now, u) {
		return cvnamedlimit.Limit{}, nil, false
	}
	return u.limit, u.instance, true
}

// RecentlyStated returns the IDs of the upstreams that have lately stated a limit or a warm-up to this balancer itself.
func (s *Selector) RecentlyStated(now time.Time) []string {
	var found []string
	for _, u := range s.upstreams {
		if u.limitStated(now) && u.limit.Source() == "" || s.warmUpTold(now, u) && u.warmUp.Source() == "" {
			found = append(found, u.instance.ID())
		}
	}
	return found
}

// LimitedCount returns the number of upstreams that name a request limit.
func (s *Selector) LimitedCount() int {
	count := 0
	for _, u := range s.upstreams {
		if u.limit.PerSecond() > 0 {
			count++
		}
	}
	return count
}

// HeldBack returns the upstream that the last pick would have preferred but for its request limit, or "".
func (s *Selector) HeldBack() string {
	if s.heldBack == nil {
		return ""
	}
	return s.heldBack.instance.ID()
}

// PermitsBefore returns how many requests this balancer may send until a time to the upstreams that could take a
// request, if all of these limit their requests until then, and the one of them with the highest limit; otherwise
// limited is false.
func (s *Selector) PermitsBefore(now, until time.Time, reqs cvrequirements.Requirements) (count int, highest string, limited bool) {
	var of *upstream
	for _, u := range s.upstreams {
		if !s.available(now, u) || !reqs.Allows(u.instance.DataCentre()) || slices.Contains(reqs.Avoid(), u.instance.ID()) {
			continue
		}
		s.refreshLimit(now, u)
		if !s.limitedUntil(u, until) {
			return 0, "", false
		}
		if of == nil || u.perSecond > of.perSecond {
			of = u
		}
		count += u.permits.Count(now, until, s.ownsPeriodOf(u))
	}
	if of == nil {
		return 0, "", false
	}
	return count, of.instance.ID(), true
}

// permitted reports whether the request limit of an upstream, if any, lets this balancer send a request now.
func (s *Selector) permitted(now time.Time, u *upstream) bool {
	return !u.limited() || u.permits.Available(now, s.ownsPeriodOf(u))
}

func (s *Selector) ownsPeriodOf(u *upstream) func(period int64) bool {
	return func(period int64) bool { return s.OwnsPeriod == nil || s.OwnsPeriod(u.instance.ID(), period) }
}

// limited reports whether the requests of the upstream are limited, as of the last refreshLimit.
func (u *upstream) limited() bool { return u.perSecond > 0 }

// limitStated reports whether a statement about the limit is recent enough to be told to other balancers.
func (u *upstream) limitStated(now time.Time) bool {
	return !u.limit.StatedAt().IsZero() && now.Sub(u.limit.StatedAt()) <= limitTellTime
}
