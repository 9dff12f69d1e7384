package cvslots

import (
	"time"

	"comfreyvale/core/cvinstance"
)

// demandTime is how long after a request the reports of its group are kept fresh.
const demandTime = time.Second

// UpstreamsToProbe returns the upstreams to ask for a report: those of the own data centre whose last one is older than an age, that
// are this balancer's to ask, while there are requests for them.
func (s *Slots) UpstreamsToProbe(now time.Time, age time.Duration, mine func(id string) bool) []*cvinstance.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if now.Sub(s.demanded) > demandTime {
		return nil
	}
	var found []*cvinstance.Instance
	for _, i := range s.admission.Selector.UpstreamsToProbe(now, age) {
		if mine(i.ID()) {
			s.admission.Selector.RecordProbe(now, i.ID())
			found = append(found, i)
		}
	}
	return found
}
