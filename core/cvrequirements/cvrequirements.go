// Package cvrequirements is what one request asks of the choice of its upstream.
package cvrequirements

import "time"

// Requirements describes a request that waits for an upstream.
type Requirements struct {
	large    bool
	priority int
	target   time.Time
	deadline time.Time
	work     time.Duration
	avoid    []string
	inTurn   bool
}

// New returns the need of a request that is on time until target and useless after deadline.
func New(target, deadline time.Time, priority int, large bool) Requirements {
	return Requirements{target: target, deadline: deadline, priority: priority, large: large}
}

// WithServiceTime returns the need with the time that an upstream usually takes for such a request, 0 if it is not known.
func (n Requirements) WithServiceTime(work time.Duration) Requirements {
	n.work = work
	return n
}

// ServiceTime is the time that an upstream usually takes for such a request, 0 if it is not known.
func (n Requirements) ServiceTime() time.Duration { return n.work }

// WithTurn returns the need of a request that takes a slot only when it is its balancer's turn, as others wait too.
func (n Requirements) WithTurn(inTurn bool) Requirements {
	n.inTurn = inTurn
	return n
}

// InTurn says that the request takes a slot only when it is its balancer's turn.
func (n Requirements) InTurn() bool { return n.inTurn }

// WithAvoid returns the need with the upstreams that the request must not be sent to.
func (n Requirements) WithAvoid(avoid []string) Requirements {
	n.avoid = avoid
	return n
}

// Large says that the answer is big.
func (n Requirements) Large() bool { return n.large }

// Priority is the request's rank; 0 is the most urgent.
func (n Requirements) Priority() int { return n.priority }

// Target is until when an answer is on time.
func (n Requirements) Target() time.Time { return n.target }

// Deadline is until when an answer is of any use.
func (n Requirements) Deadline() time.Time { return n.deadline }

// Avoid are the ids of upstreams that the request must not be sent to.
func (n Requirements) Avoid() []string { return n.avoid }
