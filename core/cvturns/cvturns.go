// Package cvturns implements the turns in which balancers take the free slots of an upstream.
//
// Balancers learn of a free slot at the same moment; without turns, all that have waiting requests would take it.
package cvturns

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxTurns bounds the turns of a round, so that the round is shorter than a request waits. If there are more balancers,
// some share a turn.
const maxTurns = 6

// Turns decides when a balancer may take free slots. The zero value is for a single balancer, which always may. Turns
// is immutable.
type Turns struct {
	// index is this balancer's turn, from 0; count is the number of turns in a round.
	index, count uint64
	turnLength   time.Duration
}

// New returns the turns of the balancer with address self. A turn must last until the others know which slots were
// taken in it.
func New(self string, others []string, turnLength time.Duration) Turns {
	all := append([]string{self}, others...)
	slices.Sort(all)
	count := min(len(all), maxTurns)
	return Turns{index: uint64(slices.Index(all, self) % count), count: uint64(count), turnLength: turnLength}
}

// MayTake reports whether this balancer may take one of the free slots of an upstream now. In each turn as many
// balancers may take a slot as there are free slots, or more if they share a turn. Turns follow the wall clock; they
// may overlap if clocks differ.
func (t Turns) MayTake(now time.Time, upstream string, free int) bool {
	if t.count < 2 || t.turnLength <= 0 || free >= int(t.count) {
		return true
	}
	if free <= 0 {
		return false
	}
	turn := uint64(now.UnixNano() / int64(t.turnLength))
	first := (turn*uint64(free) + xxhash.Sum64String(upstream)) % t.count
	return (t.index+t.count-first)%t.count < uint64(free)
}
