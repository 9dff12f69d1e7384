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

// mayEject reports whether one more ejection leaves at least the share ejectFloor of the upstreams that are neither
// draining nor in an evacuated data centre.
func (s *Selector) mayEject() bool {
	ejected, staying := s.countEjected()
	return float64(ejected+1) <= (1-ejectFloor)*float64(staying)
}

// staying reports whether an upstream is neither draining nor in an evacuated data centre.
func (s *Selector) staying(u *upstream) bool { return !u.instance.Draining() && !s.isEvacuated(u) }

// countEjected returns the number of the upstreams that stay, and how many of these are ejected.
func (s *Selector) countEjected() (ejected, staying int) {
	for _, u := range s.upstreams {
		if !s.staying(u) {
			continue
		}
		staying++
		if u.ejected {
			ejected++
		}
	}
	return ejected, staying
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
