// Package cvsplit defines a traffic split: a group of upstreams and its weight within a route.
package cvsplit

// Split assigns a share of the requests of a route to a group of upstreams.
type Split struct {
	group  string
	weight float64
}

// New returns a split. Weights are relative to each other; they need not add up to 1 or 100.
func New(group string, weight float64) Split { return Split{group: group, weight: weight} }

// Group returns the name of the group of upstreams.
func (s Split) Group() string { return s.group }

// Weight returns the weight of the group, relative to the other splits of the route.
func (s Split) Weight() float64 { return s.weight }
