package cvslots

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyvale/core/cvupstreamstate"
	"comfreyvale/core/cvwire"
)

// maxReportAge is the age from which a load report is not sent to peers, because the machine's speed has changed by
// then.
const maxReportAge = 300 * time.Millisecond

// unknownReportAge is the age sent for a report that never arrived.
const unknownReportAge = time.Hour

// slownessScale converts a slowness to hundredths, the unit in messages.
const slownessScale = 100

// Hash returns the hash that identifies an upstream in messages between balancers.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// markChanged marks an upstream's state to be sent to the peers. The caller holds the lock.
func (s *Slots) markChanged(id string) { s.changed[id] = struct{}{} }

// FillUpstreams adds the upstream states that have changed since the last message. A full message also has every
// upstream in use by this balancer, and those that have lately stated a request limit to it.
func (s *Slots) FillUpstreams(now time.Time, message *cvwire.News, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if full {
		for _, id := range s.admission.Selector.UpstreamsInUse() {
			s.markChanged(id)
		}
		for _, id := range s.admission.Selector.RecentlyStated(now) {
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
	if state, known := s.admission.Selector.OwnState(now, id); known {
		appendState(message, id, state)
		s.appendLimit(now, message, id)
	}
}

// appendState adds an upstream to the lists of a message, without a load report that is too old.
func appendState(message *cvwire.News, id string, state cvupstreamstate.State) {
	ageMs := uint32(0)
	if state.LoadAge() < maxReportAge {
		ageMs = uint32(state.LoadAge().Milliseconds()) + 1
	}
	message.Upstreams = append(message.Upstreams, Hash(id))
	message.InFlight = append(message.InFlight, uint32(state.InFlight()))
	message.AgeMs = append(message.AgeMs, ageMs)
	message.Busy = append(message.Busy, uint32(state.Load()))
	message.Slowness = append(message.Slowness, uint32(state.Slowness()*slownessScale))
	message.SlownessAgeMs = append(message.SlownessAgeMs, uint32(min(state.SlownessAge(), unknownReportAge).Milliseconds()))
}

// stateAt returns the state of the upstream at an index of a message's lists. Older balancers send no slownessAgeMs;
// their slowness is as old as their load.
func stateAt(message *cvwire.News, index int) cvupstreamstate.State {
	state := cvupstreamstate.New(int(message.GetInFlight()[index]))
	ageMs := message.GetAgeMs()[index]
	if ageMs == 0 {
		return state
	}
	age := time.Duration(ageMs-1) * time.Millisecond
	slownessAge := age
	if ages := message.GetSlownessAgeMs(); index < len(ages) {
		slownessAge = time.Duration(ages[index]) * time.Millisecond
	}
	return state.WithLoad(int(message.GetBusy()[index]), age).WithSlowness(float64(message.GetSlowness()[index])/slownessScale, slownessAge)
}

// FillDigest adds what other data centres must know: the upstream states that have changed within the given time and, if
// inUse is set, those of all upstreams in use by this data centre's balancers.
func (s *Slots) FillDigest(now time.Time, message *cvwire.News, within time.Duration, inUse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for _, id := range s.admission.Selector.Changed(now, within, inUse) {
		if state, known := s.admission.Selector.DataCentreState(now, id); known {
			appendState(message, id, state)
			s.appendLimit(now, message, id)
		}
	}
}

// UpstreamState returns this balancer's in-flight attempts on an upstream and the upstream's last reports.
func (s *Slots) UpstreamState(now time.Time, id string) cvupstreamstate.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	state, _ := s.admission.Selector.OwnState(now, id)
	return state
}

// RecordPeerState records the upstream state at an index of a peer's message.
func (s *Slots) RecordPeerState(now time.Time, message *cvwire.News, index int, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	state := stateAt(message, index)
	if dataCentre := message.GetDigestOf(); dataCentre != "" {
		s.admission.Selector.RecordRemoteInFlight(now, xxhash.Sum64String(dataCentre), id, state.InFlight())
	} else {
		s.admission.Selector.RecordPeerInFlight(now, message.GetProcess(), id, state.InFlight())
	}
	s.admission.Selector.RecordPeerReport(now, id, state)
}

// DropStalePeerCounts removes a peer's in-flight counts from before now. Call it after recording a full message with
// the same time.
func (s *Slots) DropStalePeerCounts(now time.Time, peer uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.DropStalePeerCounts(now, peer)
}
