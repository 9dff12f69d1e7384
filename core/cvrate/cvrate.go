// Package cvrate measures the rate of events.
package cvrate

import (
	"math"
	"time"
)

// timeConstant is the time constant of the exponential decay: long enough that a rate of a few events a second is
// steady, short enough to follow a load that moves.
const timeConstant = 5 * time.Second

// Rate is a decaying average of the rate of events. The zero value is a rate of 0. It is not safe for concurrent use.
type Rate struct {
	weight float64
	at     time.Time
}

// Add counts an event.
func (r *Rate) Add(now time.Time) {
	r.weight = r.weightAt(now) + 1
	r.at = now
}

// PerSecond returns the rate in events a second.
func (r *Rate) PerSecond(now time.Time) float64 { return r.weightAt(now) / timeConstant.Seconds() }

func (r *Rate) weightAt(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.weight * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(timeConstant))
}
