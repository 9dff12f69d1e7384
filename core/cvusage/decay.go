package cvusage

import (
	"math"
	"time"
)

// minRates is the sum of rates, in requests a second, below which the age of reports is not estimated.
const minRates = 1e-3

// decay returns the part that is left of a value after some time.
func decay(elapsed, timeConstant time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// decaying is a value that decays.
type decaying struct {
	value float64
	at    time.Duration
}

func (d *decaying) valueAt(now, timeConstant time.Duration) float64 {
	return max(d.value, 0) * decay(now-d.at, timeConstant)
}

func (d *decaying) add(now, timeConstant time.Duration, change float64) {
	d.value = d.valueAt(now, timeConstant) + change
	d.at = now
}

// unseen estimates the requests that others have admitted since their last reports, as the sum over all others of
// (recent rate × age of the report). It needs no look at the single reports.
type unseen struct {
	rates, requests float64
	at              time.Duration
}

func (e *unseen) advance(now time.Duration) {
	if now > e.at {
		e.requests += e.rates * (now - e.at).Seconds()
		e.at = now
	}
}

// replace replaces the part of a report with the rate old, received at a time, by that of one that is received now.
// delay is how old reports are when they arrive. It returns the requests of the old one.
func (e *unseen) replace(now, at time.Duration, old, rate float64, delay time.Duration) float64 {
	e.advance(now)
	requests := old * (max(now-at, 0) + delay).Seconds()
	e.rates += rate - old
	e.requests += rate*delay.Seconds() - requests
	return requests
}

// estimate returns the number of requests, and the mean age of the reports weighted by their rates.
func (e *unseen) estimate(now time.Duration) (requests float64, age time.Duration) {
	e.advance(now)
	requests = max(e.requests, 0)
	if e.rates > minRates {
		age = time.Duration(requests / e.rates * float64(time.Second))
	}
	return requests, age
}
