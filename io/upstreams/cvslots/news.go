package cvslots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyvale/core/cvwire"
)

// maxReportAge is the age from which a load report is not sent to peers anymore, because the speed of the machine has
// changed by then.
const maxReportAge = 300 * time.Millisecond

// unknownReportAge is the age that UpstreamState returns for an upstream without a load report.
const unknownReportAge = time.Hour

// slownessScale converts a slowness to the hundredths that messages contain.
const slownessScale = 100

// Hash returns the hash that identifies an upstream instance in messages between balancers.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// markChanged records that the state of an upstream must be sent to the peers. The caller holds the lock.
func (s *Slots) markChanged(id string) {
	s.changedLocal[id] = struct{}{}
	s.changedAll[id] = struct{}{}
}

// FillNews adds to a message the states of upstreams that have changed since the last message to the same balancers:
// those of this data centre if sameDataCentre is true, else all. A full message also contains the states of all
// upstreams on which this balancer has in-flight attempts.
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

// addState adds the state of one upstream to a message. The caller holds the lock.
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

// UpstreamState returns the data on which the choice of an upstream was based: the number of this balancer's in-flight
// attempts on the upstream, and the number of requests and the slowness in its last load report, with the age of the
// report. The age is at most an hour, also if there is no report.
func (s *Slots) UpstreamState(now time.Time, id string) (inFlight int, age time.Duration, busy int, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	inFlight, age, busy, slowness, _ = s.admission.Selector.StateForPeers(now, id)
	return inFlight, min(age, unknownReportAge), busy, slowness
}

// RecordPeerState records the state of one upstream from a peer's message, at the given index of the message's lists.
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

// DropStalePeerCounts removes the in-flight counts of a peer that were recorded before now. Call it after a full
// message of the peer was recorded with the same time.
func (s *Slots) DropStalePeerCounts(now time.Time, peer uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.DropStalePeerCounts(now, peer)
}
