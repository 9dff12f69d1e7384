// Package cvretrybudget implements the budget of extra attempts (retries and hedges) of one service.
package cvretrybudget

import (
	"fmt"
	"time"
)

// Budget allows extra attempts as a share of calls: for n calls, at most Share*n + Burst. It is not safe for
// concurrent use.
type Budget struct {
	// Share is the fraction of an extra attempt that each call adds to the budget.
	Share float64
	// Burst is the maximum number of extra attempts in the budget; the budget starts full.
	Burst int

	filled bool
	tokens float64
}

// Begin counts the first attempt of a call.
func (r *Budget) Begin(time.Time) {
	r.fill()
	r.tokens = min(r.tokens+r.Share, float64(r.Burst))
}

// Allow takes one extra attempt from the budget. It returns false if none is left.
func (r *Budget) Allow(time.Time) bool {
	r.fill()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Budget) fill() {
	if !r.filled {
		r.filled = true
		r.tokens = float64(r.Burst)
	}
}

// String describes the budget.
func (r *Budget) String() string {
	return fmt.Sprintf("budget of %.0f%%, burst %d", r.Share*100, r.Burst)
}
