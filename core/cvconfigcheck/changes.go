package cvconfigcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"comfreyvale/core/cvgroup"
	"comfreyvale/core/cvlimits"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvworkspace"
	"comfreyvale/core/cvworkspaces"
)

// fields holds the values of an entry by field, without API keys.
type fields map[string]string

// Changes returns a line for each entry that the configuration adds to the one in force, removes from it or changes.
func (c *Check) Changes(inForce *cvroutes.Table) []string {
	var changes []string
	before, after := inForce.Version(), c.Table.Version()
	if after <= before {
		changes = append(changes, fmt.Sprintf("version: %d is not above %d, so that balancers ignore the configuration", after, before))
	} else {
		changes = append(changes, fmt.Sprintf("version: %d -> %d", before, after))
	}
	changes = append(changes, compare("", map[string]fields{"limits": limitFields(inForce.Limits())}, map[string]fields{"limits": limitFields(c.Table.Limits())})...)
	changes = append(changes, compare("route ", routeFields(inForce), routeFields(c.Table))...)
	changes = append(changes, compare("service ", groupFields(inForce), groupFields(c.Table))...)
	changes = append(changes, compare("workspace ", workspaceFields(inForce), workspaceFields(c.Table))...)
	return append(changes, keyChanges(workspacesOf(inForce), workspacesOf(c.Table))...)
}

// compare returns the differences between entries by name.
func compare(kind string, before, after map[string]fields) []string {
	var changes []string
	for _, name := range sortedKeys(before, after) {
		old, existed := before[name]
		current, exists := after[name]
		switch title := kind + shown(name); {
		case !existed:
			changes = append(changes, fmt.Sprintf("%s: added, %s", title, current))
		case !exists:
			changes = append(changes, title+": removed")
		default:
			for _, field := range sortedKeys(old, current) {
				if old[field] != current[field] {
					changes = append(changes, fmt.Sprintf("%s: %s %s -> %s", title, field, shown(old[field]), shown(current[field])))
				}
			}
		}
	}
	return changes
}

// sortedKeys returns the keys of both maps in order, each once.
func sortedKeys[V any](a, b map[string]V) []string {
	all := make(map[string]bool)
	for key := range a {
		all[key] = true
	}
	for key := range b {
		all[key] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// String returns the fields in the order of their names.
func (f fields) String() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(f)) {
		parts = append(parts, name+" "+shown(f[name]))
	}
	return strings.Join(parts, ", ")
}

func routeFields(t *cvroutes.Table) map[string]fields {
	all := make(map[string]fields)
	for _, r := range t.Routes() {
		all[r.Name()] = fields{
			"host": r.Host(), "path prefix": r.Prefix(), "idempotent": fmt.Sprint(r.Idempotent()), "large": large(r),
			"timeout": fmt.Sprint(r.Timeout()), "target latency": fmt.Sprint(r.TargetLatency()),
			"priority": fmt.Sprint(r.Priority()), "maximum of attempts": fmt.Sprint(r.StatedMaxAttempts()),
			"services": services(r), "public": fmt.Sprint(r.Public()), "regions": list(r.Regions()),
		}
	}
	return all
}

// large returns whether the responses or the requests of a route are large.
func large(r *cvroute.Route) string {
	switch {
	case r.LargeResponses():
		return "responses"
	case r.LargeRequests():
		return "requests"
	}
	return "none"
}

func services(r *cvroute.Route) string {
	var parts []string
	for _, s := range r.Splits() {
		parts = append(parts, fmt.Sprintf("%s:%g", s.Group(), s.Weight()))
	}
	slices.Sort(parts)
	return list(parts)
}

func groupFields(t *cvroutes.Table) map[string]fields {
	all := make(map[string]fields)
	for name, g := range t.Groups() {
		all[name] = oneGroup(g)
	}
	return all
}

func oneGroup(g cvgroup.Group) fields {
	return fields{
		"health path": g.HealthPath(), "connections": fmt.Sprint(g.MaxConnections()),
		"warm-up time": fmt.Sprint(g.WarmUp()), "warm-up rate": fmt.Sprintf("%g", g.WarmUpPerS()),
	}
}

func limitFields(l cvlimits.Limits) fields {
	return fields{
		"header bytes": fmt.Sprint(l.MaxHeaderBytes()), "body bytes": fmt.Sprint(l.MaxBodyBytes()),
		"header timeout": fmt.Sprint(l.HeaderTimeout()), "idle timeout": fmt.Sprint(l.IdleTimeout()),
	}
}

func workspaceFields(t *cvroutes.Table) map[string]fields {
	all := make(map[string]fields)
	for name, w := range workspacesOf(t).All() {
		all[name] = oneWorkspace(w)
	}
	return all
}

func oneWorkspace(w *cvworkspace.Workspace) fields {
	priority := "none"
	if p, ok := w.Priority(); ok {
		priority = fmt.Sprint(p)
	}
	return fields{
		"priority": priority, "rate": fmt.Sprintf("%g", w.RatePerS()), "burst": fmt.Sprintf("%g", w.Burst()),
		"regions": list(w.Regions()),
	}
}

// keyChanges returns how many API keys of each workspace are added and removed.
func keyChanges(before, after *cvworkspaces.Workspaces) []string {
	var changes []string
	for _, name := range sortedKeys(before.All(), after.All()) {
		added, removed := after.KeysAddedTo(name, before), before.KeysAddedTo(name, after)
		if added > 0 || removed > 0 {
			changes = append(changes, fmt.Sprintf("workspace %s: %d API keys added, %d removed", shown(name), added, removed))
		}
	}
	return changes
}

func list(names []string) string { return "[" + strings.Join(names, " ") + "]" }
