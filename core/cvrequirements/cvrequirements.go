// Package cvrequirements defines what a request requires of the selection of its upstream.
package cvrequirements

import "time"

// Requirements holds the requirements of a request that waits for an upstream. It is immutable.
type Requirements struct {
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
func New(target, deadline time.Time, priority int, large bool) Requirements {
	return Requirements{target: target, deadline: deadline, priority: priority, large: large}
}

// WithServiceTime returns a copy with the usual service time of such a request, 0 if it is not known.
func (n Requirements) WithServiceTime(work time.Duration) Requirements {
	n.work = work
	return n
}

// ServiceTime returns the usual service time of such a request, 0 if it is not known.
func (n Requirements) ServiceTime() time.Duration { return n.work }

// WithTurn returns a copy that sets whether the request may take a slot only in its balancer's turn, because requests
// of other balancers are waiting too.
func (n Requirements) WithTurn(inTurn bool) Requirements {
	n.inTurn = inTurn
	return n
}

// InTurn reports whether the request may take a slot only in its balancer's turn.
func (n Requirements) InTurn() bool { return n.inTurn }

// WithAvoid returns a copy with the IDs of the upstreams to which the request must not be sent.
func (n Requirements) WithAvoid(avoid []string) Requirements {
	n.avoid = avoid
	return n
}

// Large reports whether a large answer is expected.
func (n Requirements) Large() bool { return n.large }

// Priority returns the priority of the request; 0 is the most urgent.
func (n Requirements) Priority() int { return n.priority }

// Target returns the time until which an answer is on time.
func (n Requirements) Target() time.Time { return n.target }

// Deadline returns the time after which an answer is useless.
func (n Requirements) Deadline() time.Time { return n.deadline }

// Avoid returns the IDs of the upstreams to which the request must not be sent.
func (n Requirements) Avoid() []string { return n.avoid }
