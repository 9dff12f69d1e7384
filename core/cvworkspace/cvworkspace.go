// Package cvworkspace defines a workspace: a customer whose requests share a quota and a priority.
package cvworkspace

// Workspace describes how the requests of one customer are served. It is immutable.
type Workspace struct {
	name        string
	priority    int
	hasPriority bool
	ratePerS    float64
	burst       float64
	regions     []string
}

// New returns a workspace without a priority of its own, a quota or regions.
func New(name string) *Workspace { return &Workspace{name: name} }

// WithPriority returns a copy of w with a priority, which goes before that of a route; 0 is the most urgent.
func (w *Workspace) WithPriority(priority int) *Workspace {
	c := *w
	c.priority, c.hasPriority = priority, true
	return &c
}

// WithQuota returns a copy of w that may send ratePerS requests a second, and burst more at once, through all balancers
// together. A rate of 0 or less means no limit.
func (w *Workspace) WithQuota(ratePerS, burst float64) *Workspace {
	c := *w
	c.ratePerS, c.burst = max(ratePerS, 0), max(burst, 0)
	return &c
}

// WithRegions returns a copy of w whose requests may only be sent to upstreams in the given regions; none means any.
func (w *Workspace) WithRegions(regions []string) *Workspace {
	c := *w
	c.regions = regions
	return &c
}

// Name returns the name of the workspace, which upstreams are told.
func (w *Workspace) Name() string { return w.name }

// Priority returns the priority of the workspace's requests, and whether it has one.
func (w *Workspace) Priority() (priority int, ok bool) { return w.priority, w.hasPriority }

// RatePerS returns how many requests a second the workspace may send, or 0 for no limit.
func (w *Workspace) RatePerS() float64 { return w.ratePerS }

// Burst returns how many requests the workspace may send at once beyond its rate.
func (w *Workspace) Burst() float64 { return w.burst }

// Regions returns the regions whose upstreams may get the workspace's requests, or none for any. The slice must not be
// modified.
func (w *Workspace) Regions() []string { return w.regions }
