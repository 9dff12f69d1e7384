package cvselector

import (
	"cmp"
	"slices"
	"time"
)

func (s *Selector) recordFailure(now time.Time, u *upstream) {
	u.failureShare = u.failureShare*decay(now.Sub(u.failureShareAt), failureDecayTime)*(1-failureGain) + failureGain
	u.failureShareAt = now
	u.failuresInRow++
	if u.failuresInRow < ejectFailures {
		return
	}
	if !u.ejected && !s.mayEject() {
		return
	}
	u.ejected = true
	u.ejectionTime = min(max(2*u.ejectionTime, minEjectionTime), maxEjectionTime)
	u.ejectedUntil = now.Add(u.ejectionTime)
}

// mayEject reports whether one more ejection leaves at least the share ejectFloor of the upstreams that are not
// draining.
func (s *Selector) mayEject() bool {
	ejected, staying := 0, 0
	for _, u := range s.upstreams {
		if u.instance.Draining() {
			continue
		}
		staying++
		if u.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= (1-ejectFloor)*float64(staying)
}

// Ejected returns the sorted IDs of the ejected upstreams.
func (s *Selector) Ejected(now time.Time) []string {
	var found []string
	for _, u := range s.upstreams {
		if u.ejected && now.Before(u.ejectedUntil) {
			found = append(found, u.instance.ID())
		}
	}
	slices.SortFunc(found, cmp.Compare[string])
	return found
}
