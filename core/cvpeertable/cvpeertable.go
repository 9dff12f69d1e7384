// Package cvpeertable is what a balancer knows of the others: who is there, where, and when it was heard last.
package cvpeertable

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale/core/cvhash"
	"comfreyvale/core/cvwire"
)

const (
	// liveTime is how long a balancer counts as there without being heard: three whole messages of the slowest rate.
	liveTime = 2 * time.Second
	// readerTime is how long a balancer that reads for others counts as there without being heard: two whole messages, as
	// a change must be in force two seconds after its acknowledgement also when its reader has died.
	readerTime = 1200 * time.Millisecond
	// countedTime is how long a balancer counts among those that share budgets: longer than a budget's window.
	countedTime = 30 * time.Second
	// forgetTime is how long an address that stays silent is still tried.
	forgetTime = 2 * time.Minute
	// retryTime is the time between two messages to an address that is silent.
	retryTime = time.Second
	// wholeInterval is the time between two whole messages; four may be lost before a balancer counts as gone.
	wholeInterval = 500 * time.Millisecond
	// meetInterval is the same while balancers meet, and the time between two messages to an address that was learned
	// lately: balancers that start together should know of each other within the length of a request.
	meetInterval = 100 * time.Millisecond
	// meetTime is for how long a silent address counts as learned lately: a process starts within that.
	meetTime = 2 * time.Second
	// unknownBalancers is how many are assumed to share budgets before any was heard.
	unknownBalancers = 12
	// unheardBalancers is how many are assumed beside those that were heard.
	unheardBalancers = 1
	// readTask names the task of reading the directories.
	readTask = "read"
)

// Table is the set of the other balancers. It is not safe for concurrent use.
type Table struct {
	// Self is this balancer's address.
	Self string
	// DataCentre is where this balancer runs.
	DataCentre string

	known map[string]*neighbour
	// told is when the last whole message went out, and met says that a process was first heard since.
	told time.Time
	met  bool
}

type neighbour struct {
	process    uint64
	number     uint64
	dataCentre string
	version    int64
	stopping   bool
	away       bool
	unreadable bool
	reading    bool
	readAt     time.Time
	routes     int64
	upstreams  int64
	heard      time.Time
	learned    time.Time
	sent       time.Time
}

func (n *Table) at(now time.Time, address string) *neighbour {
	if n.known == nil {
		n.known = make(map[string]*neighbour)
	}
	found := n.known[address]
	if found == nil {
		found = &neighbour{learned: now}
		n.known[address] = found
	}
	return found
}

// AddAddresses takes addresses at which a balancer may be.
func (n *Table) AddAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a != n.Self && a != "" {
			n.at(now, a)
		}
	}
}

// RecordMessage takes a message of a balancer. It returns false for one that was overtaken by a later one of the same process.
func (n *Table) RecordMessage(now time.Time, address string, process, number uint64) bool {
	if address == n.Self || address == "" {
		return false
	}
	found := n.at(now, address)
	if found.process == process && number <= found.number {
		return false
	}
	n.met = n.met || found.process != process || !n.live(now, found)
	found.process, found.number, found.heard = process, number, now
	return true
}

// RecordState takes what a balancer says of itself in a whole message.
func (n *Table) RecordState(now time.Time, address string, message *cvwire.News) {
	found := n.known[address]
	if found == nil {
		return
	}
	found.dataCentre, found.version, found.stopping = message.GetDataCentre(), message.GetVersion(), message.GetStopping()
	found.away, found.unreadable, found.reading = message.GetDirectoryAway(), message.GetUnreadable(), message.GetReading()
	found.readAt = now.Add(-time.Duration(message.GetReadAgeMs()) * time.Millisecond)
	found.routes, found.upstreams = message.GetRoutesNext(), message.GetUpstreamsNext()
	n.AddAddresses(now, message.GetPeers())
}

// DirectorySource is a balancer that can read the platform's directories, of the own data centre if there is one, or empty.
func (n *Table) DirectorySource(now time.Time) string {
	best := ""
	for a, k := range n.known {
		if k.away || k.version == 0 || !n.live(now, k) {
			continue
		}
		if n.nearer(a, best) {
			best = a
		}
	}
	return best
}

// Live are the addresses of the balancers that are there, those of the own data centre alone if near is set, in order.
func (n *Table) Live(now time.Time, near bool) []string {
	var found []string
	for address, k := range n.known {
		if n.live(now, k) && (!near || k.dataCentre == n.DataCentre) {
			found = append(found, address)
		}
	}
	slices.SortFunc(found, cmp.Compare[string])
	return found
}

