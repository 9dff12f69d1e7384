// Package cvnews implements the datagrams in which balancers send each other their state. A lost datagram is replaced
// by the next; a connection would delay newer counts behind older ones.
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
	// minInterval is the minimum time between two messages with changes: a tenth of the duration of a request. It applies
	// to other data centres too: if several data centres take the same slot, that costs more than the bytes of the
	// messages.
	minInterval = 20 * time.Millisecond
	// nearIntervalPerPeer and farIntervalPerPeer, multiplied by the number of receivers in the same data centre or in all
	// data centres, are the time between two messages with changes, but at least minInterval. They limit what a balancer
	// receives to some 670 and 250 messages a second, at 20 microseconds of CPU time each, however many balancers there
	// are.
	nearIntervalPerPeer = 1500 * time.Microsecond
	farIntervalPerPeer  = 4 * time.Millisecond
	// maxListedPeers is the maximum number of peer addresses in a full-state message.
	maxListedPeers   = 8
	maxDatagramBytes = 16 << 10
)

type fault struct{ cvfault.Fault }

// News exchanges state with the other balancers. It is safe for concurrent use.
type News struct {
	// Address is the UDP address at which this balancer receives messages.
	Address string
	// DataCentre is the data centre of this balancer.
	DataCentre string
	// Seeds returns addresses of some other balancers.
	Seeds func() []string
	// Fill adds this balancer's state to a message: all of it if whole is set, else the changes since the last message of
	// the same kind. near is set for messages that only the same data centre receives.
	Fill func(now time.Time, message *cvwire.News, near, whole bool)
	// OnMessage is called with each message that is not older than an earlier one from the same balancer.
	OnMessage func(now time.Time, message *cvwire.News)
	// Logger logs errors, and when another balancer becomes available or unavailable.
	Logger log.Interface

	mu    sync.Mutex
	peers cvpeertable.Table
	// process is a random number for this run of the balancer. number counts its messages, so that receivers can ignore
	// old ones.
	process   uint64
	number    uint64
	available map[string]bool
	conn      net.PacketConn
	turns     atomic.Pointer[cvturns.Turns]
}

// MayTakeFreeSlot reports whether it is this balancer's turn to take one of an upstream's free slots.
func (n *News) MayTakeFreeSlot(now time.Time, upstream string, free int) bool {
	turns := n.turns.Load()
	return turns == nil || turns.MayTake(now, upstream, free)
}

// Run sends and receives messages until the context ends.
func (n *News) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", n.Address)
	if err != nil {
		return fault{cvfault.New("listen", comfreyvale.KindUnavailable, err)}
	}
	n.conn = conn
	n.mu.Lock()
	n.process = rand.Uint64()
	n.available = make(map[string]bool)
	n.peers = cvpeertable.Table{Self: n.Address, DataCentre: n.DataCentre}
	n.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(n.receive)
	group.Go(func() error { return n.sendLoop(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		conn.Close()
		return nil
	})
	return group.Wait()
}

// Sharers returns the number of balancers that share budgets, including this one.
func (n *News) Sharers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Sharers(time.Now())
}

// NewestVersion returns the highest configuration version that another balancer has reported, and that balancer's
// address.
func (n *News) NewestVersion() (address string, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.NewestVersion(time.Now())
}

// DirectorySource returns the address of a balancer that has a configuration and can read the platform's directories,
// or "".
func (n *News) DirectorySource() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.DirectorySource(time.Now())
}

// OwnsTask reports whether this balancer, of those in its data centre, is assigned a task.
func (n *News) OwnsTask(now time.Time, task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.OwnsTask(now, task)
}

// OwnsReading reports whether this balancer is assigned to read the platform's directories for its data centre, if it
// can read them. Peers that cannot are not considered.
func (n *News) OwnsReading(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.OwnsReading(now)
}

// Ahead returns the addresses of a balancer that has read the routes, and of one that has read the upstreams, beyond
// the given offsets, or "". readByPeer is true if another balancer that is assigned to read the directories has done so
// within the given time.
func (n *News) Ahead(now time.Time, within time.Duration, routes, upstreams int64) (ofRoutes, ofUpstreams string, readByPeer bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Ahead(now, within, routes, upstreams)
}

// Live returns the sorted addresses of the other balancers that have sent a message recently.
func (n *News) Live() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Live(time.Now(), false)
}

