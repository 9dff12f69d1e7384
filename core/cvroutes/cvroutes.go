// Package cvroutes implements the routing table of one configuration version.
package cvroutes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"comfreyvale/core/cvgroup"
	"comfreyvale/core/cvhost"
	"comfreyvale/core/cvlimits"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvworkspaces"
)

// Table holds the routes, groups of upstreams and limits of one configuration version. It is immutable.
type Table struct {
	version int64
	byHost  map[string][]*cvroute.Route
	groups  map[string]cvgroup.Group
	limits  cvlimits.Limits
	// shortestTarget is the shortest target latency of the routes, 0 if none has one.
	shortestTarget time.Duration
	// workspaces is nil if the configuration has none: then requests need no API key.
	workspaces *cvworkspaces.Workspaces
	// largeRequests reports whether a route takes requests with large bodies.
	largeRequests bool
}

// New returns the table of a configuration version.
func New(version int64, routes []*cvroute.Route, groups []cvgroup.Group, limits cvlimits.Limits) *Table {
	t := &Table{version: version, byHost: make(map[string][]*cvroute.Route), groups: make(map[string]cvgroup.Group), limits: limits}
	for _, r := range routes {
		host := strings.ToLower(r.Host())
		t.largeRequests = t.largeRequests || r.LargeRequests()
		t.byHost[host] = append(t.byHost[host], r)
		if target := r.TargetLatency(); target > 0 && (t.shortestTarget == 0 || target < t.shortestTarget) {
			t.shortestTarget = target
		}
	}
	for _, found := range t.byHost {
		slices.SortFunc(found, compareByPrefixLength)
	}
	for _, g := range groups {
		t.groups[g.Name()] = g
	}
	return t
}

func compareByPrefixLength(a, b *cvroute.Route) int {
	if c := cmp.Compare(len(b.Prefix()), len(a.Prefix())); c != 0 {
		return c
	}
	return cmp.Compare(a.Name(), b.Name())
}

// WithWorkspaces returns a copy of t whose requests belong to workspaces, unless their route is public.
func (t *Table) WithWorkspaces(workspaces *cvworkspaces.Workspaces) *Table {
	c := *t
	c.workspaces = workspaces
	return &c
}

// Version returns the version that the operator gave the configuration; a greater version is newer.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on requests and connections of callers.
func (t *Table) Limits() cvlimits.Limits { return t.limits }

// Group returns the named group of upstreams.
func (t *Table) Group(name string) (cvgroup.Group, bool) {
	g, ok := t.groups[name]
	return g, ok
}

// Groups returns all groups of upstreams by name. The map must not be modified.
func (t *Table) Groups() map[string]cvgroup.Group { return t.groups }

// Routes returns the routes, ordered by host, and in the order in which Match tries them.
func (t *Table) Routes() []*cvroute.Route {
	var all []*cvroute.Route
	for _, host := range slices.Sorted(maps.Keys(t.byHost)) {
		all = append(all, t.byHost[host]...)
	}
	return all
}

// Workspaces returns the workspaces, or nil if the configuration has none.
func (t *Table) Workspaces() *cvworkspaces.Workspaces { return t.workspaces }

// LargeRequests reports whether a route takes requests with large bodies.
func (t *Table) LargeRequests() bool { return t.largeRequests }

// ShortestTarget returns the shortest target latency of the routes, or 0 if none has one.
func (t *Table) ShortestTarget() time.Duration { return t.shortestTarget }

// Match returns the route of the host with the longest matching path prefix. A port in host is ignored.
func (t *Table) Match(host, path string) (*cvroute.Route, bool) {
	for _, r := range t.byHost[cvhost.Name(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return nil, false
}