func (n *Table) live(now time.Time, k *neighbour) bool {
	return !k.heard.IsZero() && now.Sub(k.heard) < liveTime
}

// OwnsTask says whether, of the balancers of the own data centre, a task falls to this one.
func (n *Table) OwnsTask(now time.Time, task string) bool {
	return n.mine(now, task, func(*neighbour) bool { return true })
}

// OwnsReading says whether, of the balancers of the own data centre that can read the platform's directories, reading them for
// the others falls to this one, which can read them itself.
func (n *Table) OwnsReading(now time.Time) bool {
	return n.mine(now, readTask, func(k *neighbour) bool { return !k.unreadable })
}

// mine says whether, of the balancers of the own data centre that can do a task, it falls to this one.
func (n *Table) mine(now time.Time, task string, can func(k *neighbour) bool) bool {
	own := cvhash.Pair(n.Self, task)
	for address, k := range n.known {
		if k.dataCentre == n.DataCentre && !k.stopping && n.live(now, k) && can(k) && cvhash.Pair(address, task) > own {
			return false
		}
	}
	return true
}

// Ahead returns balancers that have read past an offset of the routes and of the upstreams, near ones first, or empty
// texts. Covered says that a balancer whose task it is has read the directories within a time.
func (n *Table) Ahead(now time.Time, within time.Duration, routes, upstreams int64) (ofRoutes, ofUpstreams string, covered bool) {
	for a, k := range n.known {
		if !n.live(now, k) || k.stopping || now.Sub(k.readAt) >= within {
			continue
		}
		covered = covered || k.reading && now.Sub(k.heard) < readerTime
		if k.routes > routes && n.nearer(a, ofRoutes) {
			ofRoutes = a
		}
		if k.upstreams > upstreams && n.nearer(a, ofUpstreams) {
			ofUpstreams = a
		}
	}
	return ofRoutes, ofUpstreams, covered
}

// nearer says whether a balancer is to be asked before another one: those of the own data centre first.
func (n *Table) nearer(a, b string) bool {
	if b == "" {
		return true
	}
	near, otherNear := n.known[a].dataCentre == n.DataCentre, n.known[b].dataCentre == n.DataCentre
	if near != otherNear {
		return near
	}
	return a < b
}

// StateDue says whether it is time for a whole message: at the usual interval, or sooner while balancers meet.
func (n *Table) StateDue(now time.Time) bool {
	since := now.Sub(n.told)
	return since >= wholeInterval || since >= meetInterval && (n.met || n.meeting(now))
}

// RecordStateSent notes that a whole message went out.
func (n *Table) RecordStateSent(now time.Time) { n.told, n.met = now, false }

// expected says whether the address was learned lately and has not been heard yet.
func (k *neighbour) expected(now time.Time) bool {
	return k.heard.IsZero() && now.Sub(k.learned) < meetTime
}

// meeting says whether a balancer is expected to be heard.
func (n *Table) meeting(now time.Time) bool {
	for _, k := range n.known {
		if k.expected(now) {
			return true
		}
	}
	return false
}

// AddressesToRetry returns the addresses that are due for another try to reach a balancer there, and forgets those that stay silent.
func (n *Table) AddressesToRetry(now time.Time) []string {
	var due []string
	for address, k := range n.known {
		if n.live(now, k) {
			continue
		}
		if now.Sub(k.heard) > forgetTime && now.Sub(k.learned) > forgetTime {
			delete(n.known, address)
			continue
		}
		pause := retryTime
		if k.expected(now) {
			pause = meetInterval
		}
		if now.Sub(k.sent) >= pause {
			k.sent = now
			due = append(due, address)
		}
	}
	slices.SortFunc(due, cmp.Compare[string])
	return due
}

// NewestVersion is the greatest configuration version that a balancer which is there told of, and its address.
func (n *Table) NewestVersion(now time.Time) (address string, version int64) {
	for a, k := range n.known {
		if n.live(now, k) && (k.version > version || (k.version == version && version > 0 && a < address)) {
			address, version = a, k.version
		}
	}
	return address, version
}

// Sharers is how many balancers share a budget, this one included.
func (n *Table) Sharers(now time.Time) int {
	heard := 0
	for _, k := range n.known {
		if !k.heard.IsZero() && now.Sub(k.heard) < countedTime {
			heard++
		}
	}
	if heard == 0 {
		return unknownBalancers
	}
	return heard + 1 + unheardBalancers
}
