// Package cvquota decides whether a workspace may send another request.
//
// The load it handles: a workspace sends up to 1,500 requests a second, 7.5 times its usual rate, through up to 300
// balancers, and each of them decides at once, while the counts of the others are 20 to 300 ms old. The bucket of one
// balancer estimates what is left for all of them. Where all demand exceeds what the bucket gives, each balancer admits
// the same part of its own requests, so that what they admit before they hear of each other stays small.
package cvquota

import "time"

const (
	// drainAges is the time over which what is above the reserve is paid out while demand exceeds the rate, in mean ages of
	// the others' counts. Payment within one age makes the level overshoot and oscillate. It is bounded by minDrainTime and
	// maxDrainTime.
	drainAges    = 4
	minDrainTime = 100 * time.Millisecond
	maxDrainTime = 600 * time.Millisecond
	// reserveShare is the part of the bucket that is not paid out then, for what others have admitted unseen. It is less
	// than what tolerances usually add to a bucket.
	reserveShare = 0.04
	// silentReserveShare replaces reserveShare while a balancer is silent, which may have admitted requests before it was
	// noticed.
	silentReserveShare = 0.2
	// maxPass bounds the admissions that a balancer with few requests saves up while only a part is admitted.
	maxPass = 2
	// initialPass makes the first requests of many balancers add up to the right part on average.
	initialPass = 0.5
	// maxRetryAfter bounds the time after which callers are asked to come back: demand may have changed by then.
	maxRetryAfter = 3 * time.Second
	// minShare is the least share of this balancer in the demand that counts for it.
	minShare = 1e-6
	// minRetryAfter keeps callers that come back at once from being refused again.
	minRetryAfter = 10 * time.Millisecond
)

// Quota is the bucket of one workspace. Its times are those of any steady clock. It is not safe for concurrent use.
type Quota struct {
	rate, size float64
	// spare is added to the rate while no balancer is silent.
	spare float64
	// level is what is left, in requests; it is below zero if more was admitted than the quota allows.
	level float64
	at    time.Duration
	// fill is the part of the rate that this balancer and those it hears may use.
	fill float64
	// withheld is the part of the bucket that is kept for balancers that are not heard.
	withheld float64
	// pass is the fraction of an admission that is left over from requests of which only a part was admitted.
	pass float64
	// returnAt is when the caller that was refused last was asked to come back.
	returnAt time.Duration
}

// New returns an empty bucket that does not fill.
func New(now time.Duration, rate, spare, size float64) Quota {
	return Quota{rate: rate, spare: spare, size: size, at: now, pass: initialPass}
}

// SetLimit changes the rate, in requests a second, what is added to it while all balancers are heard, and the size of the
// bucket. What was used of a larger bucket stays used; a level above a smaller one is cut.
func (q *Quota) SetLimit(now time.Duration, rate, spare, size float64) {
	q.advance(now)
	q.level = min(q.level+max(size-q.size, 0), size)
	q.rate, q.spare, q.size = rate, spare, size
}

// SetFill sets the part of the rate by which the bucket fills.
func (q *Quota) SetFill(now time.Duration, part float64) {
	q.advance(now)
	q.fill = part
}

// SetLevel sets the level, at most to the size of the bucket.
func (q *Quota) SetLevel(now time.Duration, level float64) {
	q.advance(now)
	q.level = min(level, q.size)
}

// Fill fills the bucket.
func (q *Quota) Fill(now time.Duration) { q.SetLevel(now, q.size) }

// Add adds requests to the level, or subtracts those that others admitted.
func (q *Quota) Add(now time.Duration, requests float64) {
	q.advance(now)
	q.level = min(q.level+requests, q.limit())
}

// Withhold keeps a part of the bucket and of its rate for a balancer that is not heard. It returns the part of the level
// that was taken for it.
func (q *Quota) Withhold(now time.Duration, part float64) (taken float64) {
	q.advance(now)
	if left := 1 - q.withheld; left > 0 {
		taken = max(q.level, 0) * min(part/left, 1)
	}
	q.level -= taken
	q.withheld += part
	return taken
}

