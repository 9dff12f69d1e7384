// Package cvadmitter decides which call of a service gets which upstream's slot, and which calls wait or are refused.
package cvadmitter

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvqueue"
)

// Admitter holds the calls of one service in one balancer. It is not safe for concurrent use.
type Admitter struct {
	// Picker chooses among the upstreams.
	Picker comfreyvale.Picker
	// QueueLimit is how many calls wait at most.
	QueueLimit int

	queue     cvqueue.Queue[*Ticket]
	held      map[string]int
	slots     int
	upstreams int
	balancers int
}

// Ticket is one call that wants a slot.
type Ticket struct {
	class    cvclass.Class
	avoid    []string
	deadline time.Time
	order    uint64
	vm       comfreyvale.VM
	granted  bool
}

// NewTicket returns a ticket for a call of a class that must not go to the avoided upstreams.
func NewTicket(class cvclass.Class, avoid []string, deadline time.Time) *Ticket {
	return &Ticket{class: class, avoid: avoid, deadline: deadline}
}

// Upstream is the upstream whose slot was granted, or false while the ticket waits.
func (t *Ticket) Upstream() (comfreyvale.VM, bool) { return t.vm, t.granted }

// Update replaces the upstreams and the number of live balancers, this one included.
func (a *Admitter) Update(now time.Time, vms []comfreyvale.VM, slots, balancers int) {
	a.Picker.Update(now, vms, slots)
	a.slots = slots
	a.upstreams = len(vms)
	a.balancers = max(balancers, 1)
}

// Enter grants a slot at once, or queues the ticket, or returns false when the queue is full.
// A ticket never overtakes one that waits with the same or a better priority.
func (a *Admitter) Enter(now time.Time, draw uint64, t *Ticket) bool {
	if a.queue.Len() == 0 && a.grant(now, draw, t) {
		return true
	}
	a.queue.Limit = a.QueueLimit
	order, ok := a.queue.Push(t, t.class.Priority(), t.deadline)
	t.order = order
	return ok
}

// Next grants a slot to the first waiting ticket that can have one, or returns false.
func (a *Admitter) Next(now time.Time, draw uint64) (*Ticket, bool) {
	return a.queue.Pop(func(t *Ticket) (fit, goOn bool) {
		if a.grant(now, draw, t) {
			return true, false
		}
		return false, a.held[t.class.Name()] >= a.classLimit(t.class) || len(t.avoid) > 0
	})
}

func (a *Admitter) grant(now time.Time, draw uint64, t *Ticket) bool {
	if a.held[t.class.Name()] >= a.classLimit(t.class) {
		return false
	}
	vm, ok := a.Picker.Pick(now, draw, t.avoid)
	if !ok {
		return false
	}
	if a.held == nil {
		a.held = make(map[string]int)
	}
	a.held[t.class.Name()]++
	t.vm = vm
	t.granted = true
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
func (a *Admitter) Leave(t *Ticket) bool {
	return !t.granted && a.queue.Remove(t.order)
}

// Done gives a granted slot back.
func (a *Admitter) Done(now time.Time, t *Ticket, outcome comfreyvale.Outcome) {
	a.held[t.class.Name()]--
	a.Picker.Done(now, t.vm.Name(), outcome)
}

// Waiting is the number of tickets in the queue.
func (a *Admitter) Waiting() int { return a.queue.Len() }

// Upstreams is the number of upstreams known.
func (a *Admitter) Upstreams() int { return a.upstreams }
