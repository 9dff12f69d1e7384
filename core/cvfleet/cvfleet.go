// Package cvfleet tracks the upstream instances listed in the platform's directory.
package cvfleet

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale/core/cvinstance"
)

const (
	// reregisterGrace is how long after an outage of the directory an entry that lapsed during it, or after a restoration
	// from an older copy an entry that was lost, may return. Running
	// upstreams report again within two seconds; the remainder is the time to read their reports.
	reregisterGrace = 2500 * time.Millisecond
	// minOutage is the shortest outage in which entries of running upstreams can lapse: upstreams report every 1.5
	// seconds, and an entry lapses after three missing reports.
	minOutage = 3 * time.Second
	// removedRetention is how long the last report of a removed instance is kept, so that an older report that arrives
	// late does not add it again. Reports are late by a few seconds at most.
	removedRetention = 2 * time.Minute
)

// Fleet is the set of instances, updated from the directory. It is not safe for concurrent use.
type Fleet struct {
	present          map[string]*cvinstance.Instance
	removed          map[string]removal
	lapsed           map[string]bool
	unreachableSince time.Time
	graceStart       time.Time
}

type removal struct {
	lastReport *cvinstance.Instance
	at         time.Time
	// fromPeer means that the instance was missing in a peer's listing, which may have been outdated.
	fromPeer bool
}

// supersedes reports whether a report of the removed instance must be ignored. A removal by a peer's listing supersedes
// only reports older than the last known one.
func (r removal) supersedes(instance *cvinstance.Instance) bool {
	if r.fromPeer {
		return r.lastReport.Newer(instance)
	}
	return !instance.Newer(r.lastReport)
}

func (f *Fleet) init() {
	if f.present == nil {
		f.present = make(map[string]*cvinstance.Instance)
		f.removed = make(map[string]removal)
		f.lapsed = make(map[string]bool)
	}
}

// Put applies a report and reports whether the set changed. It ignores a report that is not newer than the last one,
// and one that ends the draining of an instance that has not restarted.
func (f *Fleet) Put(now time.Time, instance *cvinstance.Instance) bool {
	f.init()
	id := instance.ID()
	if r, ok := f.removed[id]; ok && r.supersedes(instance) {
		return false
	}
	known := f.present[id]
	if known != nil && !instance.Newer(known) {
		// Another read of the same report confirms an entry that had lapsed.
		if instance.SameStart(known) {
			delete(f.lapsed, id)
		}
		return false
	}
	if known != nil && known.SameStart(instance) && known.Draining() && !instance.Draining() {
		return false
	}
	delete(f.removed, id)
	delete(f.lapsed, id)
	f.present[id] = instance
	return true
}

// Remove applies the removal of an entry and reports whether the set changed. Within reregisterGrace after an outage or
// a restoration of the directory it keeps the instance until that time has passed, as the entry may have lapsed or been
// lost by it.
func (f *Fleet) Remove(now time.Time, id string) bool {
	f.init()
	if f.present[id] == nil {
		return false
	}
	if f.inGrace(now) {
		f.lapsed[id] = true
		return false
	}
	f.drop(now, id)
	return true
}

func (f *Fleet) inGrace(now time.Time) bool {
	return !f.graceStart.IsZero() && now.Sub(f.graceStart) < reregisterGrace
}

func (f *Fleet) drop(now time.Time, id string) {
	f.removed[id] = removal{lastReport: f.present[id], at: now}
	delete(f.present, id)
	delete(f.lapsed, id)
}

// ReplaceFromPeer is like Replace for a listing that a peer has read. As that may have been outdated, the same report
// may add a removed instance again.
func (f *Fleet) ReplaceFromPeer(now time.Time, instances []*cvinstance.Instance) bool {
	before := f.Instances()
	changed := f.Replace(now, instances)
	for _, i := range before {
		if r, ok := f.removed[i.ID()]; ok && f.present[i.ID()] == nil {
			r.fromPeer = true
			f.removed[i.ID()] = r
		}
	}
	return changed
}

// Replace applies a full listing of the directory, calls Remove for the instances missing in it, and reports whether
// the set changed.
func (f *Fleet) Replace(now time.Time, instances []*cvinstance.Instance) bool {
	f.init()
	changed := false
	listed := make(map[string]bool, len(instances))
	for _, i := range instances {
		listed[i.ID()] = true
		changed = f.Put(now, i) || changed
	}
	for id := range f.present {
		if !listed[id] {
			changed = f.Remove(now, id) || changed
		}
	}
	return changed
}

// MarkDirectoryUnreachable records that the directory cannot be read.
func (f *Fleet) MarkDirectoryUnreachable(now time.Time) {
	if f.unreachableSince.IsZero() {
		f.unreachableSince = now
	}
}

// MarkDirectoryReachable records that the directory can be read again. If a peer could read it meanwhile, upstreams
// could report during the outage, so missing entries are removed at once.
func (f *Fleet) MarkDirectoryReachable(now time.Time, peerReached bool) {
	if f.DirectoryUnreachable() && !peerReached && now.Sub(f.unreachableSince) >= minOutage {
		f.graceStart = now
	}
	f.unreachableSince = time.Time{}
}

// MarkDirectoryRestored records that the directory was restored from an older copy. Entries that are missing in it may
// have been written since, and are written again by upstreams that still run.
func (f *Fleet) MarkDirectoryRestored(now time.Time) { f.graceStart = now }

// DirectoryUnreachable reports whether the directory cannot be read.
func (f *Fleet) DirectoryUnreachable() bool { return !f.unreachableSince.IsZero() }

// DirectoryUnreachableSince returns the time since which the directory cannot be read, or the zero time.
func (f *Fleet) DirectoryUnreachableSince() time.Time { return f.unreachableSince }

// Expire removes the instances whose entries lapsed and did not return in time, and reports whether there were any.
func (f *Fleet) Expire(now time.Time) bool {
	for id, r := range f.removed {
		if now.Sub(r.at) > removedRetention {
			delete(f.removed, id)
		}
	}
	if f.inGrace(now) || len(f.lapsed) == 0 {
		return false
	}
	for id := range f.lapsed {
		f.drop(now, id)
	}
	return true
}

// Instances returns the instances sorted by ID.
func (f *Fleet) Instances() []*cvinstance.Instance {
	found := make([]*cvinstance.Instance, 0, len(f.present))
	for _, i := range f.present {
		found = append(found, i)
	}
	slices.SortFunc(found, func(a, b *cvinstance.Instance) int { return cmp.Compare(a.ID(), b.ID()) })
	return found
}

// Instance returns the instance with an ID, or nil.
func (f *Fleet) Instance(id string) *cvinstance.Instance { return f.present[id] }

// Lapsed returns the number of instances that are kept although their entries lapsed or were lost.
func (f *Fleet) Lapsed() int { return len(f.lapsed) }
