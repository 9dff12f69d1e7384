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
	slots *cvslots.Slots
	id    string
}

func (n *Node) newNews() *cvnews.News {
	return &cvnews.News{
		Address: n.Settings.GossipAddress(), DataCentre: n.Settings.DataCentre(), Seeds: func() []string { return n.settings.Load().SeedAddresses() },
		Fill: n.fillNews, OnMessage: n.receiveNews, Logger: n.Logger,
	}
}

// fillNews adds this balancer's recent crash records and the state of its upstreams to a message. A full message also
// has the version of the configuration and the state of the directories.
func (n *Node) fillNews(now time.Time, message *cvwire.News, sameDataCentre, full bool) {
	if full {
		if t := n.routes.Load(); t != nil {
			message.Version = t.Version()
		}
		message.Stopping = n.stopping.Load()
		n.addReadState(now, message)
		n.mu.Lock()
		message.DirectoryAway = n.directoryUnavailable()
		n.mu.Unlock()
	}
	n.addCrashes(now, message)
	for _, s := range n.allSlots() {
		s.FillNews(now, message, sameDataCentre, full)
	}
}

func (n *Node) receiveNews(now time.Time, message *cvwire.News) {
	n.receiveCrashes(now, message)
	count := len(message.GetUpstreams())
	if len(message.GetInFlight()) != count || len(message.GetAgeMs()) != count || len(message.GetBusy()) != count || len(message.GetSlowness()) != count {
		n.Logger.WithField("upstreams", count).Warn("ignored a peer message whose lists differ in length")
		return
	}
	n.mu.Lock()
	entries := n.upstreamsByHash
	if message.GetWhole() && !message.GetDirectoryAway() && message.GetVersion() > 0 {
		n.peerReachedDirectoryAt = now
	}
	n.mu.Unlock()
	for index, hash := range message.GetUpstreams() {
		if e, ok := entries[hash]; ok {
			e.slots.RecordPeerState(now, message, index, e.id)
		}
	}
	if message.GetWhole() {
		for _, s := range n.allSlots() {
			s.DropStalePeerCounts(now, message.GetProcess())
		}
	}
}

func (n *Node) indexUpstreams(byGroup map[string][]*cvinstance.Instance) {
	entries := make(map[uint32]upstreamEntry)
	for group, instances := range byGroup {
		s := n.slots(group)
		for _, i := range instances {
			entries[cvslots.Hash(i.ID())] = upstreamEntry{slots: s, id: i.ID()}
		}
	}
	n.mu.Lock()
	n.upstreamsByHash = entries
	n.mu.Unlock()
}
