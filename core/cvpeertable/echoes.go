package cvpeertable

import (
	"time"

	"comfreyvale/core/cvwire"
)

// RecordClock records the clock in a full state message of a balancer, received at a time of this balancer's own clock.
func (t *Table) RecordClock(address string, clockMs uint64, at time.Duration) {
	if p := t.peers[address]; p != nil {
		p.clockMs, p.clockAt = clockMs, at
	}
}

// Echoes returns the clocks of the live balancers of this data centre, as of the time of this balancer's own clock at
// which the age of its proof was computed. It leaves out those received after that: with them, a process that was paused
// in between would state its proof to be younger than it is.
func (t *Table) Echoes(now time.Time, at time.Duration) []*cvwire.ClockEcho {
	var found []*cvwire.ClockEcho
	for _, address := range t.Live(now, true) {
		if p := t.peers[address]; p.clockMs > 0 && p.clockAt <= at {
			found = append(found, &cvwire.ClockEcho{Process: p.process, ClockMs: p.clockMs, HeldMs: uint32((at - p.clockAt).Milliseconds())})
		}
	}
	return found
}

// ConfirmedAt returns the latest moment, by the clock of the run of a balancer, at which the sender of a message is known
// to have had the newest configuration. It returns false if the message does not echo that clock or states no age. The
// moment counts back from when the sender got the echoed clock, so it is right however late the message arrived.
func ConfirmedAt(process uint64, message *cvwire.News) (time.Duration, bool) {
	if message.GetConfirmedAgeMs() == 0 {
		return 0, false
	}
	for _, e := range message.GetEchoes() {
		if e.GetProcess() == process {
			age := int64(message.GetConfirmedAgeMs()) - 1
			return time.Duration(int64(e.GetClockMs())+int64(e.GetHeldMs())-age) * time.Millisecond, true
		}
	}
	return 0, false
}

// Isolated reports whether there are other addresses but no balancer has been heard of lately.
func (t *Table) Isolated(now time.Time) bool {
	for _, p := range t.peers {
		if t.isLive(now, p) {
			return false
		}
	}
	return len(t.peers) > 0
}
