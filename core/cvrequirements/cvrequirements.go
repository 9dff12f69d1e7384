// Package cvrequirements defines the requirements of a request for the selection of its upstream.
package cvrequirements

import (
	"slices"
	"time"
)

// Requirements holds the requirements of a request that waits for an upstream. It is immutable.
type Requirements struct {
	large             bool
	workspacePriority int
	priority          int
	target            time.Time
	deadline          time.Time
	serviceTime       time.Duration
	avoid             []string
	inTurn            bool
	hedge             bool
	// regionOf holds the regions of data centres. allowedRegions holds the lists of regions that all have to allow an
	// upstream.
	regionOf       map[string]string
	allowedRegions [][]string
	workspace      string
}

// New returns the requirements of a request whose answer is on time until target and useless after deadline. Priority 0
// is the most urgent.
func New(target, deadline time.Time, priority int, large bool) Requirements {
	return Requirements{target: target, deadline: deadline, workspacePriority: priority, priority: priority, large: large}
}

// WithWorkspacePriority returns a copy with another WorkspacePriority.
func (r Requirements) WithWorkspacePriority(priority int) Requirements {
	r.workspacePriority = priority
	return r
}

// WorkspacePriority returns the priority of the request's workspace, which precedes Priority and is the same without one.
func (r Requirements) WorkspacePriority() int { return r.workspacePriority }

// WithServiceTime returns a copy with another ServiceTime.
func (r Requirements) WithServiceTime(serviceTime time.Duration) Requirements {
	r.serviceTime = serviceTime
	return r
}

// ServiceTime returns the usual service time of such a request, 0 if it is not known.
func (r Requirements) ServiceTime() time.Duration { return r.serviceTime }

// WithTurn returns a copy with another InTurn.
func (r Requirements) WithTurn(inTurn bool) Requirements {
	r.inTurn = inTurn
	return r
}

// InTurn reports whether the request may take a slot only in its balancer's turn, because requests of other balancers
// wait too.
func (r Requirements) InTurn() bool { return r.inTurn }

// WithHedge returns a copy for a second attempt beside one in flight.
func (r Requirements) WithHedge() Requirements {
	r.hedge = true
	return r
}

// Hedge reports whether the slot is for a second attempt beside one in flight, which must not take anything that other
// requests need.
func (r Requirements) Hedge() bool { return r.hedge }

// WithAvoid returns a copy with another Avoid.
func (r Requirements) WithAvoid(avoid []string) Requirements {
	r.avoid = avoid
	return r
}

// WithRegions returns a copy for a request that may be sent only to upstreams in regions that each of the lists allows;
// an empty list allows any. regionOf holds the regions of data centres and must not be modified.
func (r Requirements) WithRegions(regionOf map[string]string, lists ...[]string) Requirements {
	r.regionOf, r.allowedRegions = regionOf, nil
	for _, regions := range lists {
		if len(regions) > 0 {
			r.allowedRegions = append(r.allowedRegions, regions)
		}
	}
	return r
}

// Allows reports whether the request may be sent to upstreams in a data centre. If it is bound to regions, it may not be
// sent to a data centre whose region is not known.
func (r Requirements) Allows(dataCentre string) bool {
	for _, regions := range r.allowedRegions {
		region, known := r.regionOf[dataCentre]
		if !known || !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// BoundToRegions reports whether the request may not be sent to every region.
func (r Requirements) BoundToRegions() bool { return len(r.allowedRegions) > 0 }

// WithWorkspace returns a copy with another Workspace.
func (r Requirements) WithWorkspace(name string) Requirements {
	r.workspace = name
	return r
}

// Workspace returns the name of the workspace that the request belongs to, or "" for none.
func (r Requirements) Workspace() string { return r.workspace }

// Large reports whether a large answer is expected.
func (r Requirements) Large() bool { return r.large }

// Priority returns the priority of the request; 0 is the most urgent.
func (r Requirements) Priority() int { return r.priority }

// Target returns the time until which an answer is on time.
func (r Requirements) Target() time.Time { return r.target }

// Deadline returns the time after which an answer is useless.
func (r Requirements) Deadline() time.Time { return r.deadline }

// Avoid returns the IDs of the upstreams to which the request must not be sent.
func (r Requirements) Avoid() []string { return r.avoid }
