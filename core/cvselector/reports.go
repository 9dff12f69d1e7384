package cvselector

import (
	"math"
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
)

// RecordReport records a load report of an upstream. ended is how many of the reported requests have ended since: 1 for
// a report that came with an answer, as it still counts the answered request, otherwise 0.
func (s *Selector) RecordReport(now time.Time, id string, report cvloadreport.Report, ended int) {
	u := s.byID[id]
	if u == nil {
		return
	}
	s.applyReport(now, now, u, report.Running()+report.Waiting()-ended)
	if report.Slowness() <= 0 {
		return
	}
	u.recordSlowness(now, now, report.Slowness())
	if s.slowness == 0 {
		s.slowness = report.Slowness()
	}
	s.slowness += slownessGain * (report.Slowness() - s.slowness)
}

// applyReport stores a reported load unless it is older than the last one.
func (s *Selector) applyReport(now, reported time.Time, u *upstream, load int) {
	if reported.Before(u.reportedAt) {
		return
	}
	u.reportedAt, u.learnedAt = reported, now
	u.reportedLoad = max(load, 0)
	u.updateUnattributed(now)
}

// recordSlowness stores a reported slowness unless it is older than the last one.
func (u *upstream) recordSlowness(now, reported time.Time, slowness float64) {
	if slowness <= 0 || reported.Before(u.slownessAt) {
		return
	}
	u.slownessAt, u.learnedAt = reported, now
	u.slowness = slowness
}

// RecordPeerInFlight records the number of a peer's in-flight attempts on an upstream.
func (s *Selector) RecordPeerInFlight(now time.Time, peer uint64, id string, inFlight int) {
	u := s.byID[id]
	if u == nil {
		return
	}
	if u.peerCounts[peer].count != inFlight {
		u.countsChangedAt = now
	}
	u.setPeerCount(peer, peerCount{count: inFlight, at: now})
}

// RecordRemoteInFlight records the number of in-flight attempts on an upstream by all balancers of another data centre.
func (s *Selector) RecordRemoteInFlight(now time.Time, dataCentre uint64, id string, inFlight int) {
	if u := s.byID[id]; u != nil {
		u.setPeerCount(dataCentre, peerCount{count: inFlight, at: now, remote: true})
	}
}

func (u *upstream) setPeerCount(peer uint64, count peerCount) {
	if u.peerCounts == nil {
		u.peerCounts = make(map[uint64]peerCount)
	}
	u.peerCounts[peer] = count
}

// RecordPeerReport records a load and a slowness that a peer has learned, with their ages.
func (s *Selector) RecordPeerReport(now time.Time, id string, age time.Duration, load int, slownessAge time.Duration, slowness float64) {
	if u := s.byID[id]; u != nil {
		s.applyReport(now, now.Add(-age), u, load)
		u.recordSlowness(now, now.Add(-slownessAge), slowness)
	}
}

// DropStalePeerCounts drops a peer's in-flight counts that were recorded before now. It is called after the counts of
// the peer's full state message were recorded at the time now.
func (s *Selector) DropStalePeerCounts(now time.Time, peer uint64) {
	for _, u := range s.upstreams {
		if c, ok := u.peerCounts[peer]; ok && c.at.Before(now) {
			delete(u.peerCounts, peer)
		}
	}
}

// StateForPeers returns this balancer's in-flight attempts on an upstream, and the last reported load and slowness with
// their ages.
func (s *Selector) StateForPeers(now time.Time, id string) (inFlight int, age time.Duration, load int, slownessAge time.Duration, slowness float64, known bool) {
	u := s.byID[id]
	if u == nil {
		return 0, 0, 0, 0, 0, false
	}
	return len(u.attempts), now.Sub(u.reportedAt), u.reportedLoad, now.Sub(u.slownessAt), u.slowness, true
}

// DigestForPeers returns what other data centres must know of an upstream: the in-flight attempts of this data centre's
// balancers and, of an upstream in this data centre, the last reported load and slowness with their ages. Those of other
// upstreams have the age math.MaxInt64.
func (s *Selector) DigestForPeers(now time.Time, id string) (inFlight int, age time.Duration, load int, slownessAge time.Duration, slowness float64, known bool) {
	u := s.byID[id]
	if u == nil {
		return 0, 0, 0, 0, 0, false
	}
	if !s.near(u) {
		return u.localInFlight(now), math.MaxInt64, 0, math.MaxInt64, 0, true
	}
	return u.localInFlight(now), now.Sub(u.reportedAt), u.reportedLoad, now.Sub(u.slownessAt), u.slowness, true
}

// Changed returns the IDs of the upstreams of which other data centres must learn: those on which the attempts of this
// data centre's balancers have changed within the given time, and those of this data centre of which a load or a
// slowness was learned within that time. If inUse is set, also those with attempts in flight.
func (s *Selector) Changed(now time.Time, within time.Duration, inUse bool) []string {
	var found []string
	for _, u := range s.upstreams {
		if now.Sub(u.countsChangedAt) <= within || s.near(u) && now.Sub(u.learnedAt) <= within || inUse && u.localInFlight(now) > 0 {
			found = append(found, u.instance.ID())
		}
	}
	return found
}

// UpstreamsToProbe returns the upstreams in this data centre that are not draining and whose last report and last probe
// are older than age.
func (s *Selector) UpstreamsToProbe(now time.Time, age time.Duration) []*cvinstance.Instance {
	var found []*cvinstance.Instance
	for _, u := range s.upstreams {
		if s.near(u) && !u.instance.Draining() && now.Sub(u.reportedAt) > age && now.Sub(u.probedAt) > age {
			found = append(found, u.instance)
		}
	}
	return found
}

// RecordProbe records that a load report is being requested from an upstream.
func (s *Selector) RecordProbe(now time.Time, id string) {
	if u := s.byID[id]; u != nil {
		u.probedAt = now
	}
}

// UpstreamsInUse returns the IDs of the upstreams on which this balancer has in-flight attempts.
func (s *Selector) UpstreamsInUse() []string {
	var found []string
	for _, u := range s.upstreams {
		if len(u.attempts) > 0 {
			found = append(found, u.instance.ID())
		}
	}
	return found
}
