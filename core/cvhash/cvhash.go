// Package cvhash provides the hash with which all balancers compute the same rankings and names without communication.
package cvhash

import "github.com/cespare/xxhash/v2"

// Pair returns the hash of two strings; their order matters. For rendezvous hashing, the candidate with the highest
// hash of candidate and task owns the task.
func Pair(first, second string) uint64 { return xxhash.Sum64String(first + "\x00" + second) }
