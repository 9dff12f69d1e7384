// Package cvupstreamstate defines what balancers tell each other about an upstream.
package cvupstreamstate

import (
	"math"
	"time"
)

// unknownAge is the age of a value that was never reported.
const unknownAge = time.Duration(math.MaxInt64)

// State is the state of an upstream as one balancer or one data centre knows it. It is immutable.
type State struct {
	inFlight    int
	load        int
	loadAge     time.Duration
	slowness    float64
	slownessAge time.Duration
}

// New returns a state with a number of in-flight attempts, and without reports.
func New(inFlight int) State {
	return State{inFlight: inFlight, loadAge: unknownAge, slownessAge: unknownAge}
}

// WithLoad returns a copy with a load that was reported the given time ago.
func (s State) WithLoad(load int, age time.Duration) State {
	s.load, s.loadAge = load, age
	return s
}

// WithSlowness returns a copy with a slowness that was reported the given time ago.
func (s State) WithSlowness(slowness float64, age time.Duration) State {
	s.slowness, s.slownessAge = slowness, age
	return s
}

// InFlight returns the in-flight attempts of the balancer or data centre that the state comes from.
func (s State) InFlight() int { return s.inFlight }

// HasLoad reports whether a load was reported.
func (s State) HasLoad() bool { return s.loadAge != unknownAge }

// HasSlowness reports whether a slowness was reported.
func (s State) HasSlowness() bool { return s.slownessAge != unknownAge }

// Load returns the in-flight requests of all balancers by the last load report.
func (s State) Load() int { return s.load }

// LoadAge returns the age of the load. It is longer than any real age if no load was reported.
func (s State) LoadAge() time.Duration { return s.loadAge }

// Slowness returns how many times as long as at normal speed work takes on the upstream's machine.
func (s State) Slowness() float64 { return s.slowness }

// SlownessAge returns the age of the slowness. It is longer than any real age if no slowness was reported.
func (s State) SlownessAge() time.Duration { return s.slownessAge }
