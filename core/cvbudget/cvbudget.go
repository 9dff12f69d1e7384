// Package cvbudget bounds the further tries of one group of upstreams over a sliding window, for all balancers together:
// each takes a share that is safe whatever the others do.
package cvbudget

import "time"

// buckets is how many parts a window has.
const buckets = 20

// kept is how many parts are remembered: those of a window of tries, and of the window of requests before it.
const kept = 2*buckets + 1

// Budget counts requests and further tries. It is not safe for concurrent use.
type Budget struct {
	// Window is the length of the window.
	Window time.Duration
	// Ratio is how many further tries each request of the window before allows.
	Ratio float64
	// Slack is how many further tries a window allows on top, for all balancers together.
	Slack float64

	origin time.Time
	counts [kept]count
}

// count is what one part of a window saw.
type count struct {
	number   int64
	requests int
	further  int
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) { b.bucket(now).requests++ }

// Allow takes one further try from the share of one among so many balancers, or returns false.
func (b *Budget) Allow(now time.Time, balancers int) bool {
	if b.left(now, balancers) < 1 {
		return false
	}
	b.bucket(now).further++
	return true
}

// UsedShare is the part of the share that is used, from 0 to 1.
func (b *Budget) UsedShare(now time.Time, balancers int) float64 {
	left := b.left(now, balancers)
	if left < 1 {
		return 1
	}
	further := 0
	for part := b.number(now) - buckets; part <= b.number(now); part++ {
		further += b.at(part).further
	}
	return float64(further) / (float64(further) + left)
}

// left is how many further tries no window forbids: each window that ends now has the tries since its start, and is
// allowed them by the requests of the window before. Every balancer goes by the same windows, so that the shares add up.
func (b *Budget) left(now time.Time, balancers int) float64 {
	last := b.number(now)
	slack := b.Slack / float64(max(balancers, 1))
	further, least := 0, 0.0
	for part := last; part > last-buckets; part-- {
		further += b.at(part).further
		allowed := b.Ratio*float64(b.requests(part-buckets+1, part)) + slack - float64(further)
		if part == last || allowed < least {
			least = allowed
		}
	}
	return least
}

// requests counts those of the parts from one up to, but not including, another.
func (b *Budget) requests(from, to int64) int {
	total := 0
	for part := from; part < to; part++ {
		total += b.at(part).requests
	}
	return total
}

// number is the part of a window that a time belongs to. It counts from the first time seen by the steady clock, so that
// steps of the time of day change nothing; numbers begin where no window reaches back to the unused counts' 0.
func (b *Budget) number(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin)/(b.Window/buckets)) + kept
}

// at returns the counts of a part, empty if it is not remembered.
func (b *Budget) at(number int64) count {
	if c := b.counts[number%kept]; c.number == number {
		return c
	}
	return count{}
}

func (b *Budget) bucket(now time.Time) *count {
	number := b.number(now)
	c := &b.counts[number%kept]
	if c.number != number {
		*c = count{number: number}
	}
	return c
}
