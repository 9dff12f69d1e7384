// Package cvgossip is the news that a balancer tells its peers without being asked.
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
	// wholeTime is the time between two messages that tell everything.
	wholeTime = time.Second
	// offerTime is the shortest time between two offers of the configuration to one peer.
	offerTime = 200 * time.Millisecond
)

// Gossip tells peers the tries in flight, marks and the state of this balancer.
type Gossip struct {
	// Interval is the shortest time between two messages of changed counts.
	Interval time.Duration
	// Peers reaches the other balancers.
	Peers *cvpeers.Peers
	// Table holds the dispatchers whose tries in flight are told.
	Table *cvtable.Table
	// State fills in what this balancer says of itself.
	State func(*cvwire.Gossip)
	// Checkpoint is the configuration in force, for peers that lag.
	Checkpoint func() *cvwire.Checkpoint

	once    sync.Once
	wake    chan struct{}
	mu      sync.Mutex
	told    map[string]told
	names   map[uint32]upstream
	version int64
	offered map[string]time.Time
}

// upstream is what a hash in a message stands for.
type upstream struct {
	service string
	name    string
}

// Run tells news until the context ends: what changed, no more often than the interval, and everything now and then.
func (g *Gossip) Run(ctx context.Context) error {
	g.init()
	whole := time.NewTicker(wholeTime)
	defer whole.Stop()
	for {
		select {
		case <-whole.C:
			g.tell(true)
		case <-g.wake:
			g.tell(false)
			cvpause.For(ctx, g.Interval)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gossip) init() {
	g.once.Do(func() {
		g.told = make(map[string]told)
		g.wake = make(chan struct{}, 1)
	})
}

// Wake says that the own tries in flight may have changed.
func (g *Gossip) Wake() {
	g.init()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// hash stands for an upstream of a service in messages.
func hash(service, upstream string) uint32 {
	return uint32(cvhash.Pair(service, upstream))
}

// tell sends the counts that changed, or everything.
func (g *Gossip) tell(whole bool) {
	message := &cvwire.Gossip{Whole: whole}
	g.mu.Lock()
	for _, s := range g.Table.Services() {
		if d := g.Table.Dispatcher(s.Name()); d != nil {
			g.add(message, s.Name(), d)
		}
	}
	g.mu.Unlock()
	if whole {
		g.State(message)
	} else if len(message.GetCounts()) == 0 {
		return
	}
	g.broadcast(message)
}

// told is what was last told of one service.
type told struct {
	changes int64
	counts  map[string]int
}

// add puts a service's counts into a message: all that are not zero into a whole one, else those that changed.
func (g *Gossip) add(message *cvwire.Gossip, service string, d *cvdispatcher.Dispatcher) {
	last := g.told[service]
	changes := d.Changes()
	if changes != last.changes || last.counts == nil {
		counts := make(map[string]int)
		for _, c := range d.InFlight() {
			counts[c.Upstream()] = c.Count()
		}
		if !message.GetWhole() {
			addChanged(message, service, last.counts, counts)
		}
		last = told{changes: changes, counts: counts}
		g.told[service] = last
	}
	if message.GetWhole() {
		addChanged(message, service, nil, last.counts)
	}
}

// addChanged puts the counts into a message that differ from those told before.
func addChanged(message *cvwire.Gossip, service string, before, after map[string]int) {
	put := func(upstream string, count int) {
		message.Upstreams = append(message.Upstreams, hash(service, upstream))
		message.Counts = append(message.Counts, uint32(count))
	}
	for upstream, count := range after {
		if before[upstream] != count {
			put(upstream, count)
		}
	}
	for upstream := range before {
		if _, still := after[upstream]; !still {
			put(upstream, 0)
		}
	}
}

// broadcast sends a message to all peers; what is lost comes with the next whole message.
func (g *Gossip) broadcast(message *cvwire.Gossip) {
	for _, process := range g.Peers.Linked() {
		// A broken link is noticed by the links themselves.
		_ = g.Peers.Tell(process, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gossip{Gossip: message}})
	}
}

// Mark tells all peers a mark at once.
func (g *Gossip) Mark(mark *cvwire.Mark) {
	g.broadcast(&cvwire.Gossip{Marks: []*cvwire.Mark{mark}})
}

// Counts hands a peer's counts to the dispatchers.
func (g *Gossip) Counts(now time.Time, peer string, message *cvwire.Gossip) {
	if !message.GetWhole() && len(message.GetCounts()) == 0 {
		return
	}
	byService := make(map[string][]comfreyvale.InFlight)
	if message.GetWhole() {
		for _, s := range g.Table.Services() {
			byService[s.Name()] = nil
		}
	}
	names := g.index()
	for i, h := range message.GetUpstreams() {
		u, known := names[h]
		if !known || i >= len(message.GetCounts()) {
			continue
		}
		byService[u.service] = append(byService[u.service], comfreyvale.NewInFlight(u.name, int(message.GetCounts()[i])))
	}
	for service, counts := range byService {
		if d := g.Table.Dispatcher(service); d != nil {
			d.Observe(now, peer, message.GetWhole(), counts)
		}
	}
}

// Gone forgets the counts of a peer whose link is down.
func (g *Gossip) Gone(now time.Time, peer string) {
	for _, s := range g.Table.Services() {
		if d := g.Table.Dispatcher(s.Name()); d != nil {
			d.Observe(now, peer, true, nil)
		}
	}
}

// index returns what hashes stand for, under the configuration and VM list in force.
func (g *Gossip) index() map[uint32]upstream {
	version := g.Table.Version()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.names != nil && g.version == version {
		return g.names
	}
	names := make(map[uint32]upstream)
	for _, s := range g.Table.Services() {
		d := g.Table.Dispatcher(s.Name())
		if d == nil {
			continue
		}
		known, _, _ := d.Upstreams(time.Time{})
		for _, v := range known {
			names[hash(s.Name(), v.Name())] = upstream{service: s.Name(), name: v.Name()}
		}
	}
	g.names = names
	g.version = version
	return names
}

// Offer sends the configuration to a peer that lags, not too often.
func (g *Gossip) Offer(now time.Time, peer string) {
	g.mu.Lock()
	if g.offered == nil {
		g.offered = make(map[string]time.Time)
	}
	due := now.Sub(g.offered[peer]) >= offerTime
	if due {
		g.offered[peer] = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	message := &cvwire.Gossip{Configuration: g.Checkpoint()}
	// A peer that still lags says so in its next whole message.
	_ = g.Peers.Tell(peer, &cvwire.PeerRequest{Request: &cvwire.PeerRequest_Gossip{Gossip: message}})
}

// Forget drops what is kept for peers that are gone.
func (g *Gossip) Forget(present []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for peer := range g.offered {
		if !slices.Contains(present, peer) {
			delete(g.offered, peer)
		}
	}
}
