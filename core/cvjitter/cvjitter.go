// Package cvjitter turns one random number into many.
package cvjitter

// Fraction returns a number from 0 to 1 that depends on the draw and an index, so that one draw decides about a whole list.
func Fraction(draw uint64, index int) float64 {
	const multiplier = 0x9e3779b97f4a7c15
	x := (draw + uint64(index+1)) * multiplier
	x ^= x >> 32
	x *= multiplier
	return float64(x>>11) / (1 << 53)
}
