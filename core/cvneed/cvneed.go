// Package cvneed defines what a request requires of the selection of its upstream.
package cvneed

import "time"

// Need holds the requirements of a request that waits for an upstream. It is immutable.
type Need struct {
	large    bool
	priority int
	target   time.Time
	deadline time.Time
	work     time.Duration
	avoid    []string
	inTurn   bool
}

// New returns the requirements of a request whose answer is on time until target and useless after deadline. Priority 0
// is the most urgent; large is set if a large answer is expected.
func New(target, deadline time.Time, priority int, large bool) Need {
	return Need{target: target, deadline: deadline, priority: priority, large: large}
}

// WithWork returns a copy with the usual service time of such a request, 0 if it is not known.
func (n Need) WithWork(work time.Duration) Need {
	n.work = work
	return n
}

// Work returns the usual service time of such a request, 0 if it is not known.
func (n Need) Work() time.Duration { return n.work }

// WithTurn returns a copy that sets whether the request may take a slot only in its balancer's turn, because requests
// of other balancers are waiting too.
func (n Need) WithTurn(inTurn bool) Need {
	n.inTurn = inTurn
	return n
}

// InTurn reports whether the request may take a slot only in its balancer's turn.
func (n Need) InTurn() bool { return n.inTurn }

// WithAvoid returns a copy with the IDs of the upstreams to which the request must not be sent.
func (n Need) WithAvoid(avoid []string) Need {
	n.avoid = avoid
	return n
}

// Large reports whether a large answer is expected.
func (n Need) Large() bool { return n.large }

// Priority returns the priority of the request; 0 is the most urgent.
func (n Need) Priority() int { return n.priority }

// Target returns the time until which an answer is on time.
func (n Need) Target() time.Time { return n.target }

// Deadline returns the time after which an answer is useless.
func (n Need) Deadline() time.Time { return n.deadline }

// Avoid returns the IDs of the upstreams to which the request must not be sent.
func (n Need) Avoid() []string { return n.avoid }
