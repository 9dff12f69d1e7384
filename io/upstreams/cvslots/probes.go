package cvslots

import (
	"time"

	"comfreyvale/core/cvinstance"
)

// activeTime is how long a group's upstreams are still probed after its last request.
const activeTime = time.Second

// UpstreamsToProbe returns the upstreams of this data centre that are assigned to this balancer and whose last report
// and last probe are older than age, and records that they are being probed. It returns none if the group had no
// request within activeTime.
func (s *Slots) UpstreamsToProbe(now time.Time, age time.Duration, assigned func(id string) bool) []*cvinstance.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if now.Sub(s.lastRequestAt) > activeTime {
		return nil
	}
	var found []*cvinstance.Instance
	for _, i := range s.admission.Selector.UpstreamsToProbe(now, age) {
		if assigned(i.ID()) {
			s.admission.Selector.RecordProbe(now, i.ID())
			found = append(found, i)
		}
	}
	return found
}
