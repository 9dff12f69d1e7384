package cvnode

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/peers/cvnews"
	"comfreyvale/io/upstreams/cvslots"
)

// upstreamEntry is an upstream with the slots of its group.
type upstreamEntry struct {
	slots    *cvslots.Slots
	instance *cvinstance.Instance
}

func (n *Node) newNews() *cvnews.News {
	return &cvnews.News{
		Address: n.Settings.GossipAddress(), DataCentre: n.Settings.DataCentre(), DataCentres: n.Settings.DataCentres(),
		Seeds:          func() []string { return n.settings.Load().SeedAddresses() },
		ShortestTarget: n.shortestTarget, FillState: n.fillState, FillUpstreams: n.fillUpstreams, FillDigest: n.fillDigest, OnMessage: n.receiveNews, OnSent: n.metrics.PeerMessageSent, Logger: n.Logger,
		BootClock: n.BootClock, OnConfirmed: n.confirmByPeer,
	}
}

func (n *Node) shortestTarget() time.Duration {
	if t := n.routes.Load(); t != nil {
		return t.ShortestTarget()
	}
	return 0
}

// fillState adds the version of the configuration, the state of the directories and the rate of requests to a message.
func (n *Node) fillState(now time.Time, message *cvwire.News) {
	n.addConfirmation(message)
	message.Version = n.versionInForce()
	message.Stopping = n.stopping.Load()
	n.addReadState(now, message)
	n.mu.Lock()
	message.DirectoryAway = n.directoryUnavailable()
	message.Demand = float32(n.demand.PerSecond(now))
	n.mu.Unlock()
}

// fillUpstreams adds recent crash records and the changed state of the upstreams to a message.
func (n *Node) fillUpstreams(now time.Time, message *cvwire.News, full bool) {
	n.addCrashes(now, message)
	n.addUsage(now, message, full)
	if full {
		n.addDurations(message)
	}
	for _, s := range n.allSlots() {
		s.FillUpstreams(now, message, full)
	}
}

// fillDigest adds recent crash records and what other data centres must know of the upstreams to a message.
func (n *Node) fillDigest(now time.Time, message *cvwire.News, within time.Duration, inUse bool) {
	n.addCrashes(now, message)
	n.addUsageDigest(now, message, within, inUse)
	for _, s := range n.allSlots() {
		s.FillDigest(now, message, within, inUse)
	}
}

func (n *Node) receiveNews(now time.Time, from string, message *cvwire.News) {
	n.receiveCrashes(now, message)
	n.observeVersions(message)
	n.receiveUsage(now, from, message)
	n.receiveDurations(now, message)
	count := len(message.GetUpstreams())
	if len(message.GetInFlight()) != count || len(message.GetAgeMs()) != count || len(message.GetBusy()) != count || len(message.GetSlowness()) != count {
		n.Logger.WithField("upstreams", count).Warn("ignored a peer message whose lists differ in length")
		return
	}
	n.mu.Lock()
	entries := n.upstreamsByHash
	if message.GetWhole() && !message.GetDirectoryAway() && message.GetVersion() > 0 {
		n.recordPeerRead(now, message.GetReadAgeMs())
	}
	for _, m := range message.GetMembers() {
		if !m.GetDirectoryAway() && m.GetVersion() > 0 {
			n.recordPeerRead(now, m.GetReadAgeMs())
		}
	}
	n.mu.Unlock()
	n.receiveLimits(now, from, message, entries)
	for index, hash := range message.GetUpstreams() {
		if e, ok := entries[hash]; ok {
			e.slots.RecordPeerState(now, message, index, e.instance.ID())
		}
	}
	if message.GetWhole() {
		for _, s := range n.allSlots() {
			s.DropStalePeerCounts(now, message.GetProcess())
		}
	}
}

// recordPeerRead records the age of another balancer's last read of the directories. The caller holds the lock.
func (n *Node) recordPeerRead(now time.Time, ageMs uint32) {
	if at := now.Add(-time.Duration(ageMs) * time.Millisecond); at.After(n.peerReachedDirectoryAt) {
		n.peerReachedDirectoryAt = at
	}
}

func (n *Node) indexUpstreams(byGroup map[string][]*cvinstance.Instance) {
	entries := make(map[uint32]upstreamEntry)
	for group, instances := range byGroup {
		s := n.slots(group)
		for _, i := range instances {
			entries[cvslots.Hash(i.ID())] = upstreamEntry{slots: s, instance: i}
		}
	}
	n.mu.Lock()
	n.upstreamsByHash = entries
	clear(n.invalidLimits)
	n.mu.Unlock()
}
