package cvselector

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
)

// RecordReport takes an upstream's own report of its load. It came with the answer to a request that ended with it, unless ended
// is 0: such a request is still among those that the report counts.
func (s *Selector) RecordReport(now time.Time, id string, load cvloadreport.Report, ended int) {
	m := s.byID[id]
	if m == nil {
		return
	}
	s.take(now, now, m, load.Running()+load.Waiting()-ended, load.Slowness())
	if load.Slowness() <= 0 {
		return
	}
	if s.slowness == 0 {
		s.slowness = load.Slowness()
	}
	s.slowness += slownessGain * (load.Slowness() - s.slowness)
}

// take takes in a report of a moment, unless a later one is known.
func (s *Selector) take(now, reported time.Time, m *member, busy int, slowness float64) {
	if reported.Before(m.reported) {
		return
	}
	m.reported = reported
	m.busy = max(busy, 0)
	m.account(now)
	if slowness > 0 {
		m.measured = reported
		m.slowness = slowness
	}
}

// RecordPeerInFlight takes a peer's own tries in flight on an upstream.
func (s *Selector) RecordPeerInFlight(now time.Time, peer uint64, id string, inFlight int) {
	m := s.byID[id]
	if m == nil {
		return
	}
	if m.peers == nil {
		m.peers = make(map[uint64]peerCount)
	}
	m.peers[peer] = peerCount{count: inFlight, at: now}
}

// RecordPeerReport takes a report of load that an upstream made to a peer some time ago.
func (s *Selector) RecordPeerReport(now time.Time, id string, age time.Duration, busy int, slowness float64) {
	if m := s.byID[id]; m != nil {
		s.take(now, now.Add(-age), m, busy, slowness)
	}
}

// DropStalePeerCounts drops a peer's tries in flight on all upstreams but those that it has just told of.
func (s *Selector) DropStalePeerCounts(now time.Time, peer uint64) {
	for _, m := range s.members {
		if c, ok := m.peers[peer]; ok && c.at.Before(now) {
			delete(m.peers, peer)
		}
	}
}

// StateForPeers is what a peer may want to know of an upstream: the own tries in flight, and the last report with its age.
func (s *Selector) StateForPeers(now time.Time, id string) (inFlight int, age time.Duration, busy int, slowness float64, known bool) {
	m := s.byID[id]
	if m == nil {
		return 0, 0, 0, 0, false
	}
	return len(m.begun), now.Sub(m.reported), m.busy, m.slowness, true
}

// UpstreamsToProbe returns the upstreams of the own data centre that take work and whose last report is older than an age.
func (s *Selector) UpstreamsToProbe(now time.Time, age time.Duration) []*cvinstance.Instance {
	var found []*cvinstance.Instance
	for _, m := range s.members {
		if m.instance.DataCentre() == s.DataCentre && !m.instance.Draining() && now.Sub(m.reported) > age && now.Sub(m.probed) > age {
			found = append(found, m.instance)
		}
	}
	return found
}

// RecordProbe notes that an upstream is being asked for a report.
func (s *Selector) RecordProbe(now time.Time, id string) {
	if m := s.byID[id]; m != nil {
		m.probed = now
	}
}

// UpstreamsInUse are the ids of the upstreams with own tries in flight.
func (s *Selector) UpstreamsInUse() []string {
	var found []string
	for _, m := range s.members {
		if len(m.begun) > 0 {
			found = append(found, m.instance.ID())
		}
	}
	return found
}
