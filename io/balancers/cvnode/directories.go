package cvnode

import (
	"slices"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvevacuation"
	"comfreyvale/core/cvinstance"
	"comfreyvale/io/store/cvwatch"
)

func (n *Node) newWatches() (routes, upstreams *cvwatch.Watch) {
	routesDir := n.sharedDirectory(routesDirectory, n.Configuration, &n.routesReadAt)
	routesDir.Clock, routesDir.ShouldReadAtOnce, routesDir.ShouldRead = n.BootClock, n.shouldReadAtOnce, n.shouldReadItself
	upstreamsDir := n.sharedDirectory(upstreamsDirectory, n.Upstreams, &n.upstreamsReadAt)
	wait, pause := n.terms().ReadWait(), n.terms().ReadPause()
	routes = &cvwatch.Watch{Directory: routesDir, Wait: n.terms().ConfigurationWait(), Pause: pause, Logger: n.Logger, OnReachability: func(time.Time, bool) {}, OnChange: n.routesChanged}
	upstreams = &cvwatch.Watch{Directory: upstreamsDir, Wait: wait, Pause: pause, Logger: n.Logger, OnReachability: n.upstreamsReachabilityChanged, OnChange: n.upstreamsChanged}
	return routes, upstreams
}

func (n *Node) routesChanged(now time.Time, full bool, read comfreyvale.Changes) {
	changes := n.withoutInvalidKeys(routesDirectory, read)
	// Evacuations come first: with its first configuration, this balancer begins to serve requests.
	n.updateEvacuation(now, "directory", func(e *cvevacuation.Evacuation) {
		if full {
			e.Listed(changes)
		} else {
			e.Followed(changes)
		}
	})
	for _, c := range changes.Records() {
		if c.Key() == n.ConfigurationKey && len(c.Value()) > 0 {
			n.applyRoutes(c)
		}
	}
	n.confirmByRead(read)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recentRoutes.add(changes, full)
}

// applyRoutes applies a configuration if it is newer than the current one.
func (n *Node) applyRoutes(change comfreyvale.Change) {
	table, err := n.ParseRoutes(change.Value())
	fields := log.Fields{"offset": change.Offset()}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		if n.ignored.add(routesDirectory, change) {
			n.Logger.WithFields(fields).WithError(err).Error("configuration is invalid; the previous one stays in force")
		}
		return
	}
	fields["version"] = table.Version()
	old := n.routes.Load()
	if old != nil && table.Version() <= old.Version() {
		fields["inForce"] = old.Version()
		n.Logger.WithFields(fields).Info("ignored a configuration that is not newer than the one in force")
		return
	}
	n.routesRecord = change.Value()
	// The limits come first: with its first configuration, this balancer begins to serve requests.
	for group, s := range n.groups {
		n.setWarmUp(time.Now(), table, group, s)
	}
	n.routes.Store(table)
	n.setQuotas(time.Now(), table)
	n.metrics.SetVersion(table.Version())
	n.Logger.WithFields(fields).Info("new configuration in force")
}

func (n *Node) upstreamsReachabilityChanged(now time.Time, reachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !reachable {
		n.metrics.ReachabilityChanged("upstreams", "lost")
		n.fleet.MarkDirectoryUnreachable(now)
		return
	}
	if n.fleet.DirectoryUnreachable() {
		n.metrics.ReachabilityChanged("upstreams", "back")
		n.fleet.MarkDirectoryReachable(now, n.peerReachedDirectoryAt.After(n.fleet.DirectoryUnreachableSince()))
	}
}

func (n *Node) upstreamsChanged(now time.Time, full bool, changes comfreyvale.Changes) {
	changes = n.withoutInvalidKeys(upstreamsDirectory, changes)
	n.mu.Lock()
	changed := false
	if n.upstreamsLoaded && n.recentUpstreams.next().Era() < changes.Next().Era() {
		n.fleet.MarkDirectoryRestored(now)
	}
	n.upstreamsLoaded = true
	if full {
		changed = n.fleet.Replace(now, n.parseInstances(now, changes.Records()))
	} else {
		changed = n.applyInstanceChanges(now, changes.Records())
	}
	n.recentUpstreams.add(changes, full)
	n.mu.Unlock()
	if changed {
		n.updateGroups(now)
	}
}

