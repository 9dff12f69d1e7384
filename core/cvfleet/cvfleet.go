// Package cvfleet is the set of upstream instances that the platform's directory names.
package cvfleet

import (
	"cmp"
	"slices"
	"time"

	"comfreyvale/core/cvinstance"
)

const (
	// returnGrace is how long after the directory's return an entry that lapsed meanwhile may still come back.
	// Upstreams that live report again within two seconds; the rest is the time for reading that.
	returnGrace = 2500 * time.Millisecond
	// lapseTime is how long the directory must be away before entries of living upstreams can lapse: they report every
	// 1.5 seconds and lapse after three reports are missing.
	lapseTime = 3 * time.Second
	// removedLife is how long the last report of a removed instance is remembered, so that an older one that arrives
	// late does not bring it back. Reports are late by seconds at most.
	removedLife = 2 * time.Minute
)

// Fleet follows the directory. It is not safe for concurrent use.
type Fleet struct {
	present  map[string]*cvinstance.Instance
	removed  map[string]removal
	lapsed   map[string]bool
	away     time.Time
	returned time.Time
}

type removal struct {
	last *cvinstance.Instance
	at   time.Time
	// hearsay says that another balancer's reading lacked the instance, which may have been behind.
	hearsay bool
}

// bars says whether a report is one that the removal has overtaken.
func (r removal) bars(instance *cvinstance.Instance) bool {
	if r.hearsay {
		return r.last.Newer(instance)
	}
	return !instance.Newer(r.last)
}

func (f *Fleet) init() {
	if f.present == nil {
		f.present = make(map[string]*cvinstance.Instance)
		f.removed = make(map[string]removal)
		f.lapsed = make(map[string]bool)
	}
}

// Put takes a report and returns whether it changed the set. A report that is older than one already taken is passed over.
func (f *Fleet) Put(now time.Time, instance *cvinstance.Instance) bool {
	f.init()
	id := instance.ID()
	if gone, ok := f.removed[id]; ok && gone.bars(instance) {
		return false
	}
	known := f.present[id]
	if known != nil && !instance.Newer(known) {
		// A report that was read twice confirms an entry that had lapsed.
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

// Remove takes the news that an entry is gone and returns whether that changed the set. Entries that lapsed while the
// directory was away keep their instance until the grace after its return is over.
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
	return !f.returned.IsZero() && now.Sub(f.returned) < returnGrace
}

func (f *Fleet) drop(now time.Time, id string) {
	f.removed[id] = removal{last: f.present[id], at: now}
	delete(f.present, id)
	delete(f.lapsed, id)
}

// ReplaceFromPeer takes a whole reading that another balancer has made: what it lacks is gone, but the same report may come back,
// as that reading may have been behind. It returns whether the set changed.
func (f *Fleet) ReplaceFromPeer(now time.Time, instances []*cvinstance.Instance) bool {
	before := f.Instances()
	changed := f.Replace(now, instances)
	for _, i := range before {
		if gone, ok := f.removed[i.ID()]; ok && f.present[i.ID()] == nil {
			gone.hearsay = true
			f.removed[i.ID()] = gone
		}
	}
	return changed
}

// Replace takes a whole reading of the directory: instances that it lacks are gone. It returns whether the set changed.
func (f *Fleet) Replace(now time.Time, instances []*cvinstance.Instance) bool {
	f.init()
	changed := false
	named := make(map[string]bool, len(instances))
	for _, i := range instances {
		named[i.ID()] = true
		changed = f.Put(now, i) || changed
	}
	for id := range f.present {
		if !named[id] {
			changed = f.Remove(now, id) || changed
		}
	}
	return changed
}

// MarkDirectoryUnreachable says that the directory cannot be read.
func (f *Fleet) MarkDirectoryUnreachable(now time.Time) {
	if f.away.IsZero() {
		f.away = now
	}
}

// MarkDirectoryReachable says that the directory can be read again. Alone says that others could read it all the while: upstreams could
// report, and what is gone has left.
func (f *Fleet) MarkDirectoryReachable(now time.Time, alone bool) {
	if f.DirectoryUnreachable() && !alone && now.Sub(f.away) >= lapseTime {
		f.returned = now
	}
	f.away = time.Time{}
}

// DirectoryUnreachable says whether the directory cannot be read.
func (f *Fleet) DirectoryUnreachable() bool { return !f.away.IsZero() }

// DirectoryUnreachableSince is when the directory could not be read any more, or zero.
func (f *Fleet) DirectoryUnreachableSince() time.Time { return f.away }

// Expire drops instances whose entry lapsed and did not come back in time, and returns whether there were any.
func (f *Fleet) Expire(now time.Time) bool {
	for id, r := range f.removed {
		if now.Sub(r.at) > removedLife {
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

// Instances returns the instances by name.
func (f *Fleet) Instances() []*cvinstance.Instance {
	found := make([]*cvinstance.Instance, 0, len(f.present))
	for _, i := range f.present {
		found = append(found, i)
	}
	slices.SortFunc(found, func(a, b *cvinstance.Instance) int { return cmp.Compare(a.ID(), b.ID()) })
	return found
}

// Lapsed is the number of instances whose entry lapsed while the directory was away.
func (f *Fleet) Lapsed() int { return len(f.lapsed) }
