// Package cvjitter provides many pseudo-random numbers derived from one random number.
package cvjitter

// Fraction returns a number of at least 0 and less than 1 that depends only on the arguments, so that one random draw
// gives each element of a list a random number.
func Fraction(draw uint64, index int) float64 {
	const multiplier = 0x9e3779b97f4a7c15
	x := (draw + uint64(index+1)) * multiplier
	x ^= x >> 32
	x *= multiplier
	return float64(x>>11) / (1 << 53)
}