// parseInstances returns the instances of a full listing. The last valid report of an upstream stays in force if its
// record is invalid now. The caller holds n.mu.
func (n *Node) parseInstances(now time.Time, changes []comfreyvale.Change) []*cvinstance.Instance {
	var found []*cvinstance.Instance
	for _, c := range changes {
		if i := n.parseInstance(now, c); i != nil {
			found = append(found, i)
		} else if known := n.fleet.Instance(c.Key()); known != nil {
			found = append(found, known)
		}
	}
	return found
}

// parseInstance returns nil if the record is invalid, which it logs once. The caller holds n.mu.
func (n *Node) parseInstance(now time.Time, change comfreyvale.Change) *cvinstance.Instance {
	if len(change.Value()) == 0 {
		return nil
	}
	i, err := n.ParseInstance(change.Key(), change.Value())
	if err == nil {
		err = i.Check(now)
	}
	if err == nil {
		n.ignored.forget(upstreamsDirectory, change.Key())
		return i
	}
	if n.ignored.add(upstreamsDirectory, change) {
		n.Logger.WithFields(log.Fields{"upstream": change.Key(), "offset": change.Offset()}).WithError(err).Warn("ignored an invalid upstream record")
	}
	return nil
}

func (n *Node) applyInstanceChanges(now time.Time, changes []comfreyvale.Change) bool {
	changed := false
	for _, c := range changes {
		if len(c.Value()) == 0 {
			changed = n.fleet.Remove(now, c.Key()) || changed
			continue
		}
		if i := n.parseInstance(now, c); i != nil {
			changed = n.fleet.Put(now, i) || changed
		}
	}
	return changed
}

// maxLoggedUpstreams limits one list of upstream ids in a log message.
const maxLoggedUpstreams = 8

// updateGroups passes the current instances to the slots of their groups, and logs the differences.
func (n *Node) updateGroups(now time.Time) {
	n.mu.Lock()
	byGroup := make(map[string][]*cvinstance.Instance)
	for group := range n.groups {
		byGroup[group] = nil
	}
	before, after := n.drainingByID, make(map[string]bool)
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
	n.drainingByID = after
	lapsed := n.fleet.Lapsed()
	n.mu.Unlock()
	for group, instances := range byGroup {
		n.slots(group).Update(now, instances)
	}
	n.indexUpstreams(byGroup)
	n.metrics.SetUpstreams(ready, draining, lapsed)
	added, removed, nowDraining := diffUpstreams(before, after)
	if len(added)+len(removed)+len(nowDraining) == 0 {
		// Only a sequence number or a remaining warm-up time changed, which is not logged.
		return
	}
	n.Logger.WithFields(log.Fields{
		"ready": ready, "draining": draining, "lapsed": lapsed, "added": added, "removed": removed, "nowDraining": nowDraining,
	}).Info("upstreams changed")
}

// diffUpstreams compares two maps that state for each upstream whether it is draining.
func diffUpstreams(before, after map[string]bool) (added, removed, nowDraining []string) {
	for id, draining := range after {
		wasDraining, known := before[id]
		if !known {
			added = append(added, id)
		}
		if draining && !wasDraining {
			nowDraining = append(nowDraining, id)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			removed = append(removed, id)
		}
	}
	return firstSorted(added), firstSorted(removed), firstSorted(nowDraining)
}

// firstSorted sorts the ids and returns the first maxLoggedUpstreams of them.
func firstSorted(ids []string) []string {
	slices.Sort(ids)
	return ids[:min(len(ids), maxLoggedUpstreams)]
}

// sweep removes expired instances and crash records, idle connections that are old or whose upstream was removed, and
// unused memory.
func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	expired := n.fleet.Expire(now)
	n.mu.Unlock()
	if expired {
		n.updateGroups(now)
	}
	n.expireCrashes(now)
	n.sweepDurations(now)
	n.memory.Trim()
	n.mu.Lock()
	// The map is never modified: updateGroups replaces it.
	known := n.drainingByID
	n.mu.Unlock()
	n.pool.Retain(now, func(id string) bool {
		_, wanted := known[id]
		return wanted
	})
}
