package cvselector

import (
	"cmp"
	"slices"
	"time"
)

func (s *Selector) failed(now time.Time, m *member) {
	m.failures = m.failures*decay(now.Sub(m.failedAt), failureLife)*(1-failureGain) + failureGain
	m.failedAt = now
	m.failuresInRow++
	if m.failuresInRow < ejectFailures {
		return
	}
	if !m.ejected && !s.mayEject() {
		return
	}
	m.ejected = true
	m.ejection = min(max(2*m.ejection, firstEjection), lastEjection)
	m.ejectedUntil = now.Add(m.ejection)
}

// mayEject says whether enough of the upstreams that are not leaving would be left.
func (s *Selector) mayEject() bool {
	ejected, staying := 0, 0
	for _, m := range s.members {
		if m.instance.Draining() {
			continue
		}
		staying++
		if m.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= (1-ejectFloor)*float64(staying)
}

// Ejected are the ids of the upstreams that get no requests because of their failures, in order.
func (s *Selector) Ejected(now time.Time) []string {
	var found []string
	for _, m := range s.members {
		if m.ejected && now.Before(m.ejectedUntil) {
			found = append(found, m.instance.ID())
		}
	}
	slices.SortFunc(found, cmp.Compare[string])
	return found
}