// sendLoop sends changes and, at a longer interval, the full state.
func (n *News) sendLoop(ctx context.Context) error {
	ticker := time.NewTicker(minInterval)
	defer ticker.Stop()
	var near, far time.Time
	for {
		select {
		case now := <-ticker.C:
			switch {
			case n.stateDue(now):
				far, near = now, now
				n.sendState(now)
			case now.Sub(far) >= n.changeInterval(now, false):
				far, near = now, now
				n.sendChanges(now, false)
			case now.Sub(near) >= n.changeInterval(now, true):
				near = now
				n.sendChanges(now, true)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *News) stateDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.StateDue(now)
}

// changeInterval returns the time between two messages with changes, to the same data centre if near, else to all.
func (n *News) changeInterval(now time.Time, near bool) time.Duration {
	n.mu.Lock()
	receivers := len(n.peers.Live(now, near))
	n.mu.Unlock()
	perPeer := farIntervalPerPeer
	if near {
		perPeer = nearIntervalPerPeer
	}
	// The ticker may fire a little early.
	return intervalFor(receivers, perPeer) - minInterval/2
}

func intervalFor(receivers int, perPeer time.Duration) time.Duration {
	return max(minInterval, time.Duration(receivers)*perPeer)
}

// sendState sends the full state to all live balancers and to addresses that are due for another attempt.
func (n *News) sendState(now time.Time) {
	n.mu.Lock()
	n.peers.AddAddresses(now, n.Seeds())
	live := n.peers.Live(now, false)
	targets := append(n.peers.AddressesToRetry(now), live...)
	n.logPeerChanges(live)
	n.peers.RecordStateSent(now)
	turns := cvturns.New(n.Address, live, intervalFor(len(live), farIntervalPerPeer))
	n.turns.Store(&turns)
	n.mu.Unlock()
	message := &cvwire.News{Address: n.Address, DataCentre: n.DataCentre, Whole: true}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	message.Peers = live[:min(len(live), maxListedPeers)]
	n.Fill(now, message, false, true)
	n.send(targets, message)
}

// sendChanges sends changes, if any, to the same data centre if near, else to all.
func (n *News) sendChanges(now time.Time, near bool) {
	n.mu.Lock()
	targets := n.peers.Live(now, near)
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

// logPeerChanges logs which balancers became live or stopped being live. The caller holds the lock.
func (n *News) logPeerChanges(live []string) {
	present := make(map[string]bool, len(live))
	for _, a := range live {
		present[a] = true
		if !n.available[a] {
			n.Logger.WithField("peer", a).Info("peer available")
		}
	}
	for a := range n.available {
		if !present[a] {
			n.Logger.WithField("peer", a).Warn("peer unavailable: no messages received")
		}
	}
	n.available = present
}

func (n *News) send(targets []string, message *cvwire.News) {
	n.mu.Lock()
	n.number++
	message.Process, message.Number = n.process, n.number
	n.mu.Unlock()
	content, err := proto.Marshal(message)
	if err != nil {
		n.Logger.WithError(err).Error("message cannot be encoded")
		return
	}
	for _, t := range targets {
		address, err := net.ResolveUDPAddr("udp4", t)
		if err != nil {
			n.Logger.WithField("peer", t).WithError(err).Warn("invalid peer address")
			continue
		}
		// A datagram that cannot be sent counts as lost; the next message replaces it.
		_, _ = n.conn.WriteTo(content, address)
	}
}

// receive receives datagrams until the socket is closed.
func (n *News) receive() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The socket may still work. If not, the pause keeps this loop from using a full CPU core.
			n.Logger.WithError(err).Warn("receiving a message failed")
			time.Sleep(minInterval)
			continue
		}
		message := &cvwire.News{}
		if err := proto.Unmarshal(buffer[:size], message); err != nil {
			n.Logger.WithField("peer", from.String()).WithError(err).Warn("message cannot be decoded")
			continue
		}
		n.handleMessage(time.Now(), from.String(), message)
	}
}

// handleMessage ignores messages that are out of date.
func (n *News) handleMessage(now time.Time, from string, message *cvwire.News) {
	n.mu.Lock()
	fresh := n.peers.RecordMessage(now, from, message.GetProcess(), message.GetNumber())
	if fresh && message.GetWhole() {
		n.peers.RecordState(now, from, message)
	}
	n.mu.Unlock()
	if fresh {
		n.OnMessage(now, message)
	}
}
