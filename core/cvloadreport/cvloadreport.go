// Package cvloadreport is what an upstream said of its load at one moment.
package cvloadreport

// Report is an upstream's own report. It is already old when it is read.
type Report struct {
	running  int
	waiting  int
	slots    int
	slowness float64
}

// New returns a report: requests running and waiting, slots, and how long work takes there, where 1 is as usual.
func New(running, waiting, slots int, slowness float64) Report {
	return Report{running: running, waiting: waiting, slots: slots, slowness: slowness}
}

// Running is the number of requests at work.
func (l Report) Running() int { return l.running }

// Waiting is the number of requests in the upstream's queue.
func (l Report) Waiting() int { return l.waiting }

// Slots is how many requests the upstream runs at a time.
func (l Report) Slots() int { return l.slots }

// Slowness is how many times as long as usual work takes on the upstream's machine; 0 if it was not told.
func (l Report) Slowness() float64 { return l.slowness }
