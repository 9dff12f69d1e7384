package cvselector

import (
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
	s.applyReport(now, now, u, report.Running()+report.Waiting()-ended, report.Slowness())
	if report.Slowness() <= 0 {
		return
	}
	if s.slowness == 0 {
		s.slowness = report.Slowness()
	}
	s.slowness += slownessGain * (report.Slowness() - s.slowness)
}

// applyReport stores a load report unless it is older than the last one.
func (s *Selector) applyReport(now, reported time.Time, u *upstream, load int, slowness float64) {
	if reported.Before(u.reportedAt) {
		return
	}
	u.reportedAt = reported
	u.reportedLoad = max(load, 0)
	u.updateUnattributed(now)
	if slowness > 0 {
		u.slownessAt = reported
		u.slowness = slowness
	}
}

// RecordPeerInFlight records the number of a peer's in-flight attempts on an upstream.
func (s *Selector) RecordPeerInFlight(now time.Time, peer uint64, id string, inFlight int) {
	u := s.byID[id]
	if u == nil {
		return
	}
	if u.peerCounts == nil {
		u.peerCounts = make(map[uint64]peerCount)
	}
	u.peerCounts[peer] = peerCount{count: inFlight, at: now}
}

// RecordPeerReport records a load report that a peer received from an upstream.
func (s *Selector) RecordPeerReport(now time.Time, id string, age time.Duration, load int, slowness float64) {
	if u := s.byID[id]; u != nil {
		s.applyReport(now, now.Add(-age), u, load, slowness)
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

// StateForPeers returns this balancer's in-flight attempts on an upstream and the last load report with its age.
func (s *Selector) StateForPeers(now time.Time, id string) (inFlight int, age time.Duration, load int, slowness float64, known bool) {
	u := s.byID[id]
	if u == nil {
		return 0, 0, 0, 0, false
	}
	return len(u.attempts), now.Sub(u.reportedAt), u.reportedLoad, u.slowness, true
}

// UpstreamsToProbe returns the upstreams in this data centre that are not draining and whose last report and last probe
// are older than age.
func (s *Selector) UpstreamsToProbe(now time.Time, age time.Duration) []*cvinstance.Instance {
	var found []*cvinstance.Instance
	for _, u := range s.upstreams {
		if u.instance.DataCentre() == s.DataCentre && !u.instance.Draining() && now.Sub(u.reportedAt) > age && now.Sub(u.probedAt) > age {
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
