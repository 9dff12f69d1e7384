package cvnews

import (
	"math/rand/v2"
	"slices"
	"time"

	"comfreyvale/core/cvwire"
)

// sendDigests sends the state of this data centre to one balancer of each other data centre, if it is this balancer's
// turn. The receivers pass it on in theirs. As senders and receivers change all the time, a lost balancer costs single
// messages.
func (n *News) sendDigests(now time.Time) {
	n.mu.Lock()
	remote := n.peers.RemoteDataCentres(now)
	interval := n.digestInterval(len(n.peers.Live(now, false)) + 1)
	slot := now.UnixNano() / int64(interval)
	speaks := slot != n.lastSlot && n.peers.Speaks(now, slot)
	n.lastSlot = slot
	n.mu.Unlock()
	if !speaks || len(remote) == 0 {
		return
	}
	var receivers []string
	for _, addresses := range remote {
		receivers = append(receivers, addresses[rand.IntN(len(addresses))])
	}
	// Slots start late if the timer fires late or the clocks of two balancers differ.
	whole := startsMembersInterval(now, interval)
	n.sendDigest(now, receivers, interval+max(interval/2, minInterval), whole)
	if whole {
		n.sendMembers(now, receivers)
	}
}

// startsMembersInterval reports whether the slot is the first one of a membersInterval.
func startsMembersInterval(now time.Time, slot time.Duration) bool {
	start := now.UnixNano() / int64(slot) * int64(slot)
	return start%int64(membersInterval) < int64(slot)
}

// sendDigest sends the changed states of upstreams, in use included if whole is set.
func (n *News) sendDigest(now time.Time, receivers []string, within time.Duration, whole bool) {
	all := &cvwire.News{}
	n.FillDigest(now, all, within, whole)
	for part := range slices.Chunk(all.GetUsage(), maxDigestUsage) {
		n.send(purposeDigest, receivers, &cvwire.News{DigestOf: n.DataCentre, Usage: part})
	}
	if len(all.GetUpstreams()) == 0 && len(all.GetSuspects()) == 0 {
		return
	}
	for from := 0; from < max(len(all.GetUpstreams()), 1); from += maxDigestEntries {
		to := min(from+maxDigestEntries, len(all.GetUpstreams()))
		n.send(purposeDigest, receivers, &cvwire.News{
			DigestOf: n.DataCentre, Suspects: all.GetSuspects(), Upstreams: all.GetUpstreams()[from:to], InFlight: all.GetInFlight()[from:to],
			AgeMs: all.GetAgeMs()[from:to], Busy: all.GetBusy()[from:to], Slowness: all.GetSlowness()[from:to], SlownessAgeMs: all.GetSlownessAgeMs()[from:to],
			Limits: all.GetLimits()[min(from, len(all.GetLimits())):min(to, len(all.GetLimits()))],
		})
	}
}

// sendMembers sends the states of the balancers of this data centre.
func (n *News) sendMembers(now time.Time, receivers []string) {
	own := &cvwire.News{}
	n.FillState(now, own)
	n.mu.Lock()
	members := append([]*cvwire.BalancerState{{
		Address: n.Address, Version: own.GetVersion(), Stopping: own.GetStopping(), DirectoryAway: own.GetDirectoryAway(), Unreadable: own.GetUnreadable(),
		Reading: own.GetReading(), ReadAgeMs: own.GetReadAgeMs(), RoutesNext: own.GetRoutesNext(), UpstreamsNext: own.GetUpstreamsNext(), Demand: own.GetDemand(),
		RoutesEra: own.GetRoutesEra(), UpstreamsEra: own.GetUpstreamsEra(),
	}}, n.peers.Members(now)...)
	n.mu.Unlock()
	for part := range slices.Chunk(members, maxMembers) {
		n.send(purposeMembers, receivers, &cvwire.News{Members: part, MembersDataCentre: n.DataCentre})
	}
}
