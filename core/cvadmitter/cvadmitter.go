// Package cvadmitter decides which call of a service gets which upstream's slot, and which calls wait or are refused.
package cvadmitter

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvqueue"
	"comfreyvale/core/cvticket"
)

// Admitter holds the calls of one service in one balancer. It is not safe for concurrent use.
type Admitter struct {
	// Picker chooses among the upstreams.
	Picker comfreyvale.Picker
	// QueueLimit is how many calls wait at most.
	QueueLimit int

	queue     cvqueue.Queue[*cvticket.Ticket]
	held      map[string]int
	slots     int
	upstreams int
	balancers int
	latency   float64
}

const (
	// latencyGain is the weight of a new latency in the average that waits are estimated by.
	latencyGain = 0.05
	// waitShare is the part of a call's remaining time that it may spend in the queue.
	waitShare = 0.5
	// waitLatencies is how many average latencies a call may spend in the queue.
	waitLatencies = 10
)

// Update replaces the upstreams and the number of live balancers, this one included.
func (a *Admitter) Update(now time.Time, vms []comfreyvale.VM, slots, balancers int) {
	a.Picker.Update(now, vms, slots)
	a.slots = slots
	a.upstreams = len(vms)
	a.balancers = max(balancers, 1)
}

// Enter grants a slot at once, or queues the ticket, or returns false when the queue is full or its wait would be too
// long for the call's deadline. A ticket never overtakes one that waits with the same or a better priority.
func (a *Admitter) Enter(now time.Time, draw uint64, t *cvticket.Ticket) bool {
	if a.queue.Len() == 0 && a.grant(now, draw, t) {
		return true
	}
	if a.ExpectedWait() > a.patience(now, t) {
		return false
	}
	a.queue.Limit = a.QueueLimit
	order, ok := a.queue.Push(t, t.Class().Priority(), t.Deadline())
	t.SetOrder(order)
	return ok
}

// ExpectedWait is the time that one more call would wait in the queue, by recent latencies and this balancer's part of the slots.
func (a *Admitter) ExpectedWait() time.Duration {
	own := max(1, a.slots*a.upstreams/max(a.balancers, 1))
	return time.Duration(a.latency * float64(a.queue.Len()) / float64(own))
}

// patience is how long a call may wait: a part of its time, and not much longer than calls take.
func (a *Admitter) patience(now time.Time, t *cvticket.Ticket) time.Duration {
	patience := waitShare * float64(t.Deadline().Sub(now))
	if a.latency > 0 {
		patience = min(patience, waitLatencies*a.latency)
	}
	return time.Duration(patience)
}

// Next grants a slot to the first waiting ticket that can have one, or returns false.
func (a *Admitter) Next(now time.Time, draw uint64) (*cvticket.Ticket, bool) {
	return a.queue.Pop(func(t *cvticket.Ticket) (fit, goOn bool) {
		if a.grant(now, draw, t) {
			return true, false
		}
		return false, a.held[t.Class().Name()] >= a.classLimit(t.Class()) || len(t.Avoid()) > 0
	})
}

func (a *Admitter) grant(now time.Time, draw uint64, t *cvticket.Ticket) bool {
	if a.held[t.Class().Name()] >= a.classLimit(t.Class()) {
		return false
	}
	vm, ok := a.Picker.Pick(now, draw, t.Avoid())
	if !ok {
		return false
	}
	if a.held == nil {
		a.held = make(map[string]int)
	}
	a.held[t.Class().Name()]++
	t.Grant(vm)
	return true
}

// classLimit is how many slots a class may hold from this balancer: its part of the class's share of all slots.
// A class with all slots is not limited.
func (a *Admitter) classLimit(c cvclass.Class) int {
	all := a.slots * a.upstreams
	if c.SlotShare() >= 1 {
		return all
	}
	return max(1, int(c.SlotShare()*float64(all)/float64(a.balancers)))
}

// Leave takes a waiting ticket out of the queue; it returns false when the ticket no longer waits.
func (a *Admitter) Leave(t *cvticket.Ticket) bool {
	_, granted := t.Upstream()
	return !granted && a.queue.Remove(t.Order())
}

// Done gives a granted slot back.
func (a *Admitter) Done(now time.Time, t *cvticket.Ticket, outcome comfreyvale.Outcome) {
	vm, _ := t.Upstream()
	a.held[t.Class().Name()]--
	a.Picker.Done(now, vm.Name(), outcome)
	if outcome.Result() == comfreyvale.ResultAnswered {
		a.latency += latencyGain * (float64(outcome.Latency()) - a.latency)
	}
}

// Waiting is the number of tickets in the queue.
func (a *Admitter) Waiting() int { return a.queue.Len() }

// Upstreams is the number of upstreams known.
func (a *Admitter) Upstreams() int { return a.upstreams }
