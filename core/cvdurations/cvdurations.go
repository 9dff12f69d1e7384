// Package cvdurations keeps the distribution of the durations of a route's recent attempts, which the balancers of a
// data centre build together.
//
// The load it answers: up to 118 balancers, of which each sees as few as four requests a second. One alone has too few
// attempts for a quantile during its first seconds; together they have enough within two. What they tell each other
// are counts of logarithmic buckets, which can be added up.
package cvdurations

import (
	"math"
	"time"
)

const (
	// lowest is the lower bound of the first bucket; shorter durations count there.
	lowest = time.Millisecond
	// bucketsPerDoubling is the number of buckets from one duration to twice that duration: a bucket is 9% wide.
	bucketsPerDoubling = 8
	// bucketCount extends the buckets to 65 s; longer durations count in the last one.
	bucketCount = 16 * bucketsPerDoubling
	// minWindow is how long a window is filled at least.
	minWindow = 2 * time.Second
	// maxWindow is how long a window is filled at most, even if it holds fewer than minSamples durations.
	maxWindow = 30 * time.Second
	// minSamples is the number of durations below which a quantile is not meaningful.
	minSamples = 20
	// maxMerged bounds a count of one bucket in a message, far above what a balancer sends in the time of a message, so
	// that a faulty message cannot outweigh all others for long.
	maxMerged = 10_000
)

// Distribution is the distribution of one route: a window of durations that is being filled, and the one before. It is
// not safe for concurrent use.
type Distribution struct {
	filling, previous window
	startedAt         time.Time
	updatedAt         time.Time
	// unreported holds this balancer's own counts that were not told to the others yet.
	unreported map[uint32]uint32
}

type window struct {
	counts [bucketCount]float64
	total  float64
}

func (w *window) add(bucket uint32, count float64) {
	w.counts[bucket] += count
	w.total += count
}

// Record adds an attempt of this balancer.
func (d *Distribution) Record(now time.Time, duration time.Duration) {
	d.rotate(now)
	bucket := bucketOf(duration)
	d.filling.add(bucket, 1)
	d.updatedAt = now
	if d.unreported == nil {
		d.unreported = make(map[uint32]uint32)
	}
	d.unreported[bucket]++
}

// TakeUnreported returns the numbers of the buckets of this balancer's own attempts since the last call, and their counts.
func (d *Distribution) TakeUnreported() (buckets, counts []uint32) {
	for b := range uint32(bucketCount) {
		if count := d.unreported[b]; count > 0 {
			buckets, counts = append(buckets, b), append(counts, count)
		}
	}
	clear(d.unreported)
	return buckets, counts
}

// Merge adds attempts of another balancer, as its TakeUnreported returned them. Buckets that do not exist are ignored, and
// so are lists that differ in length.
func (d *Distribution) Merge(now time.Time, buckets, counts []uint32) {
	if len(buckets) != len(counts) {
		return
	}
	d.rotate(now)
	for n, b := range buckets {
		if b < bucketCount {
			d.filling.add(b, float64(min(counts[n], maxMerged)))
			d.updatedAt = now
		}
	}
}

// Quantile returns the duration that a share of the recent attempts, from 0 to 1, does not exceed. It returns false if
// there are too few attempts.
func (d *Distribution) Quantile(now time.Time, share float64) (time.Duration, bool) {
	d.rotate(now)
	if d.total() < minSamples {
		return 0, false
	}
	rank := share * d.total()
	for b := range uint32(bucketCount) {
		count := d.count(b)
		if count > 0 && rank <= count {
			return durationAt(float64(b) + max(rank, 0)/count), true
		}
		rank -= count
	}
	return durationAt(bucketCount), true
}

// LongerShare returns the share of the recent attempts that took longer than a duration, or 0 if there are too few.
func (d *Distribution) LongerShare(now time.Time, duration time.Duration) float64 {
	d.rotate(now)
	if d.total() < minSamples {
		return 0
	}
	position := positionOf(duration)
	bucket := uint32(position)
	longer := d.count(bucket) * (1 - (position - float64(bucket)))
	for b := bucket + 1; b < bucketCount; b++ {
		longer += d.count(b)
	}
	return longer / d.total()
}

// Size returns the number of recent attempts.
func (d *Distribution) Size(now time.Time) int {
	d.rotate(now)
	return int(d.total())
}

// UpdatedAt returns when an attempt was last added, or the zero time.
func (d *Distribution) UpdatedAt() time.Time { return d.updatedAt }

func (d *Distribution) count(bucket uint32) float64 {
	return d.filling.counts[bucket] + d.previous.counts[bucket]
}

func (d *Distribution) total() float64 { return d.filling.total + d.previous.total }

// rotate begins a new window when the one that is being filled is complete.
func (d *Distribution) rotate(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	filled := now.Sub(d.startedAt)
	if filled < minWindow || filled < maxWindow && d.filling.total < minSamples {
		return
	}
	d.previous, d.filling = d.filling, window{}
	if filled >= 2*maxWindow {
		d.previous = window{}
	}
	d.startedAt = now
}

func bucketOf(duration time.Duration) uint32 { return uint32(positionOf(duration)) }

// positionOf returns the number of a duration's bucket, with the position within it as the fraction.
func positionOf(duration time.Duration) float64 {
	if duration <= lowest {
		return 0
	}
	position := math.Log2(float64(duration)/float64(lowest)) * bucketsPerDoubling
	return min(position, math.Nextafter(bucketCount, 0))
}

// durationAt returns the duration at a position.
func durationAt(position float64) time.Duration {
	return time.Duration(float64(lowest) * math.Exp2(position/bucketsPerDoubling))
}
