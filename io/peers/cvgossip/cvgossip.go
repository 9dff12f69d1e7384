// Package cvgossip implements the one-way messages between balancers.
package cvgossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvhash"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/peers/cvpeers"
	"comfreyvale/io/upstreams/cvdispatcher"
	"comfreyvale/io/upstreams/cvtable"
)

const (
	// stateInterval is the time between two messages with the full state.
	stateInterval = time.Second
	// minOfferInterval is the minimum time between two offers of the configuration to a peer.
	minOfferInterval = 200 * time.Millisecond
)

// Gossip sends this balancer's in-flight attempts, marks and state to its peers. It is safe for concurrent use.
type Gossip struct {
	// Interval is the minimum time between two messages with changed counts.
	Interval time.Duration
	// Peers sends messages to the other balancers.
	Peers *cvpeers.Peers
	// Table holds the dispatchers that count in-flight attempts.
	Table *cvtable.Table
	// FillState adds this balancer's state to a full-state message.
	FillState func(*cvwire.Gossip)
	// Checkpoint returns the current configuration, for peers that have an older one.
	Checkpoint func() *cvwire.Checkpoint

	once          sync.Once
	wake          chan struct{}
	mu            sync.Mutex
	sent          map[string]sentCounts
	byHash        map[uint32]upstream
	byHashVersion int64
	lastOffers    map[string]time.Time
}

type upstream struct {
	service string
	name    string
}

// Run sends changed counts at most once per Interval, and the full state at a fixed interval, until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	g.init()
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.send(true)
		case <-g.wake:
			g.send(false)
			cvpause.For(ctx, g.Interval)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gossip) init() {
	g.once.Do(func() {
		g.sent = make(map[string]sentCounts)
		g.wake = make(chan struct{}, 1)
	})
}

// Wake signals that this balancer's in-flight attempts may have changed.
func (g *Gossip) Wake() {
	g.init()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// hash identifies an upstream of a service in messages.
func hash(service, upstream string) uint32 {
	return uint32(cvhash.Pair(service, upstream))
}

// send sends the full state if whole is set, else the changed counts, if any.
func (g *Gossip) send(whole bool) {
	message := &cvwire.Gossip{Whole: whole}
	g.mu.Lock()
	for _, s := range g.Table.Services() {
		if d := g.Table.Dispatcher(s.Name()); d != nil {
			g.addCounts(message, s.Name(), d)
		}
	}
	g.mu.Unlock()
	if whole {
		g.FillState(message)
	} else if len(message.GetCounts()) == 0 {
		return
	}
	g.broadcast(message)
}

// sentCounts holds a service's counts as last sent.
type sentCounts struct {
	changes int64
	counts  map[string]int
}

// addCounts adds all nonzero counts of a service if the message is whole, else the changed ones.
func (g *Gossip) addCounts(message *cvwire.Gossip, service string, d *cvdispatcher.Dispatcher) {
	last := g.sent[service]
	changes := d.Changes()
	if changes != last.changes || last.counts == nil {
		counts := make(map[string]int)
		for _, c := range d.InFlight() {
			counts[c.Upstream()] = c.Count()
		}
		if !message.GetWhole() {
			addChanged(message, service, last.counts, counts)
		}
		last = sentCounts{changes: changes, counts: counts}
		g.sent[service] = last
	}
	if message.GetWhole() {
		addChanged(message, service, nil, last.counts)
	}
}

// addChanged adds the counts that differ between before and after; upstreams missing in after get the count 0.
func addChanged(message *cvwire.Gossip, service string, before, after map[string]int) {
	add := func(upstream string, count int) {
		message.Upstreams = append(message.Upstreams, hash(service, upstream))
		message.Counts = append(message.Counts, uint32(count))
	}
	for upstream, count := range after {
		if before[upstream] != count {
			add(upstream, count)
		}
	}
	for upstream := range before {
		if _, ok := after[upstream]; !ok {
			add(upstream, 0)
		}
	}
}

// broadcast sends a message to all peers. The next full state makes up for lost counts and state, but not for lost
// marks.
func (g *Gossip) broadcast(message *cvwire.Gossip) {
	for _, process := range g.Peers.Linked() {
		// Package cvpeers reports broken links.
		_ = g.Peers.Send(process, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gossip{Gossip: message}})
	}
}

// SendMark sends a mark to all peers immediately.
func (g *Gossip) SendMark(mark *cvwire.Mark) {
	g.broadcast(&cvwire.Gossip{Marks: []*cvwire.Mark{mark}})
}

// RecordPeerCounts passes a peer's counts to the dispatchers.
func (g *Gossip) RecordPeerCounts(now time.Time, peer string, message *cvwire.Gossip) {
	if !message.GetWhole() && len(message.GetCounts()) == 0 {
		return
	}
	byService := make(map[string][]comfreyvale.InFlight)
	if message.GetWhole() {
		for _, s := range g.Table.Services() {
			byService[s.Name()] = nil
		}
	}
	byHash := g.upstreamsByHash()
	for i, h := range message.GetUpstreams() {
		u, known := byHash[h]
		if !known || i >= len(message.GetCounts()) {
			continue
		}
		byService[u.service] = append(byService[u.service], comfreyvale.NewInFlight(u.name, int(message.GetCounts()[i])))
	}
	for service, counts := range byService {
		if d := g.Table.Dispatcher(service); d != nil {
			d.RecordPeerInFlight(now, peer, message.GetWhole(), counts)
		}
	}
}

// RemovePeerCounts removes the counts of a peer whose link is down.
func (g *Gossip) RemovePeerCounts(now time.Time, peer string) {
	for _, s := range g.Table.Services() {
		if d := g.Table.Dispatcher(s.Name()); d != nil {
			d.RecordPeerInFlight(now, peer, true, nil)
		}
	}
}

func (g *Gossip) upstreamsByHash() map[uint32]upstream {
	version := g.Table.Version()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byHash != nil && g.byHashVersion == version {
		return g.byHash
	}
	byHash := make(map[uint32]upstream)
	for _, s := range g.Table.Services() {
		d := g.Table.Dispatcher(s.Name())
		if d == nil {
			continue
		}
		known, _, _ := d.Upstreams(time.Time{})
		for _, v := range known {
			byHash[hash(s.Name(), v.Name())] = upstream{service: s.Name(), name: v.Name()}
		}
	}
	g.byHash = byHash
	g.byHashVersion = version
	return byHash
}

// OfferConfiguration sends the configuration to a peer that has an older one, at most once per minOfferInterval.
func (g *Gossip) OfferConfiguration(now time.Time, peer string) {
	g.mu.Lock()
	if g.lastOffers == nil {
		g.lastOffers = make(map[string]time.Time)
	}
	due := now.Sub(g.lastOffers[peer]) >= minOfferInterval
	if due {
		g.lastOffers[peer] = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	message := &cvwire.Gossip{Configuration: g.Checkpoint()}
	// If the message is lost, the peer's next full state shows the older configuration again.
	_ = g.Peers.Send(peer, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gossip{Gossip: message}})
}

// RemoveAbsentPeers removes the offer times of peers that are not in present.
func (g *Gossip) RemoveAbsentPeers(present []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for peer := range g.lastOffers {
		if !slices.Contains(present, peer) {
			delete(g.lastOffers, peer)
		}
	}
}
