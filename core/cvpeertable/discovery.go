package cvpeertable

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale/core/cvwire"
)

const (
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
	// maxListedPeers is the maximum number of addresses in a full state message, of which maxListedRemote are of other
	// data centres than the receiver's.
	maxListedPeers  = 8
	maxListedRemote = 3
)

// AddAddresses adds addresses at which a balancer may run.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		t.addAddress(now, a, "")
	}
}

func (t *Table) addAddress(now time.Time, address, dataCentre string) {
	if address == t.Self || address == "" {
		return
	}
	if p := t.entry(now, address); p.dataCentre == "" {
		p.dataCentre = dataCentre
	}
}

// addPeers adds the addresses that a full state message lists.
func (t *Table) addPeers(now time.Time, message *cvwire.News) {
	dataCentres := message.GetPeerDataCentres()
	for n, a := range message.GetPeers() {
		dataCentre := ""
		if n < len(dataCentres) {
			dataCentre = dataCentres[n]
		}
		t.addAddress(now, a, dataCentre)
	}
}

// StateDue reports whether a full state message must be sent: at the usual interval, or sooner during discovery.
func (t *Table) StateDue(now time.Time) bool {
	since := now.Sub(t.stateSentAt)
	return since >= stateInterval || since >= discoveryInterval && (t.discovered || t.replyDue || t.discovering(now))
}

// RecordStateSent records that a full state message was sent.
func (t *Table) RecordStateSent(now time.Time) { t.stateSentAt, t.discovered = now, false }

// StateReceivers returns the sorted addresses of the live balancers to which full state messages are sent regularly:
// those that are not known to run in another data centre.
func (t *Table) StateReceivers(now time.Time) []string {
	var found []string
	for address, p := range t.peers {
		if t.isLive(now, p) && !t.remote(p) {
			found = append(found, address)
		}
	}
	slices.SortFunc(found, cmp.Compare[string])
	return found
}

// TakeReplies returns the addresses of other data centres that have asked for a reply, by data centre, and forgets
// them.
func (t *Table) TakeReplies() map[string][]string {
	if !t.replyDue {
		return nil
	}
	t.replyDue = false
	found := make(map[string][]string)
	for address, p := range t.peers {
		if p.wantsReply {
			p.wantsReply = false
			found[p.dataCentre] = append(found[p.dataCentre], address)
		}
	}
	return found
}

// ListPeers adds some addresses to a full state message for receivers in a data centre: live balancers of that data
// centre, and of each other data centre one. shuffle permutes a list at random.
func (t *Table) ListPeers(now time.Time, dataCentre string, message *cvwire.News, shuffle func(addresses []string)) {
	live := t.Live(now, false)
	shuffle(live)
	var local, others []string
	listed := map[string]bool{t.DataCentre: true, dataCentre: true, "": true}
	for _, a := range live {
		switch of := t.peers[a].dataCentre; {
		case of == dataCentre:
			local = append(local, a)
		case !listed[of]:
			listed[of] = true
			others = append(others, a)
		}
	}
	others = others[:min(len(others), maxListedRemote)]
	local = local[:min(len(local), maxListedPeers-len(others))]
	for _, a := range append(local, others...) {
		message.Peers = append(message.Peers, a)
		message.PeerDataCentres = append(message.PeerDataCentres, t.peers[a].dataCentre)
	}
}

// awaitsFirstMessage reports whether the address was added lately and has not sent a message yet.
func (p *peer) awaitsFirstMessage(now time.Time) bool {
	return p.receivedAt.IsZero() && now.Sub(p.addedAt) < discoveryTime
}

func (t *Table) discovering(now time.Time) bool {
	covered := t.coveredDataCentres(now)
	for address, p := range t.peers {
		if p.awaitsFirstMessage(now) && t.greets(now, address, p, covered) {
			return true
		}
	}
	return false
}

// coveredDataCentres returns the data centres with a live balancer. A balancer of these that is missing returns by the
// messages of its own data centre.
func (t *Table) coveredDataCentres(now time.Time) map[string]bool {
	covered := make(map[string]bool)
	for _, p := range t.peers {
		if t.isLive(now, p) {
			covered[p.dataCentre] = true
		}
	}
	return covered
}

// greets reports whether this balancer sends messages to an address without a live balancer. One balancer of the data
// centre is enough for addresses outside of it that have been silent for longer.
func (t *Table) greets(now time.Time, address string, p *peer, covered map[string]bool) bool {
	if p.dataCentre == t.DataCentre || p.awaitsFirstMessage(now) && !t.remote(p) {
		return true
	}
	if t.remote(p) && covered[p.dataCentre] {
		return false
	}
	return p.awaitsFirstMessage(now) || t.OwnsTask(now, greetTask+address)
}

// AddressesToRetry returns the sorted addresses without a live balancer to which another message is due, and records it
// as sent. It removes addresses that have been silent for longer than silenceTimeout.
func (t *Table) AddressesToRetry(now time.Time) []string {
	var due []string
	covered := t.coveredDataCentres(now)
	for address, p := range t.peers {
		if t.isLive(now, p) {
			continue
		}
		if now.Sub(p.receivedAt) > silenceTimeout && now.Sub(p.addedAt) > silenceTimeout {
			delete(t.peers, address)
			continue
		}
		if !t.greets(now, address, p, covered) {
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
