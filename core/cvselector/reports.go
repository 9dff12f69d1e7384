package cvselector

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvupstreamstate"
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

// RecordPeerReport records the load and the slowness that a peer has learned, each if it was reported.
func (s *Selector) RecordPeerReport(now time.Time, id string, state cvupstreamstate.State) {
	u := s.byID[id]
	if u == nil {
		return
	}
	if state.HasLoad() {
		s.applyReport(now, now.Add(-state.LoadAge()), u, state.Load())
	}
	if state.HasSlowness() {
		u.recordSlowness(now, now.Add(-state.SlownessAge()), state.Slowness())
	}
}

// DropStalePeerCounts drops a peer's in-flight counts that were recorded before now. It is called after the counts of
// the peer's full state message were recorded at the time now.
func (s *Selector) DropStalePeerCounts(now time.Time, peer uint64) {
	for _, u := range s.upstreams {
		if c, ok := u.peerCounts[peer]; ok && c.at.Before(now) {
			delete(u.peerCounts, peer)
			if c.count > 0 {
				u.countsChangedAt = now
			}
		}
	}
}

// OwnState returns this balancer's in-flight attempts on an upstream and the last reports, or false for an unknown
// upstream.
func (s *Selector) OwnState(now time.Time, id string) (cvupstreamstate.State, bool) {
	u := s.byID[id]
	if u == nil {
		return cvupstreamstate.State{}, false
	}
	return u.addReports(now, cvupstreamstate.New(len(u.attempts))), true
}

// DataCentreState returns the in-flight attempts of this data centre's balancers on an upstream, or false for an unknown
// upstream. It has the last reports only of an upstream in this data centre: other data centres report theirs.
func (s *Selector) DataCentreState(now time.Time, id string) (cvupstreamstate.State, bool) {
	u := s.byID[id]
	if u == nil {
		return cvupstreamstate.State{}, false
	}
	state := cvupstreamstate.New(u.localInFlight(now))
	if s.near(u) {
		state = u.addReports(now, state)
	}
	return state, true
}

// addReports adds the last reported load and slowness, if any.
func (u *upstream) addReports(now time.Time, state cvupstreamstate.State) cvupstreamstate.State {
	if !u.reportedAt.IsZero() {
		state = state.WithLoad(u.reportedLoad, now.Sub(u.reportedAt))
	}
	if u.slowness > 0 {
		state = state.WithSlowness(u.slowness, now.Sub(u.slownessAt))
	}
	return state
}

// Changed returns the IDs of the upstreams of which other data centres must learn, because something has changed within
// the given time. If inUse is set, it also returns those of which they must learn repeatedly.
func (s *Selector) Changed(now time.Time, within time.Duration, inUse bool) []string {
	var found []string
	for _, u := range s.upstreams {
		if s.changedWithin(now, u, within) || inUse && s.repeated(now, u) {
			found = append(found, u.instance.ID())
		}
	}
	return found
}

// changedWithin reports whether the attempts of this data centre's balancers or the request limit have changed within
// the given time, or whether a load or a slowness of an upstream in this data centre was learned within it.
func (s *Selector) changedWithin(now time.Time, u *upstream, within time.Duration) bool {
	return now.Sub(u.countsChangedAt) <= within || now.Sub(u.limitChangedAt) <= within || s.near(u) && now.Sub(u.learnedAt) <= within
}

// repeated reports whether this data centre's balancers have attempts in flight, or whether the upstream has lately
// stated a request limit or a warm-up to this balancer or in this data centre. Others repeat the rest.
func (s *Selector) repeated(now time.Time, u *upstream) bool {
	return u.localInFlight(now) > 0 || u.limitStated(now) && (s.near(u) || u.limit.Source() == "") ||
		s.warmUpTold(now, u) && (s.near(u) || u.warmUp.Source() == "")
}

// UpstreamsToProbe returns the upstreams in this data centre that are not draining, do not limit their requests, and
// whose last report and last probe are older than age. There are none while the data centre is evacuated. An upstream
// that is only assumed to warm up is asked once.
func (s *Selector) UpstreamsToProbe(now time.Time, age time.Duration) []*cvinstance.Instance {
	var found []*cvinstance.Instance
	for _, u := range s.upstreams {
		s.refreshLimit(now, u)
		if s.near(u) && !s.isEvacuated(u) && !u.instance.Draining() && (!u.limited() || s.mustAskWarmUp(u)) && s.reportDue(now, u, age) {
			found = append(found, u.instance)
		}
	}
	return found
}

// reportDue reports whether the last report and the last probe of an upstream are older than age. If warm-ups limit
// requests, a probe is also due maxWarmUpAge after the last one, however recent the reports in other responses are.
func (s *Selector) reportDue(now time.Time, u *upstream, age time.Duration) bool {
	if s.warmUpLimit.PerSecond() > 0 && now.Sub(u.probedAt) > maxWarmUpAge {
		return true
	}
	return now.Sub(u.reportedAt) > age && now.Sub(u.probedAt) > age
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
