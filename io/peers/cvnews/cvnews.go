// Package cvnews is the datagrams in which balancers tell each other what they do and have seen. A datagram replaces what
// an earlier one said, so that a lost one costs nothing but its age; a connection would hold newer counts back behind older ones.
package cvnews

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvpeertable"
	"comfreyvale/core/cvturns"
	"comfreyvale/core/cvwire"
)

const (
	// shortestInterval is the shortest time between two messages of changes: a tenth of a request's length. It holds for
	// other data centres too, as a slot that is taken from several of them costs more than the messages' bytes.
	shortestInterval = 20 * time.Millisecond
	// nearCost and farCost lengthen this time for each balancer of the data centre, or of all, that hears the messages, so
	// that what one balancer hears costs it a bounded part of a core however many there are: some 670 and 250 messages a
	// second at 20 microseconds each.
	nearCost = 1500 * time.Microsecond
	farCost  = 4 * time.Millisecond
	// toldPeers is how many addresses of others a whole message names.
	toldPeers = 8
	// maxDatagram is the size of the largest datagram that is read.
	maxDatagram = 16 << 10
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// News tells and hears.
type News struct {
	// Address is where this balancer hears news.
	Address string
	// DataCentre is where this balancer runs.
	DataCentre string
	// Seeds are addresses of some other balancers.
	Seeds func() []string
	// Fill puts what this balancer has to tell into a message: everything, or what changed since the last message of its sort.
	Fill func(now time.Time, message *cvwire.News, near, whole bool)
	// Heard takes the message of another balancer.
	Heard func(now time.Time, message *cvwire.News)
	// Logger takes a line when a balancer comes or goes.
	Logger log.Interface

	mu         sync.Mutex
	neighbours cvpeertable.Table
	process    uint64
	number     uint64
	lines      map[string]bool
	conn       net.PacketConn
	turns      atomic.Pointer[cvturns.Turns]
}

// Turn says whether, of all balancers, this one may take one of the free slots of an upstream now.
func (n *News) Turn(now time.Time, upstream string, free int) bool {
	turns := n.turns.Load()
	return turns == nil || turns.MayTake(now, upstream, free)
}

// Run tells and hears news until the context ends.
func (n *News) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", n.Address)
	if err != nil {
		return fault{cvfault.New("listen", comfreyvale.KindUnavailable, err)}
	}
	n.conn = conn
	n.mu.Lock()
	n.process = rand.Uint64()
	n.lines = make(map[string]bool)
	n.neighbours = cvpeertable.Table{Self: n.Address, DataCentre: n.DataCentre}
	n.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(n.hear)
	group.Go(func() error { return n.tell(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		conn.Close()
		return nil
	})
	return group.Wait()
}

// Sharers is how many balancers share budgets, this one included.
func (n *News) Sharers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.Sharers(time.Now())
}

// Newest is the greatest configuration version that another balancer told of, and its address.
func (n *News) Newest() (address string, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.NewestVersion(time.Now())
}

// Reaching is a balancer that can read the platform's directories, or empty.
func (n *News) Reaching() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.DirectorySource(time.Now())
}

// Mine says whether, of the balancers of the own data centre, a task falls to this one.
func (n *News) Mine(now time.Time, task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.OwnsTask(now, task)
}

// Reader says whether reading the directories for the own data centre falls to this balancer, if it can read them.
func (n *News) Reader(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.OwnsReading(now)
}

// Ahead returns balancers that have read past an offset of the routes and of the upstreams, or empty texts. Covered says
// that a balancer whose task it is has read the directories within a time.
func (n *News) Ahead(now time.Time, within time.Duration, routes, upstreams int64) (ofRoutes, ofUpstreams string, covered bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.Ahead(now, within, routes, upstreams)
}

// Live are the addresses of the balancers that are there.
func (n *News) Live() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.Live(time.Now(), false)
}

