package cvnode

import (
	"slices"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/io/store/cvwatch"
)

// newWatches returns what follows the two directories.
func (n *Node) newWatches() (routes, upstreams *cvwatch.Watch) {
	ofRoutes := n.share(routesDirectory, n.Configuration, &n.routesRead)
	ofUpstreams := n.share(upstreamsDirectory, n.Upstreams, &n.upstreamsRead)
	wait, pause := n.terms().ReadWait(), n.terms().ReadPause()
	routes = &cvwatch.Watch{Directory: ofRoutes, Wait: wait, Pause: pause, Logger: n.Logger, Reached: func(time.Time, bool) {}, Changed: n.routesChanged}
	upstreams = &cvwatch.Watch{Directory: ofUpstreams, Wait: wait, Pause: pause, Logger: n.Logger, Reached: n.upstreamsReached, Changed: n.upstreamsChanged}
	return routes, upstreams
}

func (n *Node) routesChanged(_ time.Time, whole bool, changes comfreyvale.Changes) {
	for _, c := range changes.Records() {
		if c.Key() == n.ConfigurationKey && len(c.Value()) > 0 {
			n.takeRoutes(c)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routesKept.add(changes.Records(), whole, changes.Next())
}

// takeRoutes takes a configuration that is newer than the one in force.
func (n *Node) takeRoutes(change comfreyvale.Change) {
	table, err := n.ParseRoutes(change.Value())
	fields := log.Fields{"offset": change.Offset()}
	if err != nil {
		n.Logger.WithFields(fields).WithError(err).Error("configuration ignored, the last one stays in force")
		return
	}
	fields["version"] = table.Version()
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.routes.Load()
	if old != nil && table.Version() <= old.Version() {
		fields["inForce"] = old.Version()
		n.Logger.WithFields(fields).Info("older configuration passed over")
		return
	}
	n.record = change.Value()
	n.routes.Store(table)
	n.counters.SetVersion(table.Version())
	n.Logger.WithFields(fields).Info("configuration in force")
}

func (n *Node) upstreamsReached(now time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !ok {
		n.counters.Reached("upstreams", "lost")
		n.fleet.MarkDirectoryUnreachable(now)
		return
	}
	if n.fleet.DirectoryUnreachable() {
		n.counters.Reached("upstreams", "back")
		n.fleet.MarkDirectoryReachable(now, n.othersReached.After(n.fleet.DirectoryUnreachableSince()))
	}
}

func (n *Node) upstreamsChanged(now time.Time, whole bool, changes comfreyvale.Changes) {
	n.mu.Lock()
	changed := false
	n.upstreamsTaken = true
	if whole {
		changed = n.fleet.Replace(now, n.readInstances(changes.Records()))
	} else {
		changed = n.followInstances(now, changes.Records())
	}
	n.upstreamsKept.add(changes.Records(), whole, changes.Next())
	n.mu.Unlock()
	if changed {
		n.updateGroups(now)
	}
}

func (n *Node) readInstances(changes []comfreyvale.Change) []*cvinstance.Instance {
	var found []*cvinstance.Instance
	for _, c := range changes {
		if i := n.readInstance(c); i != nil {
			found = append(found, i)
		}
	}
	return found
}

// readInstance returns nil for a record that names no upstream.
func (n *Node) readInstance(change comfreyvale.Change) *cvinstance.Instance {
	i, err := n.ParseInstance(change.Key(), change.Value())
	if err != nil {
		n.Logger.WithFields(log.Fields{"upstream": change.Key(), "offset": change.Offset()}).WithError(err).Warn("entry ignored")
		return nil
	}
	return i
}

func (n *Node) followInstances(now time.Time, changes []comfreyvale.Change) bool {
	changed := false
	for _, c := range changes {
		if len(c.Value()) == 0 {
			changed = n.fleet.Remove(now, c.Key()) || changed
			continue
		}
		if i := n.readInstance(c); i != nil {
			changed = n.fleet.Put(now, i) || changed
		}
	}
	return changed
}

// namedChanges is how many upstreams a line names at most.
const namedChanges = 8

// updateGroups hands the instances to their groups.
func (n *Node) updateGroups(now time.Time) {
	n.mu.Lock()
	byGroup := make(map[string][]*cvinstance.Instance)
	for group := range n.groups {
		byGroup[group] = nil
	}
	before, after := n.known, make(map[string]bool)
	ready, draining := 0, 0
	for _, i := range n.fleet.Instances() {
		byGroup[i.Group()] = append(byGroup[i.Group()], i)
		after[i.ID()] = i.Draining()
		if i.Draining() {
			draining++
			continue
		}
		ready++
	}
	n.known = after
	lapsed := n.fleet.Lapsed()
	n.mu.Unlock()
	for group, instances := range byGroup {
		n.slots(group).Update(now, instances)
	}
	n.index(byGroup)
	n.counters.SetUpstreams(ready, draining, lapsed)
	added, removed, nowDraining := compare(before, after)
	if len(added)+len(removed)+len(nowDraining) == 0 {
		// A report's number, or what is left of a slow start: nothing that anybody believes has changed.
		return
	}
	n.Logger.WithFields(log.Fields{
		"ready": ready, "draining": draining, "lapsed": lapsed, "added": added, "removed": removed, "nowDraining": nowDraining,
	}).Info("upstreams changed")
}

// compare names the upstreams that came, went, and began to drain; the maps say which are draining.
func compare(before, after map[string]bool) (added, removed, nowDraining []string) {
	for id, draining := range after {
		was, known := before[id]
		if !known {
			added = append(added, id)
		}
		if draining && !was {
			nowDraining = append(nowDraining, id)
		}
	}
	for id := range before {
		if _, still := after[id]; !still {
			removed = append(removed, id)
		}
	}
	return named(added), named(removed), named(nowDraining)
}

// named bounds a list of names, in order.
func named(ids []string) []string {
	slices.Sort(ids)
	return ids[:min(len(ids), namedChanges)]
}

// sweep drops instances that did not come back, and connections that nobody needs.
func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	expired := n.fleet.Expire(now)
	n.mu.Unlock()
	if expired {
		n.updateGroups(now)
	}
	n.forgetDeaths(now)
	n.mu.Lock()
	// The map is replaced as a whole and never changed.
	known := n.known
	n.mu.Unlock()
	n.pool.Retain(now, func(id string) bool {
		_, wanted := known[id]
		return wanted
	})
}
