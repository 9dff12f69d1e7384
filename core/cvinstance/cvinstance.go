// Package cvinstance is one run of one upstream, as the platform's directory tells it.
package cvinstance

import "time"

// Instance is an upstream from one start to its end. It never changes; news of it make another one.
type Instance struct {
	id         string
	group      string
	address    string
	dataCentre string
	slots      int
	draining   bool
	warmUp     time.Duration
	born       int64
	sequence   int64
}

// New returns an instance that takes work.
func New(id, group, address, dataCentre string, slots int) *Instance {
	return &Instance{id: id, group: group, address: address, dataCentre: dataCentre, slots: slots}
}

// WithState returns the instance with its state: draining takes no new work, warmUp is how long it is still slow.
func (i *Instance) WithState(draining bool, warmUp time.Duration) *Instance {
	changed := *i
	changed.draining = draining
	changed.warmUp = warmUp
	return &changed
}

// WithSequence returns the instance with its start, in Unix milliseconds, and the number of this report since then.
func (i *Instance) WithSequence(born, sequence int64) *Instance {
	changed := *i
	changed.born = born
	changed.sequence = sequence
	return &changed
}

// ID names the instance.
func (i *Instance) ID() string { return i.id }

// Group is the group that the upstream serves.
func (i *Instance) Group() string { return i.group }

// Address is host:port.
func (i *Instance) Address() string { return i.address }

// DataCentre is where the upstream runs.
func (i *Instance) DataCentre() string { return i.dataCentre }

// Slots is how many requests it runs at a time.
func (i *Instance) Slots() int { return i.slots }

// Draining says that the upstream is leaving.
func (i *Instance) Draining() bool { return i.draining }

// WarmUp is how long after this report the upstream is still slow.
func (i *Instance) WarmUp() time.Duration { return i.warmUp }

// StartUnixMilli is the Unix millisecond of the upstream's start.
func (i *Instance) StartUnixMilli() int64 { return i.born }

// Sequence is the number of this report since the start.
func (i *Instance) Sequence() int64 { return i.sequence }

// Newer says whether this report is of a later start, or later in the same start, than another one.
func (i *Instance) Newer(other *Instance) bool {
	if i.born != other.born {
		return i.born > other.born
	}
	return i.sequence > other.sequence
}

// SameStart says whether two reports are of the same start of the upstream.
func (i *Instance) SameStart(other *Instance) bool { return i.born == other.born }
