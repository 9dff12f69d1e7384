// Package cvconfigcheck finds mistakes in a configuration before it is published.
//
// The load that it handles: operators change routes and limits of some hundred services and workspaces by hand. Balancers
// take any configuration that they can parse into force, and an entry that can never match, or limits that contradict
// each other, show only in the requests that are refused.
package cvconfigcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"comfreyvale/core/cvhost"
	"comfreyvale/core/cvprintable"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvworkspace"
	"comfreyvale/core/cvworkspaces"
)

// maxShownBytes limits the part of a name or value in a line.
const maxShownBytes = 80

// Check finds the mistakes of a configuration. Its lines hold no API key. Set the fields before the first call.
type Check struct {
	// Table is the configuration.
	Table *cvroutes.Table
	// QuotaWindow is the length of the window in which the requests of a workspace are counted.
	QuotaWindow time.Duration
}

// Problems returns a line for each mistake, in the order of the entries' names.
func (c *Check) Problems() []string {
	var problems []string
	routes := c.Table.Routes()
	for n, r := range routes {
		for _, text := range slices.Concat(unreachable(r, routes[:n]), c.badTargets(r), badTimes(r)) {
			problems = append(problems, "route "+shown(r.Name())+": "+text)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Table.Groups())) {
		if g := c.Table.Groups()[name]; g.WarmUpPerS() > 0 && g.WarmUp() == 0 {
			problems = append(problems, fmt.Sprintf("service %s: warm-up rate %g has no effect, as the warm-up time is 0", shown(name), g.WarmUpPerS()))
		}
	}
	workspaces := workspacesOf(c.Table)
	for _, name := range slices.Sorted(maps.Keys(workspaces.All())) {
		w := workspaces.All()[name]
		for _, text := range slices.Concat(c.badQuota(w), badIdentity(w, workspaces, routes)) {
			problems = append(problems, "workspace "+shown(name)+": "+text)
		}
	}
	slices.Sort(problems)
	return problems
}

// unreachable returns why no request can match a route; earlier holds routes that are tried before it.
func unreachable(r *cvroute.Route, earlier []*cvroute.Route) []string {
	host := strings.ToLower(r.Host())
	switch {
	case host == "":
		return []string{"host is empty, so that it matches no request"}
	case cvhost.Name(host) != host:
		return []string{fmt.Sprintf("host %s has a port, and requests are matched without it", shown(r.Host()))}
	case strings.ContainsFunc(host, isBlank):
		return []string{fmt.Sprintf("host %q holds blanks, so that it matches no request", shown(r.Host()))}
	case r.Prefix() != "" && !strings.HasPrefix(r.Prefix(), "/"):
		return []string{fmt.Sprintf("path prefix %q does not begin with /, so that it matches no request", shown(r.Prefix()))}
	case strings.ContainsAny(r.Prefix(), "?#"):
		return []string{fmt.Sprintf("path prefix %q holds more than a path, so that it matches no request", shown(r.Prefix()))}
	}
	for _, e := range earlier {
		if !strings.EqualFold(e.Host(), r.Host()) || !equivalent(e.Prefix(), r.Prefix()) {
			continue
		}
		if e.Host() != r.Host() {
			return []string{fmt.Sprintf("it never matches: hosts %s and %s differ in case only, and route %s has the same path prefix %q", shown(r.Host()), shown(e.Host()), shown(e.Name()), shown(r.Prefix()))}
		}
		return []string{fmt.Sprintf("it never matches: route %s has the same host %s and path prefix %q", shown(e.Name()), shown(r.Host()), shown(r.Prefix()))}
	}
	return nil
}

// equivalent reports whether two prefixes match the same paths: each path begins with a slash.
func equivalent(a, b string) bool { return max(a, "/") == max(b, "/") }

func isBlank(r rune) bool { return r <= ' ' || r == 0x7F }

// badTargets returns the mistakes in where a route sends its requests.
func (c *Check) badTargets(r *cvroute.Route) []string {
	var problems []string
	sum := 0.0
	for _, s := range r.Splits() {
		sum += s.Weight()
		if _, ok := c.Table.Group(s.Group()); !ok {
			problems = append(problems, fmt.Sprintf("service %s is unknown", quoted(s.Group())))
		}
	}
	if sum <= 0 {
		problems = append(problems, "the weights of its services sum to 0")
	}
	return problems
}

// badTimes returns the contradictions among the times and attempts of a route.
func badTimes(r *cvroute.Route) []string {
	var problems []string
	if r.Timeout() <= 0 {
		problems = append(problems, fmt.Sprintf("timeout is %s", r.Timeout()))
	}
	if r.TargetLatency() < 0 {
		problems = append(problems, fmt.Sprintf("target latency is %s", r.TargetLatency()))
	}
	if r.Timeout() > 0 && r.TargetLatency() > r.Timeout() {
		problems = append(problems, fmt.Sprintf("target latency %s is above timeout %s", r.TargetLatency(), r.Timeout()))
	}
	if r.StatedMaxAttempts() <= 0 {
		problems = append(problems, fmt.Sprintf("maximum of attempts is %d", r.StatedMaxAttempts()))
	}
	return problems
}

// badQuota returns the contradictions in the quota of a workspace.
func (c *Check) badQuota(w *cvworkspace.Workspace) []string {
	switch rate, burst := w.RatePerS(), w.Burst(); {
	case rate == 0 && burst > 0:
		return []string{fmt.Sprintf("burst %g has no effect, as the rate is 0, which means no limit", burst)}
	case rate == 0:
		return nil
	case rate*c.QuotaWindow.Seconds()+burst < 1:
		return []string{fmt.Sprintf("a rate of %g a second and burst %g allow no request in a window of %s", rate, burst, c.QuotaWindow)}
	}
	return nil
}

// badIdentity returns why a workspace has no requests, or some that may be sent nowhere.
func badIdentity(w *cvworkspace.Workspace, all *cvworkspaces.Workspaces, routes []*cvroute.Route) []string {
	var problems []string
	if all.KeyCountOf(w.Name()) == 0 {
		problems = append(problems, "it has no API key, so that no request belongs to it")
	}
	for _, r := range routes {
		if r.Public() || len(r.Regions()) == 0 || len(w.Regions()) == 0 {
			continue
		}
		if !slices.ContainsFunc(r.Regions(), func(region string) bool { return slices.Contains(w.Regions(), region) }) {
			problems = append(problems, fmt.Sprintf("its requests to route %s are allowed in no region: it allows %s, the route %s", shown(r.Name()), shownList(w.Regions()), shownList(r.Regions())))
		}
	}
	return problems
}

// workspacesOf returns the workspaces of a configuration, which may have none.
func workspacesOf(t *cvroutes.Table) *cvworkspaces.Workspaces {
	if w := t.Workspaces(); w != nil {
		return w
	}
	return cvworkspaces.New()
}

func shown(text string) string { return cvprintable.Shorten(text, maxShownBytes) }

// quoted quotes a name that may be empty.
func quoted(name string) string { return fmt.Sprintf("%q", shown(name)) }

func shownList(names []string) string { return shown(list(names)) }
