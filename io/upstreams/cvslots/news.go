package cvslots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyvale/core/cvwire"
)

// reportLife is the age from which a report is not told any more: a machine's speed has changed by then.
const reportLife = 300 * time.Millisecond

// longestAge stands for reports that never came.
const longestAge = time.Hour

// percent turns a slowness into hundredths.
const percent = 100

// Hash stands for an upstream instance in messages between balancers.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// changed notes that an upstream's figures are news to the peers. The caller holds the lock.
func (s *Slots) changed(id string) {
	s.near[id] = struct{}{}
	s.far[id] = struct{}{}
}

// FillNews puts into a message what changed since the last message to near or to all balancers, or all tries in flight.
func (s *Slots) FillNews(now time.Time, message *cvwire.News, near, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	told := s.near
	if !near {
		told = s.far
	}
	if whole {
		for _, id := range s.admission.Selector.UpstreamsInUse() {
			told[id] = struct{}{}
		}
	}
	for id := range told {
		s.add(now, message, id)
	}
	clear(s.near)
	if !near {
		clear(s.far)
	}
}

func (s *Slots) add(now time.Time, message *cvwire.News, id string) {
	inFlight, age, busy, slowness, known := s.admission.Selector.StateForPeers(now, id)
	if !known {
		return
	}
	ageMs := uint32(0)
	if age < reportLife {
		ageMs = uint32(age.Milliseconds()) + 1
	}
	message.Upstreams = append(message.Upstreams, Hash(id))
	message.InFlight = append(message.InFlight, uint32(inFlight))
	message.AgeMs = append(message.AgeMs, ageMs)
	message.Busy = append(message.Busy, uint32(busy))
	message.Slowness = append(message.Slowness, uint32(slowness*percent))
}

// UpstreamState is what the choice of an upstream rested on: the own tries in flight there, and the last report with its age.
func (s *Slots) UpstreamState(now time.Time, id string) (inFlight int, age time.Duration, busy int, slowness float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	inFlight, age, busy, slowness, _ = s.admission.Selector.StateForPeers(now, id)
	return inFlight, min(age, longestAge), busy, slowness
}

// RecordPeerState takes one upstream's figures out of a peer's message.
func (s *Slots) RecordPeerState(now time.Time, message *cvwire.News, index int, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.RecordPeerInFlight(now, message.GetProcess(), id, int(message.GetInFlight()[index]))
	if ageMs := message.GetAgeMs()[index]; ageMs > 0 {
		age := time.Duration(ageMs-1) * time.Millisecond
		s.admission.Selector.RecordPeerReport(now, id, age, int(message.GetBusy()[index]), float64(message.GetSlowness()[index])/percent)
	}
}

// DropStalePeerCounts says that a peer has just told of all its tries in flight.
func (s *Slots) DropStalePeerCounts(now time.Time, peer uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.DropStalePeerCounts(now, peer)
}
