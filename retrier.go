package comfreyvale

import "time"

// Retrier decides whether one more try of a call may be sent.
type Retrier interface {
	// Begin counts the first try of a call.
	Begin(now time.Time)
	// Allow takes one further try from the budget, or returns false.
	Allow(now time.Time) bool
	// String names the implementation.
	String() string
}
