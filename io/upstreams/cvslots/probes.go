package cvslots

import (
	"time"

	"comfreyvale/core/cvinstance"
)

// activeTime is how long after the last request to a group its upstreams are still probed.
const activeTime = time.Second

// UpstreamsToProbe returns the upstreams that this balancer must probe for a load report, and records that they are
// being probed. These are the upstreams of this data centre whose last report and last probe are older than the given
// age. The balancers share the probes: assigned reports whether this balancer probes the upstream. UpstreamsToProbe
// returns none if the group had no request within activeTime.
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
