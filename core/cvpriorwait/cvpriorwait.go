// Package cvpriorwait estimates how much of its time limit a caller had spent before its request arrived.
package cvpriorwait

import (
	"time"

	"comfreyvale/core/cvquantile"
)

const (
	// typicalQuantile is the quantile of the remaining times that counts as typical: more than half of a route's
	// requests are first attempts.
	typicalQuantile = 0.5
	// minTypicalFraction is the least fraction of the typical remaining time that a first attempt has. Callers differ
	// in their timeouts and in the time that they took to open a connection.
	minTypicalFraction = 0.9
)

// Estimator records the remaining times that the callers of one route give their requests. A caller that retries after
// a refusal has less time left than at its first attempt, so its answer is due sooner. Estimator is not safe for
// concurrent use.
type Estimator struct {
	timeouts *cvquantile.Quantile
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{timeouts: cvquantile.New()} }

// Observe records the remaining time that a caller gives its request. It returns a lower bound of the time spent before
// the request arrived, or 0 while there are too few samples.
func (e *Estimator) Observe(now time.Time, timeout time.Duration) time.Duration {
	e.timeouts.Add(now, timeout)
	typical, ok := e.timeouts.At(now, typicalQuantile)
	if !ok {
		return 0
	}
	return max(time.Duration(minTypicalFraction*float64(typical))-timeout, 0)
}
