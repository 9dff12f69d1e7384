// Package cvbudget bounds the further tries of one group of upstreams over a sliding window, for all balancers together:
// each takes a share that is safe whatever the others do.
package cvbudget

import "time"

// buckets is how many parts the window has; the sum runs over one more, so that any window of the length is covered.
const buckets = 20

// Budget counts requests and further tries. It is not safe for concurrent use.
type Budget struct {
	// Window is the length of the window.
	Window time.Duration
	// Ratio is how many further tries each request allows.
	Ratio float64
	// Slack is how many further tries the window allows on top, for all balancers together.
	Slack float64

	counts [buckets + 1]count
}

type count struct {
	number   int64
	requests int
	further  int
}

// Begin counts a request.
func (b *Budget) Begin(now time.Time) { b.bucket(now).requests++ }

// Allow takes one further try from the share of one among so many balancers, or returns false.
func (b *Budget) Allow(now time.Time, balancers int) bool {
	requests, further := b.sum(now)
	if float64(further+1) > b.Ratio*float64(requests)+b.Slack/float64(max(balancers, 1)) {
		return false
	}
	b.bucket(now).further++
	return true
}

// Spent is the part of the share that the window has used, from 0 to 1.
func (b *Budget) Spent(now time.Time, balancers int) float64 {
	requests, further := b.sum(now)
	return float64(further) / max(b.Ratio*float64(requests)+b.Slack/float64(max(balancers, 1)), 1)
}

func (b *Budget) number(now time.Time) int64 { return now.UnixNano() / int64(b.Window/buckets) }

func (b *Budget) bucket(now time.Time) *count {
	number := b.number(now)
	c := &b.counts[number%int64(len(b.counts))]
	if c.number != number {
		*c = count{number: number}
	}
	return c
}

func (b *Budget) sum(now time.Time) (requests, further int) {
	oldest := b.number(now) - buckets
	for _, c := range b.counts {
		if c.number >= oldest {
			further += c.further
		}
		// A request allows further tries only while it is surely inside each window that holds them.
		if c.number > oldest {
			requests += c.requests
		}
	}
	return requests, further
}
