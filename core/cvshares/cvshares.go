// Package cvshares divides periods of time among balancers without communication.
//
// The load it answers: up to hundreds of balancers may together send an upstream only a few requests a second, or less
// than one. Equal shares of so little are of no use, and asking another balancer takes longer than a request may wait.
// So each period belongs to one balancer, by weighted rendezvous hashing over the balancers that all know of; busier
// ones own more. When a balancer comes, goes or gets busier, only periods that it gains or loses change their owner, so
// that balancers which learn of it at different times still agree on all others.
package cvshares

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// minDemand is the least demand that counts, in requests a second: a balancer without requests keeps a small share for
// the first that arrive.
const minDemand = 0.25

// Shares knows the balancers among which periods are divided. The zero value owns every period. It is immutable.
type Shares struct {
	self   member
	others []member
	// none is set for shares that own no period.
	none bool
}

type member struct {
	hash   uint64
	weight float64
}

// New returns the shares of the balancer with address self. The keys of others are the addresses of the other balancers;
// demands are in requests a second.
func New(self string, demand float64, others map[string]float64) Shares {
	s := Shares{self: newMember(self, demand)}
	for address, d := range others {
		s.others = append(s.others, newMember(address, d))
	}
	return s
}

// None returns shares that own no period.
func None() Shares { return Shares{none: true} }

// newMember rounds the demand to a power of two, so that small changes don't move periods.
func newMember(address string, demand float64) member {
	return member{hash: xxhash.Sum64String(address), weight: math.Exp2(math.Round(math.Log2(max(demand, minDemand))))}
}

// Owns reports whether a period of a subject belongs to this balancer.
func (s Shares) Owns(subject uint64, period int64) bool {
	if s.none {
		return false
	}
	if len(s.others) == 0 {
		return true
	}
	task := mix(subject ^ mix(uint64(period)))
	own := s.self.rank(task)
	for _, m := range s.others {
		if m.rank(task) < own {
			return false
		}
	}
	return true
}

// rank returns a draw from an exponential distribution whose rate is the member's weight. The member with the lowest
// rank owns the task.
func (m member) rank(task uint64) float64 {
	const mantissaBits = 53
	uniform := (float64(mix(m.hash^task)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -math.Log(uniform) / m.weight
}

// mix is the finalizer of MurmurHash3: a bijection whose output bits depend on all input bits.
func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
