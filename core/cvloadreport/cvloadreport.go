// Package cvloadreport defines the load report of an upstream.
package cvloadreport

// Report is the load that an upstream reports at one moment. It is already outdated when a balancer reads it.
type Report struct {
	running  int
	waiting  int
	slots    int
	slowness float64
}

// New returns a report. A slowness of 1 is normal speed, 2 means that requests take twice as long, and 0 that it is
// unknown.
func New(running, waiting, slots int, slowness float64) Report {
	return Report{running: running, waiting: waiting, slots: slots, slowness: slowness}
}

// Running returns the number of requests that are being processed.
func (r Report) Running() int { return r.running }

// Waiting returns the number of requests in the upstream's queue.
func (r Report) Waiting() int { return r.waiting }

// Slots returns how many requests the upstream runs at a time.
func (r Report) Slots() int { return r.slots }

// Slowness returns the ratio of the time that requests take on the upstream's machine to the usual time, 0 if unknown.
func (r Report) Slowness() float64 { return r.slowness }
