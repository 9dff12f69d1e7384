// Package cvretrybudget is the budget of further tries of one service.
package cvretrybudget

import (
	"fmt"
	"time"
)

// Budget allows further tries as a share of calls: over any number of calls n, at most Share*n + Burst.
type Budget struct {
	// Share is how much of a further try each call earns.
	Share float64
	// Burst is how many further tries may be saved up; the budget starts full.
	Burst int

	started bool
	tokens  float64
}

// Begin counts the first try of a call.
func (r *Budget) Begin(time.Time) {
	r.start()
	r.tokens = min(r.tokens+r.Share, float64(r.Burst))
}

// Allow takes one further try from the budget, or returns false.
func (r *Budget) Allow(time.Time) bool {
	r.start()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Budget) start() {
	if !r.started {
		r.started = true
		r.tokens = float64(r.Burst)
	}
}

// String names the budget.
func (r *Budget) String() string {
	return fmt.Sprintf("budget of %.0f%%, burst %d", r.Share*100, r.Burst)
}
