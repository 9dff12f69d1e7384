package cvselector

import (
	"time"

	"comfreyvale/core/cvinstance"
)

// member is what is known of one upstream.
type member struct {
	instance *cvinstance.Instance
	// begun are the own tries in flight, oldest first.
	begun []time.Time
	// others is how many requests of other balancers were in progress when the upstream reported last.
	others   float64
	reported time.Time
	// slowness is the last report of the machine's speed, 0 before any.
	slowness  float64
	measured  time.Time
	warmUntil time.Time
	// failures is the share of failures among recent tries, as of failedAt.
	failures      float64
	failedAt      time.Time
	failuresInRow int
	ejected       bool
	ejection      time.Duration
	ejectedUntil  time.Time
}

// open says whether the upstream takes work. One that was ejected takes one try at a time until one succeeds.
func (m *member) open(now time.Time) bool {
	if m.instance.Draining() {
		return false
	}
	if !m.ejected {
		return true
	}
	return !now.Before(m.ejectedUntil) && len(m.begun) == 0
}

func (m *member) begin(now time.Time) { m.begun = append(m.begun, now) }

// end takes out the try that began at a time.
func (m *member) end(began time.Time) {
	for n, b := range m.begun {
		if b.Equal(began) {
			m.begun = append(m.begun[:n], m.begun[n+1:]...)
			return
		}
	}
}
