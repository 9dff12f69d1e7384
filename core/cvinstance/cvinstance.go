// Package cvinstance defines the instance of an upstream: one run of its process, as listed in the platform's
// directory.
package cvinstance

import "time"

// Instance is an upstream as described by one report in the directory. It is immutable; each further report makes
// another Instance.
type Instance struct {
	id             string
	group          string
	address        string
	dataCentre     string
	slots          int
	draining       bool
	warmUp         time.Duration
	startUnixMilli int64
	sequence       int64
}

// New returns an instance that is neither draining nor warming up. The address is host:port.
func New(id, group, address, dataCentre string, slots int) *Instance {
	return &Instance{id: id, group: group, address: address, dataCentre: dataCentre, slots: slots}
}

// WithState returns a copy with another Draining and WarmUp.
func (i *Instance) WithState(draining bool, warmUp time.Duration) *Instance {
	changed := *i
	changed.draining = draining
	changed.warmUp = warmUp
	return &changed
}

// WithSequence returns a copy with another StartUnixMilli and Sequence.
func (i *Instance) WithSequence(startUnixMilli, sequence int64) *Instance {
	changed := *i
	changed.startUnixMilli = startUnixMilli
	changed.sequence = sequence
	return &changed
}

// ID returns the identifier of the instance.
func (i *Instance) ID() string { return i.id }

// Group returns the name of the group that the upstream serves.
func (i *Instance) Group() string { return i.group }

// Address returns the address as host:port.
func (i *Instance) Address() string { return i.address }

// DataCentre returns the data centre in which the upstream runs.
func (i *Instance) DataCentre() string { return i.dataCentre }

// Slots returns how many requests the upstream runs at a time.
func (i *Instance) Slots() int { return i.slots }

// Draining reports whether the upstream accepts no new requests because it is shutting down.
func (i *Instance) Draining() bool { return i.draining }

// WarmUp returns how long after this report the upstream is still slow.
func (i *Instance) WarmUp() time.Duration { return i.warmUp }

// StartUnixMilli returns the start time of the upstream in Unix milliseconds.
func (i *Instance) StartUnixMilli() int64 { return i.startUnixMilli }

// Sequence returns the sequence number of this report, counted from the start.
func (i *Instance) Sequence() int64 { return i.sequence }

// Newer reports whether this report is of a later start than the other, or of the same start with a higher sequence
// number.
func (i *Instance) Newer(other *Instance) bool {
	if i.startUnixMilli != other.startUnixMilli {
		return i.startUnixMilli > other.startUnixMilli
	}
	return i.sequence > other.sequence
}

// SameStart reports whether both reports are of the same start of the upstream.
func (i *Instance) SameStart(other *Instance) bool { return i.startUnixMilli == other.startUnixMilli }
