// Package cvpeertable implements a table of the other balancers with their addresses, states and last messages.
package cvpeertable

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale/core/cvhash"
	"comfreyvale/core/cvwire"
)

const (
	// liveTimeout is how long a balancer counts as live without a message: three full state messages may be lost.
	liveTimeout = 2 * time.Second
	// readerTimeout replaces liveTimeout for a balancer that reads the directories for others: the time of two full state
	// messages. A change must be in force two seconds after its acknowledgement even if that balancer has crashed.
	readerTimeout = 1200 * time.Millisecond
	// sharerTimeout is how long after its last message a balancer counts as sharing budgets: longer than a budget's
	// window.
	sharerTimeout = 30 * time.Second
	// silenceTimeout is how long this balancer keeps sending to an address that does not answer.
	silenceTimeout = 2 * time.Minute
	// retryInterval is the interval of messages to an address that does not answer.
	retryInterval = time.Second
	// stateInterval is the interval of full state messages. A balancer no longer counts as live when four are lost.
	stateInterval = 500 * time.Millisecond
	// discoveryInterval replaces stateInterval during discovery, and retryInterval for an address that was added
	// lately. Balancers that start together should discover each other within the duration of a request.
	discoveryInterval = 100 * time.Millisecond
	// discoveryTime is how long an address without an answer counts as added lately: a process starts within that time.
	discoveryTime = 2 * time.Second
	// defaultSharers is how many balancers are assumed to share budgets before the first message.
	defaultSharers = 12
	// extraSharers is how many balancers are assumed beside this one and those that sent messages.
	extraSharers = 1
	readTask     = "read"
)

// Table is the table of the other balancers. It is not safe for concurrent use.
type Table struct {
	// Self is this balancer's address.
	Self string
	// DataCentre is the data centre of this balancer.
	DataCentre string

	peers map[string]*peer
	// stateSentAt is when the last full state message was sent; discovered reports whether a message of a new process,
	// or of one that was not live, has arrived since.
	stateSentAt time.Time
	discovered  bool
}

type peer struct {
	process    uint64
	lastNumber uint64
	dataCentre string
	version    int64
	stopping   bool
	// directoryAway reports that the balancer cannot read the directory of upstreams or has not loaded it yet.
	directoryAway bool
	// unreadable reports that the balancer's last read of the directories failed.
	unreadable bool
	// readsForOthers reports that the balancer has the task of reading the directories for its data centre.
	readsForOthers bool
	// readAt is when the balancer last read the directories, the earlier time if they differ; routesNext and
	// upstreamsNext are the offsets of the next records to read.
	readAt        time.Time
	routesNext    int64
	upstreamsNext int64
	// receivedAt is when the last message arrived, sentAt when AddressesToRetry last returned the address.
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

// AddAddresses adds addresses at which a balancer may run.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a != t.Self && a != "" {
			t.entry(now, a)
		}
	}
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
	t.discovered = t.discovered || found.process != process || !t.isLive(now, found)
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
	found.routesNext, found.upstreamsNext = message.GetRoutesNext(), message.GetUpstreamsNext()
	t.AddAddresses(now, message.GetPeers())
}

// DirectorySource returns the address of a live balancer, preferably of this data centre, that has a configuration and
// can read the directory of upstreams, or an empty string.
func (t *Table) DirectorySource(now time.Time) string {
	best := ""
	for a, p := range t.peers {
		if p.directoryAway || p.version == 0 || !t.isLive(now, p) {
			continue
		}
		if t.preferred(a, best) {
			best = a
		}
	}
	return best
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
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < liveTimeout
}

// OwnsTask reports whether this balancer owns a task, by rendezvous hashing over the live balancers of its data centre
// that are not stopping.
func (t *Table) OwnsTask(now time.Time, task string) bool {
	return t.owns(now, task, func(*peer) bool { return true })
}

