// Package cvhash is the hash of a pair of texts, by which all balancers rank and name alike without asking each other.
package cvhash

import "github.com/cespare/xxhash/v2"

// Pair returns the hash of two texts, in their order. As the weight of a candidate for a task it gives rendezvous hashing:
// the candidate of the greatest weight has the task.
func Pair(first, second string) uint64 { return xxhash.Sum64String(first + "\x00" + second) }
