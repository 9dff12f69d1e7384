// Package cvwaiter defines the queue entry of one request that needs an upstream slot.
package cvwaiter

import (
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequirements"
)

// Waiter is a request that waits for a slot or has one. It is not safe for concurrent use.
type Waiter struct {
	need      cvrequirements.Requirements
	enteredAt time.Time
	grantedAt time.Time
	instance  *cvinstance.Instance
	heldBack  string
}

// New returns a Waiter for a request that enters now.
func New(now time.Time, need cvrequirements.Requirements) *Waiter {
	return &Waiter{need: need, enteredAt: now}
}

// Grant assigns a slot of an upstream to the request. heldBack is the upstream that would have been preferred but for
// its request limit, or "".
func (w *Waiter) Grant(now time.Time, instance *cvinstance.Instance, heldBack string) {
	w.grantedAt = now
	w.instance = instance
	w.heldBack = heldBack
}

// Need returns the requirements of the request.
func (w *Waiter) Need() cvrequirements.Requirements { return w.need }

// EnteredAt returns the time at which the request began to wait.
func (w *Waiter) EnteredAt() time.Time { return w.enteredAt }

// GrantedAt returns the time at which the request got its slot, or the zero time.
func (w *Waiter) GrantedAt() time.Time { return w.grantedAt }

// Instance returns the upstream whose slot the request got, or nil.
func (w *Waiter) Instance() *cvinstance.Instance { return w.instance }

// HeldBack returns the upstream that would have been preferred but for its request limit, or "".
func (w *Waiter) HeldBack() string { return w.heldBack }
