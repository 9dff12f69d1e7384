// Package cvticket is one try's wish for a slot of an upstream.
package cvticket

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvclass"
)

// Ticket waits for a slot, and then names the upstream whose slot was granted.
type Ticket struct {
	class    cvclass.Class
	avoid    []string
	deadline time.Time
	order    uint64
	vm       comfreyvale.VM
	granted  bool
}

// New returns a ticket for a call of a class that must not go to the avoided upstreams.
func New(class cvclass.Class, avoid []string, deadline time.Time) *Ticket {
	return &Ticket{class: class, avoid: avoid, deadline: deadline}
}

// Class is the call's class.
func (t *Ticket) Class() cvclass.Class { return t.class }

// Avoid names the upstreams that must not be chosen.
func (t *Ticket) Avoid() []string { return t.avoid }

// Deadline is when the caller stops waiting.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// SetOrder notes the ticket's place in a queue.
func (t *Ticket) SetOrder(order uint64) { t.order = order }

// Order is the ticket's place in the queue.
func (t *Ticket) Order() uint64 { return t.order }

// Grant notes the upstream whose slot was granted.
func (t *Ticket) Grant(vm comfreyvale.VM) {
	t.vm = vm
	t.granted = true
}

// Upstream is the upstream whose slot was granted, or false while the ticket waits.
func (t *Ticket) Upstream() (comfreyvale.VM, bool) { return t.vm, t.granted }
