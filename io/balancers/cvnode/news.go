package cvnode

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/peers/cvnews"
	"comfreyvale/io/upstreams/cvslots"
)

// place is where an instance's figures belong.
type place struct {
	slots *cvslots.Slots
	id    string
}

func (n *Node) newNews() *cvnews.News {
	return &cvnews.News{
		Address: n.Settings.News(), DataCentre: n.Settings.DataCentre(), Seeds: func() []string { return n.settings.Load().Seeds() },
		Fill: n.tellNews, Heard: n.hearNews, Logger: n.Logger,
	}
}

// tellNews puts what this balancer does and has seen into a message.
func (n *Node) tellNews(now time.Time, message *cvwire.News, near, whole bool) {
	if whole {
		if t := n.routes.Load(); t != nil {
			message.Version = t.Version()
		}
		message.Stopping = n.stopping.Load()
		n.tellReading(now, message)
		n.mu.Lock()
		message.DirectoryAway = n.isAway()
		n.mu.Unlock()
	}
	n.tellDeaths(now, message)
	for _, s := range n.allSlots() {
		s.Tell(now, message, near, whole)
	}
}

// hearNews takes another balancer's message.
func (n *Node) hearNews(now time.Time, message *cvwire.News) {
	n.hearDeaths(now, message)
	count := len(message.GetUpstreams())
	if len(message.GetInFlight()) != count || len(message.GetAgeMs()) != count || len(message.GetBusy()) != count || len(message.GetSlowness()) != count {
		n.Logger.WithField("upstreams", count).Warn("news passed over, its lists differ in length")
		return
	}
	n.mu.Lock()
	places := n.places
	if message.GetWhole() && !message.GetDirectoryAway() && message.GetVersion() > 0 {
		n.othersReached = now
	}
	n.mu.Unlock()
	for index, hash := range message.GetUpstreams() {
		if p, ok := places[hash]; ok {
			p.slots.Hear(now, message, index, p.id)
		}
	}
	if message.GetWhole() {
		for _, s := range n.allSlots() {
			s.HeardAll(now, message.GetProcess())
		}
	}
}

// index maps the hashes of instances to their groups' decisions.
func (n *Node) index(byGroup map[string][]*cvinstance.Instance) {
	places := make(map[uint32]place)
	for group, instances := range byGroup {
		s := n.slots(group)
		for _, i := range instances {
			places[cvslots.Hash(i.ID())] = place{slots: s, id: i.ID()}
		}
	}
	n.mu.Lock()
	n.places = places
	n.mu.Unlock()
}
