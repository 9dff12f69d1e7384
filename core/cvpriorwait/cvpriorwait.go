// Package cvpriorwait is the decision how much of its time a request's caller has spent before the request came. It answers
// a load of callers that were refused and come back: their answers are due sooner than those of callers that ask first.
package cvpriorwait

import (
	"time"

	"comfreyvale/core/cvquantile"
)

const (
	// usualShare is the quantile of the times that callers give which counts as usual: more than half of the requests of a
	// route are first tries.
	usualShare = 0.5
	// spread is the part of the usual time that callers' first tries give at least; they differ in their patience and in
	// the time that opening a connection took.
	spread = 0.9
)

// Estimator keeps the times that the callers of one route give their requests.
type Estimator struct {
	given *cvquantile.Quantile
}

// New returns a patience that has seen no caller.
func New() *Estimator { return &Estimator{given: cvquantile.New()} }

// Observe takes in the time that a request's caller gives, and returns how much of it was gone at least when the request came.
func (p *Estimator) Observe(now time.Time, given time.Duration) time.Duration {
	p.given.Add(now, given)
	usual, ok := p.given.At(now, usualShare)
	if !ok {
		return 0
	}
	return max(time.Duration(spread*float64(usual))-given, 0)
}
