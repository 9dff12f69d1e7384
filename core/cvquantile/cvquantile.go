// Package cvquantile is a running quantile of recent latencies.
package cvquantile

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency  = 10 * time.Microsecond
	highestLatency = 5 * time.Minute
	// significantDigits is the precision of the recorded latencies.
	significantDigits = 2
	// windowTime is how long latencies are gathered before they count; they count for as long again.
	windowTime = 2 * time.Second
	// minSamples is how many latencies a window needs before its quantile means something.
	minSamples = 20
)

// Quantile keeps two windows of latencies: one that is filled and one that is read.
type Quantile struct {
	filling *hdrhistogram.Histogram
	reading *hdrhistogram.Histogram
	turn    time.Time
}

// New returns a quantile that has seen nothing.
func New() *Quantile {
	return &Quantile{filling: newHistogram(), reading: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
}

// Add takes in one latency.
func (q *Quantile) Add(now time.Time, latency time.Duration) {
	q.rotate(now)
	value := max(min(latency, highestLatency), lowestLatency)
	// The value is within the histogram's bounds, so that it is always taken.
	_ = q.filling.RecordValue(value.Microseconds())
}

// At returns the latency that a share of recent calls stayed below, or false when too few were seen.
func (q *Quantile) At(now time.Time, share float64) (time.Duration, bool) {
	q.rotate(now)
	h := q.reading
	if h.TotalCount() < minSamples {
		h = q.filling
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(share*100)) * time.Microsecond, true
}

func (q *Quantile) rotate(now time.Time) {
	if q.turn.IsZero() {
		q.turn = now
	}
	if now.Sub(q.turn) < windowTime {
		return
	}
	q.filling, q.reading = q.reading, q.filling
	q.filling.Reset()
	q.turn = now
}
