package comfreyvale

import "time"

// Retrier limits retries and hedges by a budget: it decides whether an extra attempt of a request may be sent.
type Retrier interface {
	// Begin counts the first attempt of a request.
	Begin(now time.Time)
	// Allow takes one extra attempt from the budget. It returns false if the budget is exhausted.
	Allow(now time.Time) bool
	// String returns the name of the implementation.
	String() string
}
