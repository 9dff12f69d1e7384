package cvslots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyvale/core/cvwire"
)

// maxReportAge is the age from which a load report is not sent to peers, because the machine's speed has changed by
// then.
const maxReportAge = 300 * time.Millisecond

// unknownReportAge is the age given for a report that never arrived.
const unknownReportAge = time.Hour

// slownessScale converts a slowness to hundredths, the unit in messages.
const slownessScale = 100

// Hash returns the hash that identifies an upstream in messages between balancers.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// markChanged marks an upstream's state to be sent to the peers. The caller holds the lock.
func (s *Slots) markChanged(id string) {
	s.changedLocal[id] = struct{}{}
	s.changedAll[id] = struct{}{}
}

// FillNews adds the upstream states that have changed since the last message to the same balancers: those of this data
// centre if sameDataCentre is true, else all. A full message also has every upstream in use by this balancer.
func (s *Slots) FillNews(now time.Time, message *cvwire.News, sameDataCentre, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	changed := s.changedLocal
	if !sameDataCentre {
		changed = s.changedAll
	}
	if full {
		for _, id := range s.admission.Selector.UpstreamsInUse() {
			changed[id] = struct{}{}
		}
	}
	for id := range changed {
		s.addState(now, message, id)
	}
	clear(s.changedLocal)
	if !sameDataCentre {
		clear(s.changedAll)
	}
}

// The caller holds the lock.
func (s *Slots) addState(now time.Time, message *cvwire.News, id string) {
	inFlight, age, busy, slowness, known := s.admission.Selector.StateForPeers(now, id)
	if !known {
		return
	}
	ageMs := uint32(0)
	if age < maxReportAge {
		ageMs = uint32(age.Milliseconds()) + 1
	}
	message.Upstreams = append(message.Upstreams, Hash(id))
	message.InFlight = append(message.InFlight, uint32(inFlight))
	message.AgeMs = append(message.AgeMs, ageMs)
	message.Busy = append(message.Busy, uint32(busy))
	message.Slowness = append(message.Slowness, uint32(slowness*slownessScale))
}

// UpstreamState returns this balancer's in-flight count of an upstream and the upstream's last load report. The age is
// at most an hour, also without a report.
func (s *Slots) UpstreamState(now time.Time, id string) (inFlight int, age time.Duration, busy int, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	inFlight, age, busy, slowness, _ = s.admission.Selector.StateForPeers(now, id)
	return inFlight, min(age, unknownReportAge), busy, slowness
}

// RecordPeerState records the upstream state at an index of a peer's message.
func (s *Slots) RecordPeerState(now time.Time, message *cvwire.News, index int, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.RecordPeerInFlight(now, message.GetProcess(), id, int(message.GetInFlight()[index]))
	if ageMs := message.GetAgeMs()[index]; ageMs > 0 {
		age := time.Duration(ageMs-1) * time.Millisecond
		s.admission.Selector.RecordPeerReport(now, id, age, int(message.GetBusy()[index]), float64(message.GetSlowness()[index])/slownessScale)
	}
}

// DropStalePeerCounts removes a peer's in-flight counts from before now. Call it after recording a full message with
// the same time.
func (s *Slots) DropStalePeerCounts(now time.Time, peer uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.DropStalePeerCounts(now, peer)
}