// tell sends what changed, and everything now and then.
func (n *News) tell(ctx context.Context) error {
	ticker := time.NewTicker(shortestInterval)
	defer ticker.Stop()
	var near, far time.Time
	for {
		select {
		case now := <-ticker.C:
			switch {
			case n.due(now):
				far, near = now, now
				n.tellWhole(now)
			case now.Sub(far) >= n.interval(now, false):
				far, near = now, now
				n.tellChanges(now, false)
			case now.Sub(near) >= n.interval(now, true):
				near = now
				n.tellChanges(now, true)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// due says whether a whole message is to be sent.
func (n *News) due(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.StateDue(now)
}

// interval is the time between two messages of changes to the balancers of the own data centre, or to all.
func (n *News) interval(now time.Time, near bool) time.Duration {
	n.mu.Lock()
	hearers := len(n.neighbours.Live(now, near))
	n.mu.Unlock()
	cost := farCost
	if near {
		cost = nearCost
	}
	// The ticker may be a little early.
	return between(hearers, cost) - shortestInterval/2
}

// between is the time between two messages of changes to a number of balancers.
func between(hearers int, cost time.Duration) time.Duration {
	return max(shortestInterval, time.Duration(hearers)*cost)
}

func (n *News) tellWhole(now time.Time) {
	n.mu.Lock()
	n.neighbours.AddAddresses(now, n.Seeds())
	live := n.neighbours.Live(now, false)
	targets := append(n.neighbours.AddressesToRetry(now), live...)
	n.note(live)
	n.neighbours.RecordStateSent(now)
	turns := cvturns.New(n.Address, live, between(len(live), farCost))
	n.turns.Store(&turns)
	n.mu.Unlock()
	message := &cvwire.News{Address: n.Address, DataCentre: n.DataCentre, Whole: true}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	message.Peers = live[:min(len(live), toldPeers)]
	n.Fill(now, message, false, true)
	n.send(targets, message)
}

// tellChanges tells the own data centre, or all, what changed.
func (n *News) tellChanges(now time.Time, near bool) {
	n.mu.Lock()
	targets := n.neighbours.Live(now, near)
	n.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	message := &cvwire.News{}
	n.Fill(now, message, near, false)
	if len(message.GetUpstreams()) == 0 && len(message.GetSuspects()) == 0 {
		return
	}
	n.send(targets, message)
}

// note logs balancers that came or went. The caller holds the lock.
func (n *News) note(live []string) {
	present := make(map[string]bool, len(live))
	for _, a := range live {
		present[a] = true
		if !n.lines[a] {
			n.Logger.WithField("peer", a).Info("peer heard")
		}
	}
	for a := range n.lines {
		if !present[a] {
			n.Logger.WithField("peer", a).Warn("peer silent")
		}
	}
	n.lines = present
}

// send sends a message to addresses; what is lost is replaced by the next one.
func (n *News) send(targets []string, message *cvwire.News) {
	n.mu.Lock()
	n.number++
	message.Process, message.Number = n.process, n.number
	n.mu.Unlock()
	content, err := proto.Marshal(message)
	if err != nil {
		n.Logger.WithError(err).Error("news cannot be encoded")
		return
	}
	for _, t := range targets {
		address, err := net.ResolveUDPAddr("udp4", t)
		if err != nil {
			n.Logger.WithField("peer", t).WithError(err).Warn("peer's address is invalid")
			continue
		}
		// A datagram that cannot be sent counts as lost.
		_, _ = n.conn.WriteTo(content, address)
	}
}

// hear takes datagrams until the socket is closed.
func (n *News) hear() error {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The socket may go on working; the pause keeps one that does not from taking a core.
			n.Logger.WithError(err).Warn("news cannot be received")
			time.Sleep(shortestInterval)
			continue
		}
		message := &cvwire.News{}
		if err := proto.Unmarshal(buffer[:size], message); err != nil {
			n.Logger.WithField("peer", from.String()).WithError(err).Warn("news cannot be read")
			continue
		}
		n.take(time.Now(), from.String(), message)
	}
}

func (n *News) take(now time.Time, from string, message *cvwire.News) {
	n.mu.Lock()
	fresh := n.neighbours.RecordMessage(now, from, message.GetProcess(), message.GetNumber())
	if fresh && message.GetWhole() {
		n.neighbours.RecordState(now, from, message)
	}
	n.mu.Unlock()
	if fresh {
		n.Heard(now, message)
	}
}