// Release ends a Withhold and returns to the bucket what the balancer has not used.
func (q *Quota) Release(now time.Duration, part, unused float64) {
	q.advance(now)
	q.withheld = max(q.withheld-part, 0)
	q.level = min(q.level+unused, q.limit())
}

// limit returns the size of the part of the bucket that is not withheld.
func (q *Quota) limit() float64 { return q.size * max(1-q.withheld, 0) }

// filling returns the rate by which the bucket fills.
func (q *Quota) filling() float64 {
	rate := q.rate
	if !q.anySilent() {
		rate += q.spare
	}
	return rate * q.fill * max(1-q.withheld, 0)
}

// anySilent reports whether anything is withheld, apart from rounding.
func (q *Quota) anySilent() bool {
	const rounding = 1e-9
	return q.withheld > rounding
}

func (q *Quota) advance(now time.Duration) {
	if now > q.at {
		q.level = min(q.level+q.filling()*(now-q.at).Seconds(), max(q.limit(), q.level))
		q.at = now
	}
}

// Level returns what is left, in requests.
func (q *Quota) Level(now time.Duration) float64 {
	q.advance(now)
	return q.level
}

// Rate returns the rate of the bucket with nothing withheld, in requests a second.
func (q *Quota) Rate() float64 { return q.rate }

// Withheld returns the part of the bucket that is kept for balancers that are not heard.
func (q *Quota) Withheld() float64 { return q.withheld }

// Take takes a request off the bucket, or returns false and when its caller should come back. own and total are the
// rates of the requests that arrive at this balancer and at all that are heard, and unseen is the number of requests that
// others have probably admitted since they were last heard, age ago on average.
func (q *Quota) Take(now time.Duration, own, total, unseen float64, age time.Duration) (retryAfter time.Duration, ok bool) {
	q.advance(now)
	available := q.level - unseen
	drain := min(max(drainAges*age, minDrainTime), maxDrainTime).Seconds()
	part := q.part(total, available, drain)
	if part < 1 {
		q.pass = min(q.pass+max(part, 0), maxPass)
	}
	if available < 1 || part < 1 && q.pass < 1 {
		// All requests are admitted at the level at which the bucket gives as much as all demand.
		needed := max(1, q.reserve()+drain*(total-q.filling()))
		return q.retryAfter(now, own, total, needed-available), false
	}
	if part < 1 {
		q.pass--
	}
	q.level--
	return 0, true
}

// part returns the part of all requests that the bucket can admit, 1 or more if all.
func (q *Quota) part(total, available, drain float64) float64 {
	if total <= 0 {
		return 1
	}
	return (q.filling() + (available-q.reserve())/drain) / total
}

// reserve returns what is not paid out while demand exceeds the rate.
func (q *Quota) reserve() float64 {
	if q.anySilent() {
		return silentReserveShare * q.limit()
	}
	return reserveShare * q.limit()
}

// retryAfter returns when the missing requests will have been filled. It spreads the callers that are refused in the same
// moment by this balancer's part of the rate.
func (q *Quota) retryAfter(now time.Duration, own, total, missing float64) time.Duration {
	filling := q.filling()
	if filling <= 0 {
		return maxRetryAfter
	}
	limit := now + maxRetryAfter
	earliest := now + seconds(missing/filling)
	share := 1.0
	if total > 0 {
		share = min(max(own/total, minShare), 1)
	}
	q.returnAt = min(max(q.returnAt+seconds(1/(filling*share)), earliest), limit)
	return max(q.returnAt-now, minRetryAfter)
}

// seconds converts a number of seconds, bounded by maxRetryAfter on both sides.
func seconds(s float64) time.Duration {
	bound := maxRetryAfter.Seconds()
	return time.Duration(min(max(s, -bound), bound) * float64(time.Second))
}
