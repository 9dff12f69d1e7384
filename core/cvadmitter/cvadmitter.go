// Package cvadmitter decides whether a call of a service gets a slot of its class's share, waits or is refused.
package cvadmitter

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvqueue"
	"comfreyvale/core/cvticket"
)

// Admitter queues one balancer's calls for one service. It is not safe for concurrent use.
type Admitter struct {
	// Picker chooses an upstream.
	Picker comfreyvale.Picker
	// QueueLimit is the maximum number of waiting calls.
	QueueLimit int

	queue       cvqueue.Queue[*cvticket.Ticket]
	heldByClass map[string]int
	slots       int
	upstreams   int
	balancers   int
	meanLatency float64
}

const (
	// latencyWeight is the weight of a new latency in the moving average that estimates waits.
	latencyWeight = 0.05
	// maxWaitShare is the fraction of a call's remaining time that it may spend in the queue.
	maxWaitShare = 0.5
	// maxWaitLatencies is how many mean latencies a call may spend in the queue.
	maxWaitLatencies = 10
)

// Update replaces the upstreams, the slots of each and the number of live balancers, including this one.
func (a *Admitter) Update(now time.Time, vms []comfreyvale.VM, slots, balancers int) {
	a.Picker.Update(now, vms, slots)
	a.slots = slots
	a.upstreams = len(vms)
	a.balancers = max(balancers, 1)
}

// Enter grants a slot or queues the ticket. It returns false if the queue is full or the expected wait too long. While
// others wait, a new ticket is queued even if a slot is free, so that it does not overtake one of the same or a higher
// priority. draw is a uniform random number.
func (a *Admitter) Enter(now time.Time, draw uint64, t *cvticket.Ticket) bool {
	if a.queue.Len() == 0 && a.grant(now, draw, t) {
		return true
	}
	if a.ExpectedWait() > a.maxWait(now, t) {
		return false
	}
	a.queue.Limit = a.QueueLimit
	order, ok := a.queue.Push(t, t.Class().Priority(), t.Deadline())
	t.SetOrder(order)
	return ok
}

// ExpectedWait returns the expected queueing time of one more call, from the mean latency and this balancer's part of
// the slots.
func (a *Admitter) ExpectedWait() time.Duration {
	own := max(1, a.slots*a.upstreams/max(a.balancers, 1))
	return time.Duration(a.meanLatency * float64(a.queue.Len()) / float64(own))
}

func (a *Admitter) maxWait(now time.Time, t *cvticket.Ticket) time.Duration {
	limit := maxWaitShare * float64(t.Deadline().Sub(now))
	if a.meanLatency > 0 {
		limit = min(limit, maxWaitLatencies*a.meanLatency)
	}
	return time.Duration(limit)
}

// Next grants a slot to the first waiting ticket that can use one, or returns false.
func (a *Admitter) Next(now time.Time, draw uint64) (*cvticket.Ticket, bool) {
	return a.queue.Pop(func(t *cvticket.Ticket) (fit, more bool) {
		if a.grant(now, draw, t) {
			return true, false
		}
		// A class limit or avoided upstreams stop only this ticket; otherwise no upstream is free for any.
		return false, a.heldByClass[t.Class().Name()] >= a.classLimit(t.Class()) || len(t.Avoid()) > 0
	})
}

func (a *Admitter) grant(now time.Time, draw uint64, t *cvticket.Ticket) bool {
	if a.heldByClass[t.Class().Name()] >= a.classLimit(t.Class()) {
		return false
	}
	vm, ok := a.Picker.Pick(now, draw, t.Avoid())
	if !ok {
		return false
	}
	if a.heldByClass == nil {
		a.heldByClass = make(map[string]int)
	}
	a.heldByClass[t.Class().Name()]++
	t.Grant(vm)
	return true
}

// classLimit returns how many slots this balancer may use for a class: its part of the class's share, but at least 1. A
// class with a share of 1 may use all slots.
func (a *Admitter) classLimit(c cvclass.Class) int {
	all := a.slots * a.upstreams
	if c.SlotShare() >= 1 {
		return all
	}
	return max(1, int(c.SlotShare()*float64(all)/float64(a.balancers)))
}

// Leave removes a ticket from the queue. It returns false if the ticket no longer waits.
func (a *Admitter) Leave(t *cvticket.Ticket) bool {
	_, granted := t.Upstream()
	return !granted && a.queue.Remove(t.Order())
}

// Done releases a granted slot.
func (a *Admitter) Done(now time.Time, t *cvticket.Ticket, outcome comfreyvale.Outcome) {
	vm, _ := t.Upstream()
	a.heldByClass[t.Class().Name()]--
	a.Picker.Done(now, vm.Name(), outcome)
	if outcome.Result() == comfreyvale.ResultAnswered {
		a.meanLatency += latencyWeight * (float64(outcome.Latency()) - a.meanLatency)
	}
}

// Waiting returns the number of queued tickets.
func (a *Admitter) Waiting() int { return a.queue.Len() }

// Upstreams returns the number of known upstreams.
func (a *Admitter) Upstreams() int { return a.upstreams }
