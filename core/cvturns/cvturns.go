// Package cvturns is the decision which balancers may take a free slot now. It answers a load of many balancers that have
// requests waiting and learn at the same moment that a slot came free: all of them would take it.
package cvturns

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// mostTurns is how many turns a round has at most, so that a round stays shorter than a request waits. With more balancers,
// some share a turn.
const mostTurns = 6

// Turns is the order in which balancers take free slots. The zero value is of a balancer that is alone.
type Turns struct {
	index, count uint64
	slice        time.Duration
}

// New returns the turns of a balancer among all, by their addresses. A turn lasts as long as it takes until the others know
// what was taken in it.
func New(self string, others []string, slice time.Duration) Turns {
	all := append([]string{self}, others...)
	slices.Sort(all)
	count := min(len(all), mostTurns)
	return Turns{index: uint64(slices.Index(all, self) % count), count: uint64(count), slice: slice}
}

// MayTake says whether this balancer may take one of the slots that are free on an upstream: in each turn as many balancers
// may as there are free slots. Turns go by the clock; where clocks differ, they overlap by chance.
func (t Turns) MayTake(now time.Time, upstream string, free int) bool {
	if t.count < 2 || t.slice <= 0 || free >= int(t.count) {
		return true
	}
	if free <= 0 {
		return false
	}
	turn := uint64(now.UnixNano() / int64(t.slice))
	first := (turn*uint64(free) + xxhash.Sum64String(upstream)) % t.count
	return (t.index+t.count-first)%t.count < uint64(free)
}
