// Package cvretrybudget implements the budget of extra attempts (retries and hedges) of one service.
package cvretrybudget

import (
	"fmt"
	"time"
)

// Budget allows extra attempts as a share of calls: for n calls, at most Share*n + Burst. It is not safe for
// concurrent use.
type Budget struct {
	// Share is the part of an extra attempt that each call adds to the budget, from 0 to 1.
	Share float64
	// Burst is the maximum number of extra attempts in the budget; the budget starts full.
	Burst int

	filled bool
	tokens float64
}

// Begin counts the first attempt of a call.
func (b *Budget) Begin(time.Time) {
	b.fill()
	b.tokens = min(b.tokens+b.Share, float64(b.Burst))
}

// Allow takes one extra attempt from the budget. It returns false if none is left.
func (b *Budget) Allow(time.Time) bool {
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill() {
	if !b.filled {
		b.filled = true
		b.tokens = float64(b.Burst)
	}
}

// String describes the budget.
func (b *Budget) String() string {
	return fmt.Sprintf("budget of %.0f%%, burst %d", b.Share*100, b.Burst)
}
