// Package cvpeertable implements a table of the other balancers with their addresses, states and last messages.
//
// Balancers of one data centre send each other messages directly. Of the other data centres a balancer knows what
// their members tell about each other, so that its work does not grow with the number of all balancers.
package cvpeertable

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvhash"
	"comfreyvale/core/cvwire"
)

const (
	// liveTimeout is how long a balancer of this data centre counts as live without a message: three full state messages
	// may be lost.
	liveTimeout = 2 * time.Second
	// remoteLiveTimeout replaces liveTimeout for balancers of other data centres, whose states arrive through two others.
	remoteLiveTimeout = 3 * time.Second
	// readerTimeout replaces liveTimeout for a balancer that reads the directories for others: the time of two full state
	// messages. A change must be in force two seconds after its acknowledgement even if that balancer has crashed.
	readerTimeout = 1200 * time.Millisecond
	// sharerTimeout is how long after its last message a balancer counts as sharing budgets: longer than a budget's
	// window.
	sharerTimeout = 30 * time.Second
	// defaultSharers is how many balancers are assumed to share budgets before the first message.
	defaultSharers = 12
	// extraSharers is how many balancers are assumed beside this one and those that sent messages.
	extraSharers = 1
	readTask     = "read"
	deputyTask   = "read as deputy"
	greetTask    = "greet "
)

// Table is the table of the other balancers. It is not safe for concurrent use.
type Table struct {
	// Self is this balancer's address.
	Self string
	// DataCentre is the data centre of this balancer.
	DataCentre string
	// DataCentres is the number of data centres with balancers, or 0 if it is unknown.
	DataCentres int

	peers map[string]*peer
	// stateSentAt is when the last full state message was sent; discovered reports whether a message of a new process,
	// or of one that was not live, has arrived since. replyDue reports whether a balancer of another data centre has
	// asked for a reply since.
	stateSentAt time.Time
	discovered  bool
	replyDue    bool
}

type peer struct {
	process    uint64
	lastNumber uint64
	dataCentre string
	version    int64
	stopping   bool
	wantsReply bool
	// directoryAway reports that the balancer cannot read the directory of upstreams or has not loaded it yet.
	directoryAway bool
	// unreadable reports that the balancer's last read of the directories failed.
	unreadable bool
	// readsForOthers reports that the balancer has the task of reading the directories for its data centre.
	readsForOthers bool
	// readAt is when the balancer last read the directories, the earlier time if they differ; routesNext and
	// upstreamsNext are the positions of the next records to read.
	readAt        time.Time
	routesNext    comfreyvale.Position
	upstreamsNext comfreyvale.Position
	// clockMs is the balancer's clock in its last full state message with one, and clockAt this balancer's when that message
	// was received.
	clockMs uint64
	clockAt time.Duration
	// demand is the rate of the balancer's requests, in requests a second.
	demand float32
	// receivedAt is when the last message from or about the balancer arrived, sentAt when AddressesToRetry last returned
	// the address.
	receivedAt time.Time
	addedAt    time.Time
	sentAt     time.Time
}

// entry returns the entry of an address and adds it if it is missing.
func (t *Table) entry(now time.Time, address string) *peer {
	if t.peers == nil {
		t.peers = make(map[string]*peer)
	}
	found := t.peers[address]
	if found == nil {
		found = &peer{addedAt: now}
		t.peers[address] = found
	}
	return found
}

// RecordMessage records a message of a balancer. It returns false for a message to ignore: one from this balancer, a
// duplicate, or one older than the last of the same process.
func (t *Table) RecordMessage(now time.Time, address string, process, number uint64) bool {
	if address == t.Self || address == "" {
		return false
	}
	found := t.entry(now, address)
	if found.process == process && number <= found.lastNumber {
		return false
	}
	isNew := found.process != process || !t.isLive(now, found)
	if found.process != process {
		// The clock of another run may be that of another machine.
		found.clockMs = 0
	}
	t.discovered = t.discovered || isNew && !t.remote(found)
	found.process, found.lastNumber, found.receivedAt = process, number, now
	return true
}

// RecordState records a full state message and adds the addresses in it.
func (t *Table) RecordState(now time.Time, address string, message *cvwire.News) {
	found := t.peers[address]
	if found == nil {
		return
	}
	found.dataCentre, found.version, found.stopping = message.GetDataCentre(), message.GetVersion(), message.GetStopping()
	found.directoryAway, found.unreadable, found.readsForOthers = message.GetDirectoryAway(), message.GetUnreadable(), message.GetReading()
	found.readAt = now.Add(-time.Duration(message.GetReadAgeMs()) * time.Millisecond)
	found.routesNext = comfreyvale.NewPosition(message.GetRoutesEra(), message.GetRoutesNext())
	found.upstreamsNext = comfreyvale.NewPosition(message.GetUpstreamsEra(), message.GetUpstreamsNext())
	found.demand = message.GetDemand()
	if message.GetWantsReply() && t.remote(found) {
		found.wantsReply, t.replyDue = true, true
	}
	t.addPeers(now, message)
}

// remote reports whether a balancer is known to run in another data centre.
func (t *Table) remote(p *peer) bool { return p.dataCentre != "" && p.dataCentre != t.DataCentre }

// Near reports whether the balancer with an address is known to run in this data centre.
func (t *Table) Near(address string) bool {
	p := t.peers[address]
	return p != nil && p.dataCentre == t.DataCentre
}

// Live returns the sorted addresses of the live balancers; near limits them to this data centre.
func (t *Table) Live(now time.Time, near bool) []string {
	var found []string
	for address, p := range t.peers {
		if t.isLive(now, p) && (!near || p.dataCentre == t.DataCentre) {
			found = append(found, address)
		}
	}
	slices.SortFunc(found, cmp.Compare[string])
	return found
}

func (t *Table) isLive(now time.Time, p *peer) bool {
	timeout := liveTimeout
	if t.remote(p) {
		timeout = remoteLiveTimeout
	}
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < timeout
}

// OwnsTask reports whether this balancer owns a task, by rendezvous hashing over the live balancers of its data centre
// that are not stopping.
func (t *Table) OwnsTask(now time.Time, task string) bool {
	return t.owns(now, task, func(*peer) bool { return true })
}

// owns is like OwnsTask, but considers only the balancers that can do the task.
func (t *Table) owns(now time.Time, task string, can func(p *peer) bool) bool {
	own := cvhash.Pair(t.Self, task)
	for address, p := range t.peers {
		if p.dataCentre == t.DataCentre && !p.stopping && t.isLive(now, p) && can(p) && cvhash.Pair(address, task) > own {
			return false
		}
	}
	return true
}

// Sharers estimates the number of balancers that share a budget, including this one: too high rather than too low, so
// that together they do not exceed the budget. A data centre that is not heard of counts like this one.
func (t *Table) Sharers(now time.Time) int {
	count, near := 0, 1
	heard := map[string]bool{t.DataCentre: true}
	for _, p := range t.peers {
		if p.receivedAt.IsZero() || now.Sub(p.receivedAt) >= sharerTimeout {
			continue
		}
		count++
		if p.dataCentre == t.DataCentre {
			near++
		}
		if p.dataCentre != "" {
			heard[p.dataCentre] = true
		}
	}
	if count == 0 {
		return max(defaultSharers, t.DataCentres)
	}
	return count + 1 + extraSharers + near*max(t.DataCentres-len(heard), 0)
}
