// Package cvnews implements the datagrams in which balancers send each other their state. A lost datagram is replaced
// by the next; a connection would delay newer counts behind older ones.
package cvnews

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvpeertable"
	"comfreyvale/core/cvshares"
	"comfreyvale/core/cvturns"
	"comfreyvale/core/cvwire"
)

const (
	// minInterval is the minimum time between two messages with changes: a tenth of the duration of a request.
	minInterval = 20 * time.Millisecond
	// intervalPerReceiver, multiplied by the number of receivers, is the time between two messages with changes, but at
	// least minInterval. It limits what a balancer receives to some 670 messages a second, at 20 microseconds of CPU time
	// each, however many balancers its data centre has.
	intervalPerReceiver = 1500 * time.Microsecond
	// digestTargetShare is the time between two digests from one data centre to another as a share of the shortest target
	// latency, as the load changes no faster than requests end. It is at least digestIntervalPerBalancer for each
	// balancer, and at most maxDigestInterval: upstreams are probed no more often.
	digestTargetShare         = 0.067
	digestIntervalPerBalancer = 1200 * time.Microsecond
	maxDigestInterval         = 150 * time.Millisecond
	// membersInterval is the interval at which one data centre tells another the states of its balancers.
	membersInterval = 500 * time.Millisecond
	// maxMembers, maxDigestEntries and maxDigestUsage limit one message, so that it fits into one packet.
	maxMembers       = 24
	maxDigestEntries = 120
	maxDigestUsage   = 48
	maxDatagramBytes = 16 << 10
	// settleTime is how long after its start a balancer owns no share of limited requests: until it has heard of all
	// others, through full-state messages and those of other data centres.
	settleTime = 4 * membersInterval
	// assumedBalancers is how many other balancers one counts that has never heard of any, though there are addresses.
	assumedBalancers = 11
)

// The purposes of messages, for metrics.
const (
	purposeChanges   = "changes"
	purposeState     = "state"
	purposeDiscovery = "discovery"
	purposeDigest    = "digest"
	purposeMembers   = "members"
	purposeRelay     = "relay"
)

type fault struct{ cvfault.Fault }

// News exchanges state with the other balancers. It is safe for concurrent use.
type News struct {
	// Address is the UDP address at which this balancer receives messages.
	Address string
	// DataCentre is the data centre of this balancer. DataCentres is the number of data centres with balancers, or 0 if it
	// is unknown.
	DataCentre  string
	DataCentres int
	// ShortestTarget returns the shortest target latency of all routes, or 0. All balancers of a data centre must know the
	// same.
	ShortestTarget func() time.Duration
	// Seeds returns addresses of some other balancers.
	Seeds func() []string
	// FillState adds this balancer's own state to a full-state message.
	FillState func(now time.Time, message *cvwire.News)
	// FillUpstreams adds the state of the upstreams that has changed since the last message; of those in use it adds all
	// if whole is set.
	FillUpstreams func(now time.Time, message *cvwire.News, whole bool)
	// FillDigest adds what other data centres must know of the upstreams, as far as it has changed within the given time;
	// if inUse is set, also the state of those that this data centre's balancers use.
	FillDigest func(now time.Time, message *cvwire.News, within time.Duration, inUse bool)
	// OnMessage is called with each message that is not older than an earlier one from the same balancer, and with that
	// balancer's address.
	OnMessage func(now time.Time, from string, message *cvwire.News)
	// BootClock returns the time of a clock that runs while the machine is suspended.
	BootClock func() time.Duration
	// OnConfirmed is called with each statement of another balancer that its configuration, of the given version, was the
	// newest at a moment of this balancer's boot clock.
	OnConfirmed func(version int64, at time.Duration)
	// OnSent is called with the purpose and the size of each datagram.
	OnSent func(purpose string, bytes int)
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
	// nearTurns are the turns at upstreams of this data centre, remoteTurns those at others.
	nearTurns, remoteTurns atomic.Pointer[cvturns.Turns]
	lastSlot               int64
	// shares divide the periods in which upstreams take limited requests among all balancers.
	shares    atomic.Pointer[cvshares.Shares]
	startedAt time.Time
	// settled reports that the shares have been set with others heard of, or alone. Only sendLoop uses it.
	settled bool
}

// MayTakeFreeSlot reports whether it is this balancer's turn to take one of an upstream's free slots; near is set for
// an upstream of this data centre.
func (n *News) MayTakeFreeSlot(now time.Time, upstream string, near bool, free int) bool {
	turns := n.nearTurns.Load()
	if !near {
		turns = n.remoteTurns.Load()
	}
	return turns == nil || turns.MayTake(now, upstream, free)
}

