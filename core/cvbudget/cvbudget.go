// Package cvbudget limits the extra attempts (retries and hedges) to one group of upstreams over a sliding window.
package cvbudget

import "time"

const windowBuckets = 20

// keptBuckets covers a window of extra attempts and the window of requests before it.
const keptBuckets = 2*windowBuckets + 1

// Budget counts one balancer's requests and extra attempts. Each balancer uses only its share, so that all together
// stay within the limit. It is not safe for concurrent use.
type Budget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is how many extra attempts each request of the preceding window allows.
	Ratio float64
	// Slack is how many extra attempts a window allows in addition, for all balancers together.
	Slack float64

	origin  time.Time
	buckets [keptBuckets]bucket
}

type bucket struct {
	number   int64
	requests int
	extra    int
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) { b.currentBucket(now).requests++ }

// Allow takes one extra attempt from this balancer's share. It returns false if none is left. balancers is the number
// of all balancers.
func (b *Budget) Allow(now time.Time, balancers int) bool {
	if b.remaining(now, balancers) < 1 {
		return false
	}
	b.currentBucket(now).extra++
	return true
}

// UsedShare returns the used fraction of this balancer's share, from 0 to 1.
func (b *Budget) UsedShare(now time.Time, balancers int) float64 {
	remaining := b.remaining(now, balancers)
	if remaining < 1 {
		return 1
	}
	extra := 0
	for n := b.bucketNumber(now) - windowBuckets; n <= b.bucketNumber(now); n++ {
		extra += b.bucketAt(n).extra
	}
	return float64(extra) / (float64(extra) + remaining)
}

// remaining returns how many extra attempts are still permitted in every window that contains the current bucket. A
// window permits Ratio attempts for each request of the window before it, plus the slack. Each balancer counts the
// requests that it received and an equal part of the slack, so that the shares add up to the budget.
func (b *Budget) remaining(now time.Time, balancers int) float64 {
	last := b.bucketNumber(now)
	slack := b.Slack / float64(max(balancers, 1))
	extra, least := 0, 0.0
	for n := last; n > last-windowBuckets; n-- {
		extra += b.bucketAt(n).extra
		allowed := b.Ratio*float64(b.requests(n-windowBuckets+1, n)) + slack - float64(extra)
		if n == last || allowed < least {
			least = allowed
		}
	}
	return least
}

// requests returns the number of requests in the buckets with the numbers [from, to).
func (b *Budget) requests(from, to int64) int {
	total := 0
	for n := from; n < to; n++ {
		total += b.bucketAt(n).requests
	}
	return total
}

// bucketNumber returns the number of the bucket for a time. It uses the monotonic clock from the first time seen, so
// that changes of the wall clock have no effect. Numbers start at keptBuckets, so that no window reaches the number 0
// of unused buckets.
func (b *Budget) bucketNumber(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin)/(b.Window/windowBuckets)) + keptBuckets
}

// bucketAt returns the bucket with a number, or an empty one if it is no longer kept.
func (b *Budget) bucketAt(number int64) bucket {
	if c := b.buckets[number%keptBuckets]; c.number == number {
		return c
	}
	return bucket{}
}

func (b *Budget) currentBucket(now time.Time) *bucket {
	number := b.bucketNumber(now)
	c := &b.buckets[number%keptBuckets]
	if c.number != number {
		*c = bucket{number: number}
	}
	return c
}
