// Package cvroster is the rule by which every balancer turns the roster stream into the same list of balancers.
package cvroster

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvrecovery"
	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
)

// departureLife is how long a departed incarnation's journal may hold claims that count: the longest claim window and an hour.
const departureLife = 25 * time.Hour

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Roster applies the records of the roster stream in offset order.
// Its state depends on the records before Through alone.
type Roster struct {
	through    int64
	epoch      int64
	members    []*cvwire.Member
	departures []*cvwire.Departure
	gone       map[string]bool
}

// New returns an empty roster of a stream's first record.
func New() *Roster {
	return &Roster{through: 1, gone: make(map[string]bool)}
}

// NextOffset is the offset of the next record to apply.
func (r *Roster) NextOffset() int64 { return r.through }

// Epoch is the offset of the last record that changed the members.
func (r *Roster) Epoch() int64 { return r.epoch }

// Members are the balancers in the roster, by incarnation.
func (r *Roster) Members() []*cvwire.Member { return r.members }

// Member returns the member of an incarnation, or nil.
func (r *Roster) Member(incarnation string) *cvwire.Member {
	for _, m := range r.members {
		if m.GetIncarnation() == incarnation {
			return m
		}
	}
	return nil
}

// Departed says whether an incarnation has left. It never comes back.
func (r *Roster) Departed(incarnation string) bool { return r.gone[incarnation] }

// View returns the roster as it is now, without departures that no longer count.
func (r *Roster) View(now time.Time) *cvview.View {
	return cvview.New(r.epoch, r.members, r.counting(now))
}

// counting are the departures whose journals may still hold claims that count.
func (r *Roster) counting(now time.Time) []*cvwire.Departure {
	var found []*cvwire.Departure
	for _, d := range r.departures {
		if now.Sub(time.UnixMilli(d.GetAtUnixMs())) < departureLife {
			found = append(found, d)
		}
	}
	return found
}

// Apply takes the next record and returns whether it changed the members.
// A record that is not the next is an error of KindInvalid and changes nothing.
func (r *Roster) Apply(record comfreyvale.Record) (bool, error) {
	if record.Offset() != r.through {
		err := errors.Errorf("record %d came, %d is next", record.Offset(), r.through)
		return false, fault{cvfault.New("apply", comfreyvale.KindInvalid, err)}
	}
	r.through++
	var message cvwire.RosterRecord
	if proto.Unmarshal(record.Body(), &message) != nil {
		return false, nil
	}
	changed := false
	switch change := message.GetChange().(type) {
	case *cvwire.RosterRecord_Join:
		changed = r.join(change.Join)
	case *cvwire.RosterRecord_Leave:
		changed = r.depart(change.Leave, message.GetAtUnixMs(), true)
	case *cvwire.RosterRecord_Evict:
		changed = r.depart(change.Evict, message.GetAtUnixMs(), false)
	}
	if changed {
		r.epoch = record.Offset()
	}
	return changed, nil
}

// IsCheckpoint says whether a record of the roster stream is a checkpoint.
func IsCheckpoint(record comfreyvale.Record) bool {
	_, through := decodeCheckpoint(record.Body())
	return through > 0
}

func (r *Roster) join(m *cvwire.Member) bool {
	if m.GetIncarnation() == "" || r.gone[m.GetIncarnation()] || r.Member(m.GetIncarnation()) != nil {
		return false
	}
	r.members = append(slices.Clone(r.members), m)
	slices.SortFunc(r.members, func(a, b *cvwire.Member) int { return cmp.Compare(a.GetIncarnation(), b.GetIncarnation()) })
	return true
}

func (r *Roster) depart(incarnation string, at int64, clean bool) bool {
	if r.Member(incarnation) == nil {
		return false
	}
	r.members = slices.DeleteFunc(slices.Clone(r.members), func(m *cvwire.Member) bool { return m.GetIncarnation() == incarnation })
	r.departures = append(r.departures, &cvwire.Departure{Incarnation: incarnation, AtUnixMs: at, Clean: clean})
	r.gone[incarnation] = true
	return true
}

// Checkpoint returns the whole state without departures that no longer count.
func (r *Roster) Checkpoint(now time.Time) *cvwire.RosterCheckpoint {
	return &cvwire.RosterCheckpoint{Through: r.through, Epoch: r.epoch, Members: r.members, Departures: r.counting(now)}
}

// Recover continues after records that the stream no longer keeps, from a checkpoint among those kept.
// It returns whether there was one that can be used.
func (r *Roster) Recover(batch comfreyvale.Batch) bool {
	recovery := cvrecovery.Recovery[*cvwire.RosterCheckpoint]{Decode: decodeCheckpoint}
	best, found := recovery.Choose(batch)
	if !found || best.GetThrough() <= r.through {
		return false
	}
	r.restore(best)
	return true
}

func decodeCheckpoint(body []byte) (*cvwire.RosterCheckpoint, int64) {
	var message cvwire.RosterRecord
	if proto.Unmarshal(body, &message) != nil {
		return nil, 0
	}
	return message.GetCheckpoint(), message.GetCheckpoint().GetThrough()
}

func (r *Roster) restore(c *cvwire.RosterCheckpoint) {
	r.through = c.GetThrough()
	r.epoch = c.GetEpoch()
	r.members = c.GetMembers()
	r.departures = c.GetDepartures()
	for _, d := range c.GetDepartures() {
		r.gone[d.GetIncarnation()] = true
	}
}
