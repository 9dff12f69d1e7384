// Package cvquantile provides quantiles of recent latencies.
package cvquantile

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestLatency and highestLatency are the bounds to which latencies are clamped.
	lowestLatency     = 10 * time.Microsecond
	highestLatency    = 5 * time.Minute
	significantDigits = 2
	// minWindow is how long a window is filled at least; it is then read until the next one is filled.
	minWindow = 2 * time.Second
	// maxWindow is how long a window is filled at most, even if it holds fewer than minSamples latencies.
	maxWindow = 30 * time.Second
	// minSamples is the number of latencies below which a window's quantile is not meaningful.
	minSamples = 20
)

// Quantile holds two windows of latencies: one is filled while the other is read. It is not safe for concurrent use.
type Quantile struct {
	// filling records new latencies; reading holds those of the previous window.
	filling   *hdrhistogram.Histogram
	reading   *hdrhistogram.Histogram
	swappedAt time.Time
}

// New returns a Quantile without latencies.
func New() *Quantile {
	return &Quantile{filling: newHistogram(), reading: newHistogram()}
}

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
}

// Add records a latency.
func (q *Quantile) Add(now time.Time, latency time.Duration) {
	q.rotate(now)
	value := max(min(latency, highestLatency), lowestLatency)
	// RecordValue fails only for values outside the histogram's bounds.
	_ = q.filling.RecordValue(value.Microseconds())
}

// At returns the latency that a share of the recent latencies, from 0 to 1, does not exceed. It returns false if
// neither window holds minSamples latencies.
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
	if q.swappedAt.IsZero() {
		q.swappedAt = now
	}
	filled := now.Sub(q.swappedAt)
	if filled < minWindow || filled < maxWindow && q.filling.TotalCount() < minSamples {
		return
	}
	q.filling, q.reading = q.reading, q.filling
	q.filling.Reset()
	if filled >= 2*maxWindow {
		q.reading.Reset()
	}
	q.swappedAt = now
}
