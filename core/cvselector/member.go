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
	// freed is when an own try ended last.
	freed time.Time
	// peers are the tries in flight of the balancers that tell theirs.
	peers map[uint64]peerCount
	// busy is how many requests, of all balancers, were in progress when the upstream reported last.
	busy     int
	reported time.Time
	// probed is when the upstream was asked for a report last.
	probed time.Time
	// others is how many of them neither this balancer nor a peer accounts for.
	others float64
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

// peerCount is what a peer told of its tries in flight.
type peerCount struct {
	count int
	at    time.Time
}

// told is the number of tries in flight that peers tell of.
func (m *member) told(now time.Time) int {
	total := 0
	for _, c := range m.peers {
		if now.Sub(c.at) < peerLife {
			total += c.count
		}
	}
	return total
}

// account takes out of the upstream's own count what this balancer and its peers know of.
func (m *member) account(now time.Time) {
	m.others = max(float64(m.busy-len(m.begun)-m.told(now)), 0)
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
