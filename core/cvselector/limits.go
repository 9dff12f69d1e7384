package cvselector

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvnamedlimit"
)

// RecordLimit records the request limit that an upstream named at a time, 0 for none, and whose statement it is: a
// balancer's, or that of an answer if source is empty. It ignores an earlier run of the upstream. It reports whether the
// limit in force has changed.
func (s *Selector) RecordLimit(at time.Time, instance *cvinstance.Instance, perSecond float64, source string) bool {
	u := s.byID[instance.ID()]
	return u != nil && u.instance.SameStart(instance) && u.limit.Record(at, perSecond, source)
}

// NamedLimit returns what is known of an upstream's request limit.
func (s *Selector) NamedLimit(id string) cvnamedlimit.Limit {
	if u := s.byID[id]; u != nil {
		return u.limit
	}
	return cvnamedlimit.Limit{}
}

// LimitedCount returns the number of upstreams with a request limit in force.
func (s *Selector) LimitedCount() int {
	count := 0
	for _, u := range s.upstreams {
		if u.limit.PerSecond() > 0 {
			count++
		}
	}
	return count
}
