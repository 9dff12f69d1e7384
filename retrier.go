package comfreyvale

import "time"

// Retrier limits retries and hedges by a budget.
type Retrier interface {
	// Begin counts the first attempt of a request.
	Begin(now time.Time)
	// Allow takes one retry or hedge from the budget. It returns false if the budget is exhausted.
	Allow(now time.Time) bool
	// String returns the name of the implementation.
	String() string
}