// OwnsReading reports whether this balancer, if it can read the platform's directories, must read them for its data
// centre. Peers that cannot read them are not considered.
func (t *Table) OwnsReading(now time.Time) bool {
	return t.owns(now, readTask, func(p *peer) bool { return !p.unreadable })
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

// Ahead returns balancers that have read the routes and the upstreams beyond the given offsets, preferably of this data
// centre, or empty strings. It considers only live balancers that are not stopping and whose last read is younger than
// within. readByPeer reports whether one of these, whatever its offsets, reads for others and sent a message within
// readerTimeout.
func (t *Table) Ahead(now time.Time, within time.Duration, routes, upstreams int64) (ofRoutes, ofUpstreams string, readByPeer bool) {
	for a, p := range t.peers {
		if !t.isLive(now, p) || p.stopping || now.Sub(p.readAt) >= within {
			continue
		}
		readByPeer = readByPeer || p.readsForOthers && now.Sub(p.receivedAt) < readerTimeout
		if p.routesNext > routes && t.preferred(a, ofRoutes) {
			ofRoutes = a
		}
		if p.upstreamsNext > upstreams && t.preferred(a, ofUpstreams) {
			ofUpstreams = a
		}
	}
	return ofRoutes, ofUpstreams, readByPeer
}

// preferred reports whether address a is preferred to b, which may be empty: balancers of this data centre come first.
func (t *Table) preferred(a, b string) bool {
	if b == "" {
		return true
	}
	near, otherNear := t.peers[a].dataCentre == t.DataCentre, t.peers[b].dataCentre == t.DataCentre
	if near != otherNear {
		return near
	}
	return a < b
}

// StateDue reports whether a full state message must be sent: at the usual interval, or sooner during discovery.
func (t *Table) StateDue(now time.Time) bool {
	since := now.Sub(t.stateSentAt)
	return since >= stateInterval || since >= discoveryInterval && (t.discovered || t.discovering(now))
}

// RecordStateSent records that a full state message was sent.
func (t *Table) RecordStateSent(now time.Time) { t.stateSentAt, t.discovered = now, false }

// awaitsFirstMessage reports whether the address was added lately and has not sent a message yet.
func (p *peer) awaitsFirstMessage(now time.Time) bool {
	return p.receivedAt.IsZero() && now.Sub(p.addedAt) < discoveryTime
}

func (t *Table) discovering(now time.Time) bool {
	for _, p := range t.peers {
		if p.awaitsFirstMessage(now) {
			return true
		}
	}
	return false
}

// AddressesToRetry returns the sorted addresses without a live balancer to which another message is due, and records it
// as sent. It removes addresses that have been silent for longer than silenceTimeout.
func (t *Table) AddressesToRetry(now time.Time) []string {
	var due []string
	for address, p := range t.peers {
		if t.isLive(now, p) {
			continue
		}
		if now.Sub(p.receivedAt) > silenceTimeout && now.Sub(p.addedAt) > silenceTimeout {
			delete(t.peers, address)
			continue
		}
		pause := retryInterval
		if p.awaitsFirstMessage(now) {
			pause = discoveryInterval
		}
		if now.Sub(p.sentAt) >= pause {
			p.sentAt = now
			due = append(due, address)
		}
	}
	slices.SortFunc(due, cmp.Compare[string])
	return due
}

// NewestVersion returns the highest configuration version of the live balancers and the address of one that has it.
func (t *Table) NewestVersion(now time.Time) (address string, version int64) {
	for a, p := range t.peers {
		if t.isLive(now, p) && (p.version > version || (p.version == version && version > 0 && a < address)) {
			address, version = a, p.version
		}
	}
	return address, version
}

// Sharers estimates the number of balancers that share a budget, including this one: too high rather than too low, so
// that together they do not exceed the budget.
func (t *Table) Sharers(now time.Time) int {
	count := 0
	for _, p := range t.peers {
		if !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < sharerTimeout {
			count++
		}
	}
	if count == 0 {
		return defaultSharers
	}
	return count + 1 + extraSharers
}