// OwnsPeriod reports whether a period in which an upstream takes limited requests belongs to this balancer.
func (n *News) OwnsPeriod(upstream string, period int64) bool {
	shares := n.shares.Load()
	return shares != nil && shares.Owns(xxhash.Sum64String(upstream), period)
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
	n.startedAt = time.Now()
	n.available = make(map[string]bool)
	n.peers = cvpeertable.Table{Self: n.Address, DataCentre: n.DataCentre, DataCentres: n.DataCentres}
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

// IsDeputyReader reports whether this balancer, which does not read the directories for others, is the one of its data
// centre to read if the reader gets no answer.
func (n *News) IsDeputyReader(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.IsDeputyReader(now)
}

// Ahead returns the addresses of a balancer that has read the routes, and of one that has read the upstreams, beyond
// the given positions, or "". readByPeer is true if another balancer that is assigned to read the directories has done so
// within the given time.
func (n *News) Ahead(now time.Time, within time.Duration, routes, upstreams comfreyvale.Position) (ofRoutes, ofUpstreams string, readByPeer bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Ahead(now, within, routes, upstreams)
}

// Isolated reports whether there are other addresses but no balancer has been heard of lately.
func (n *News) Isolated(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Isolated(now)
}

// Near reports whether the balancer with an address is known to run in this data centre.
func (n *News) Near(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Near(address)
}

// KnowsOthers reports whether there are addresses at which other balancers may run.
func (n *News) KnowsOthers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.KnowsOthers()
}

// Live returns the sorted addresses of the other balancers that have sent a message recently.
func (n *News) Live() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Live(time.Now(), false)
}

