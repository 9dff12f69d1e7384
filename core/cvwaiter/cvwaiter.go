// Package cvwaiter is one request that waits for an upstream's slot, and what it got.
package cvwaiter

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequirements"
)

// Waiter is a request on its way to a slot.
type Waiter struct {
	need     cvrequirements.Requirements
	entered  time.Time
	began    time.Time
	instance *cvinstance.Instance
}

// New returns a request that entered at a time.
func New(now time.Time, need cvrequirements.Requirements) *Waiter {
	return &Waiter{need: need, entered: now}
}

// Grant gives the request a slot of an upstream.
func (w *Waiter) Grant(now time.Time, instance *cvinstance.Instance) {
	w.began = now
	w.instance = instance
}

// Need is what the request asks for.
func (w *Waiter) Need() cvrequirements.Requirements { return w.need }

// EnteredAt is when the request began to wait.
func (w *Waiter) EnteredAt() time.Time { return w.entered }

// GrantedAt is when the request got its slot.
func (w *Waiter) GrantedAt() time.Time { return w.began }

// Instance is the upstream whose slot the request got, or nil.
func (w *Waiter) Instance() *cvinstance.Instance { return w.instance }
