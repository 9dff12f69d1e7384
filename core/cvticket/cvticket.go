// Package cvticket defines the queue entry of one attempt that needs an upstream slot.
package cvticket

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvclass"
)

// Ticket waits for a slot, then holds the upstream whose slot was granted. It is not safe for concurrent use.
type Ticket struct {
	class    cvclass.Class
	avoid    []string
	deadline time.Time
	order    uint64
	vm       comfreyvale.VM
	granted  bool
}

// New returns a ticket. The upstreams named in avoid must not be chosen.
func New(class cvclass.Class, avoid []string, deadline time.Time) *Ticket {
	return &Ticket{class: class, avoid: avoid, deadline: deadline}
}

// Class returns the call's class.
func (t *Ticket) Class() cvclass.Class { return t.class }

// Avoid returns the names of the upstreams that must not be chosen.
func (t *Ticket) Avoid() []string { return t.avoid }

// Deadline returns the time at which the caller stops waiting.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// SetOrder sets the ticket's order number in the queue.
func (t *Ticket) SetOrder(order uint64) { t.order = order }

// Order returns the ticket's order number in the queue.
func (t *Ticket) Order() uint64 { return t.order }

// Grant records the upstream whose slot was granted.
func (t *Ticket) Grant(vm comfreyvale.VM) {
	t.vm = vm
	t.granted = true
}

// Upstream returns the upstream whose slot was granted, or false while the ticket waits.
func (t *Ticket) Upstream() (comfreyvale.VM, bool) { return t.vm, t.granted }
