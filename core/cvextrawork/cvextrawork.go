// Package cvextrawork limits hedges to a share of the idempotent requests.
//
// The load it answers: machines that are slow for up to a third of the time, so that more requests could gain by a
// hedge than the operators accept. Each balancer goes by its own requests, so the shares of all add up to the limit.
package cvextrawork

import "time"

const (
	// window is the time over which hedges are compared with requests.
	window = 10 * time.Second
	// buckets is the number of parts in which a window is counted.
	buckets = 20
)

// Budget counts one balancer's idempotent requests to one group, and their hedges, over a sliding window. At the moment
// of each hedge, the hedges of the window are at most the share of its requests; so they are over any longer time too.
// It is not safe for concurrent use.
type Budget struct {
	// Share is how many hedges each request allows.
	Share float64

	origin time.Time
	counts [buckets]bucket
}

type bucket struct {
	number           int64
	requests, hedges int
}

// RecordRequest counts an idempotent request.
func (b *Budget) RecordRequest(now time.Time) { b.current(now).requests++ }

// RecordHedge counts a hedge. Call it only if one is left.
func (b *Budget) RecordHedge(now time.Time) { b.current(now).hedges++ }

// Left reports whether one more hedge is within the limit.
func (b *Budget) Left(now time.Time) bool {
	requests, hedges := b.totals(now)
	return float64(hedges+1) <= b.Share*float64(requests)
}

// Spent returns the hedges of the window as a share of its requests.
func (b *Budget) Spent(now time.Time) float64 {
	requests, hedges := b.totals(now)
	return float64(hedges) / float64(max(requests, 1))
}

func (b *Budget) totals(now time.Time) (requests, hedges int) {
	last := b.current(now).number
	for _, c := range b.counts {
		if c.number > last-buckets {
			requests += c.requests
			hedges += c.hedges
		}
	}
	return requests, hedges
}

// current returns the bucket of a time. Numbers start at one whole window, so that unused buckets, whose number is 0,
// are in none.
func (b *Budget) current(now time.Time) *bucket {
	if b.origin.IsZero() {
		b.origin = now
	}
	number := int64(now.Sub(b.origin)/(window/buckets)) + buckets
	c := &b.counts[number%buckets]
	if c.number != number {
		*c = bucket{number: number}
	}
	return c
}
