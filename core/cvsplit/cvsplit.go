// Package cvsplit is one part of a route's traffic: a group of upstreams and its weight.
package cvsplit

// Split sends a share of a route's requests to a group of upstreams.
type Split struct {
	group  string
	weight float64
}

// New returns a part with a weight; the weights of a route need not add up to anything.
func New(group string, weight float64) Split { return Split{group: group, weight: weight} }

// Group names the group of upstreams.
func (s Split) Group() string { return s.group }

// Weight is the part's share beside the other parts' weights.
func (s Split) Weight() float64 { return s.weight }
