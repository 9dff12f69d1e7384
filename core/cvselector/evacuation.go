package cvselector

import (
	"slices"
	"time"

	"comfreyvale/core/cvrequirements"
)

// SetEvacuated sets the data centres whose upstreams get no requests. Upstreams of a data centre that is not evacuated
// any more count as warming up from now on.
func (s *Selector) SetEvacuated(now time.Time, dataCentres []string) {
	before := s.evacuated
	s.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		s.evacuated[name] = true
		delete(s.evacuationEnds, name)
	}
	for name := range before {
		if !s.evacuated[name] {
			if s.evacuationEnds == nil {
				s.evacuationEnds = make(map[string]time.Time)
			}
			s.evacuationEnds[name] = now
		}
	}
	for _, u := range s.upstreams {
		if ended, ok := s.evacuationEnds[u.instance.DataCentre()]; ok && ended.Equal(now) {
			s.assumeWarmUp(now, u)
		}
	}
	s.endExcessEjections()
}

// endExcessEjections ends the ejections of the upstreams that stay if they leave less than the share ejectFloor of
// them, because an evacuation has taken away the others.
func (s *Selector) endExcessEjections() {
	if ejected, staying := s.countEjected(); float64(ejected) <= (1-ejectFloor)*float64(staying) {
		return
	}
	for _, u := range s.upstreams {
		if s.staying(u) && u.ejected {
			u.ejected, u.failuresInRow = false, 0
		}
	}
}

func (s *Selector) isEvacuated(u *upstream) bool {
	return len(s.evacuated) > 0 && s.evacuated[u.instance.DataCentre()]
}

// available reports whether an upstream accepts requests.
func (s *Selector) available(now time.Time, u *upstream) bool {
	return !s.isEvacuated(u) && u.available(now)
}

// Evacuated returns the sorted names of the data centres whose evacuation leaves no upstream for a request, or none if
// it has an upstream or would have none without the evacuations either.
func (s *Selector) Evacuated(now time.Time, reqs cvrequirements.Requirements) []string {
	if len(s.evacuated) == 0 {
		return nil
	}
	var found []string
	for _, u := range s.upstreams {
		dataCentre := u.instance.DataCentre()
		if !u.available(now) || !reqs.Allows(dataCentre) || slices.Contains(reqs.Avoid(), u.instance.ID()) {
			continue
		}
		if !s.isEvacuated(u) {
			return nil
		}
		if !slices.Contains(found, dataCentre) {
			found = append(found, dataCentre)
		}
	}
	slices.Sort(found)
	return found
}