// sendLoop sends changes and, at a longer interval, the full state to the balancers of this data centre, and digests to
// the other data centres.
func (n *News) sendLoop(ctx context.Context) error {
	ticker := time.NewTicker(minInterval)
	defer ticker.Stop()
	var sentAt time.Time
	for {
		select {
		case now := <-ticker.C:
			if n.stateDue(now) {
				sentAt = now
				n.sendState(now)
			} else if now.Sub(sentAt) >= n.changeInterval(now) {
				sentAt = now
				n.sendChanges(now)
			}
			n.sendDigests(now)
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

// changeInterval returns the time between two messages with changes.
func (n *News) changeInterval(now time.Time) time.Duration {
	n.mu.Lock()
	receivers := len(n.peers.StateReceivers(now))
	n.mu.Unlock()
	// The ticker may fire a little early.
	return intervalFor(receivers) - minInterval/2
}

func intervalFor(receivers int) time.Duration {
	return max(minInterval, time.Duration(receivers)*intervalPerReceiver)
}

// digestInterval returns the time between two digests from one data centre to another. The balancers of a data centre
// take turns, so it depends only on what they all know.
func (n *News) digestInterval(balancers int) time.Duration {
	byTarget := time.Duration(digestTargetShare * float64(n.ShortestTarget()))
	return min(max(minInterval, byTarget, time.Duration(balancers)*digestIntervalPerBalancer), maxDigestInterval)
}

// sendState sends the full state to the live balancers of this data centre, to others that have asked for it, and to
// addresses that are due for another attempt.
func (n *News) sendState(now time.Time) {
	n.mu.Lock()
	n.peers.AddAddresses(now, n.Seeds())
	live := n.peers.Live(now, false)
	receivers, replies, silent := n.peers.StateReceivers(now), n.peers.TakeReplies(), n.peers.AddressesToRetry(now)
	n.logPeerChanges(live)
	n.peers.RecordStateSent(now)
	n.setTurns(live, receivers)
	n.mu.Unlock()
	state := &cvwire.News{Address: n.Address, DataCentre: n.DataCentre, Whole: true}
	n.FillState(now, state)
	n.addEchoes(now, state)
	n.FillUpstreams(now, state, true)
	n.sendWithPeers(now, purposeState, receivers, n.DataCentre, state, false)
	n.sendWithPeers(now, purposeDiscovery, silent, n.DataCentre, state, true)
	n.setShares(now, state)
	state.Upstreams, state.InFlight, state.AgeMs, state.Busy, state.Slowness, state.SlownessAgeMs, state.Limits, state.Durations = nil, nil, nil, nil, nil, nil, nil, nil
	state.ClockMs, state.ConfirmedAgeMs, state.Echoes = 0, 0, nil
	for dataCentre, targets := range replies {
		n.sendWithPeers(now, purposeDiscovery, targets, dataCentre, state, false)
	}
}

// addEchoes adds the clocks of the balancers that this one has heard, if its own is told at all.
func (n *News) addEchoes(now time.Time, state *cvwire.News) {
	if state.GetClockMs() == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state.Echoes = n.peers.Echoes(now, time.Duration(state.GetClockMs())*time.Millisecond)
}

// setTurns sets the turns for the balancers that share the upstreams of this data centre, and of the others. The caller
// holds the lock.
func (n *News) setTurns(live, receivers []string) {
	interval := intervalFor(len(receivers))
	near := cvturns.New(n.Address, receivers, interval)
	remote := cvturns.New(n.Address, live, n.digestInterval(len(live)+1)+interval)
	n.nearTurns.Store(&near)
	n.remoteTurns.Store(&remote)
}

// setShares sets the shares of the periods in which upstreams take limited requests, by the state that was sent last.
// A balancer that hears of none of the others keeps its last shares, as the others go on by the same; without any it
// assumes others.
func (n *News) setShares(now time.Time, state *cvwire.News) {
	n.mu.Lock()
	demands, isolated := n.peers.Demands(now)
	n.mu.Unlock()
	demand := float64(state.GetDemand())
	shares := cvshares.New(n.Address, demand, demands)
	switch {
	case state.GetStopping() || now.Sub(n.startedAt) < settleTime:
		shares = cvshares.None()
	case isolated && n.settled:
		return
	case isolated:
		for b := range assumedBalancers {
			demands[fmt.Sprint("assumed balancer ", b)] = demand
		}
		shares = cvshares.New(n.Address, demand, demands)
	default:
		n.settled = true
	}
	n.shares.Store(&shares)
}

// sendWithPeers sends a full-state message with addresses for receivers in a data centre.
func (n *News) sendWithPeers(now time.Time, purpose string, targets []string, dataCentre string, state *cvwire.News, wantsReply bool) {
	if len(targets) == 0 {
		return
	}
	state.Peers, state.PeerDataCentres, state.WantsReply = nil, nil, wantsReply
	n.mu.Lock()
	n.peers.ListPeers(now, dataCentre, state, func(addresses []string) {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	})
	n.mu.Unlock()
	n.send(purpose, targets, state)
}

// sendChanges sends changes, if any, to the balancers of this data centre.
func (n *News) sendChanges(now time.Time) {
	n.mu.Lock()
	targets := n.peers.StateReceivers(now)
	n.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	message := &cvwire.News{}
	n.FillUpstreams(now, message, false)
	if len(message.GetUpstreams()) == 0 && len(message.GetSuspects()) == 0 && len(message.GetUsage()) == 0 {
		return
	}
	n.send(purposeChanges, targets, message)
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

func (n *News) send(purpose string, targets []string, message *cvwire.News) {
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
		n.OnSent(purpose, len(content))
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
	var receivers []string
	n.mu.Lock()
	fresh := n.peers.RecordMessage(now, from, message.GetProcess(), message.GetNumber())
	if fresh && message.GetWhole() {
		n.peers.RecordState(now, from, message)
		if message.GetClockMs() > 0 {
			n.peers.RecordClock(from, message.GetClockMs(), n.BootClock())
		}
	}
	process := n.process
	if fresh && len(message.GetMembers()) > 0 {
		n.peers.RecordMembers(now, message.GetMembersDataCentre(), message.GetMembers())
	}
	if fresh && message.GetDigestOf() == "" && !n.peers.Near(from) {
		// The digest of the sender's data centre contains its attempts, which must not count twice.
		message.Upstreams, message.InFlight, message.AgeMs, message.Busy, message.Slowness, message.SlownessAgeMs = nil, nil, nil, nil, nil, nil
	}
	if message.GetDigestOf() != "" {
		// The digest is sent on under another process.
		for _, u := range message.GetUsage() {
			if u.GetProcess() == 0 {
				u.Process = message.GetProcess()
			}
		}
	}
	if fresh && !message.GetRelayed() && (len(message.GetMembers()) > 0 || message.GetDigestOf() != "") {
		receivers = n.peers.Live(now, true)
	}
	n.mu.Unlock()
	if fresh {
		n.OnMessage(now, from, message)
		if at, ok := cvpeertable.ConfirmedAt(process, message); ok {
			n.OnConfirmed(message.GetVersion(), at)
		}
	}
	if len(receivers) > 0 {
		message.Relayed = true
		n.send(purposeRelay, receivers, message)
	}
}
