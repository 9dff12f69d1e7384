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
func (s *Slots) markChanged(id string) { s.changed[id] = struct{}{} }

// FillUpstreams adds the upstream states that have changed since the last message. A full message also has every
// upstream in use by this balancer.
func (s *Slots) FillUpstreams(now time.Time, message *cvwire.News, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if full {
		for _, id := range s.admission.Selector.UpstreamsInUse() {
			s.markChanged(id)
		}
	}
	for id := range s.changed {
		s.addState(now, message, id)
	}
	clear(s.changed)
}

// The caller holds the lock.
func (s *Slots) addState(now time.Time, message *cvwire.News, id string) {
	inFlight, age, busy, slownessAge, slowness, known := s.admission.Selector.StateForPeers(now, id)
	if known {
		appendState(message, id, inFlight, age, busy, slownessAge, slowness)
	}
}

func appendState(message *cvwire.News, id string, inFlight int, age time.Duration, busy int, slownessAge time.Duration, slowness float64) {
	ageMs := uint32(0)
	if age < maxReportAge {
		ageMs = uint32(age.Milliseconds()) + 1
	}
	message.Upstreams = append(message.Upstreams, Hash(id))
	message.InFlight = append(message.InFlight, uint32(inFlight))
	message.AgeMs = append(message.AgeMs, ageMs)
	message.Busy = append(message.Busy, uint32(busy))
	message.Slowness = append(message.Slowness, uint32(slowness*slownessScale))
	message.SlownessAgeMs = append(message.SlownessAgeMs, uint32(min(slownessAge, unknownReportAge).Milliseconds()))
}

// FillDigest adds what other data centres must know: the upstream states that have changed within the given time and, if
// inUse is set, those of all upstreams in use by this data centre's balancers.
func (s *Slots) FillDigest(now time.Time, message *cvwire.News, within time.Duration, inUse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for _, id := range s.admission.Selector.Changed(now, within, inUse) {
		inFlight, age, busy, slownessAge, slowness, known := s.admission.Selector.DigestForPeers(now, id)
		if known {
			appendState(message, id, inFlight, age, busy, slownessAge, slowness)
		}
	}
}

// UpstreamState returns this balancer's in-flight count of an upstream and the upstream's last load report. The age is
// at most an hour, also without a report.
func (s *Slots) UpstreamState(now time.Time, id string) (inFlight int, age time.Duration, busy int, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	inFlight, age, busy, _, slowness, _ = s.admission.Selector.StateForPeers(now, id)
	return inFlight, min(age, unknownReportAge), busy, slowness
}

// RecordPeerState records the upstream state at an index of a peer's message.
func (s *Slots) RecordPeerState(now time.Time, message *cvwire.News, index int, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	inFlight := int(message.GetInFlight()[index])
	if dataCentre := message.GetDigestOf(); dataCentre != "" {
		s.admission.Selector.RecordRemoteInFlight(now, xxhash.Sum64String(dataCentre), id, inFlight)
	} else {
		s.admission.Selector.RecordPeerInFlight(now, message.GetProcess(), id, inFlight)
	}
	if ageMs := message.GetAgeMs()[index]; ageMs > 0 {
		age := time.Duration(ageMs-1) * time.Millisecond
		slownessAge := age
		if ages := message.GetSlownessAgeMs(); index < len(ages) {
			slownessAge = time.Duration(ages[index]) * time.Millisecond
		}
		s.admission.Selector.RecordPeerReport(now, id, age, int(message.GetBusy()[index]), slownessAge, float64(message.GetSlowness()[index])/slownessScale)
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
