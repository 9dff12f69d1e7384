// Package cvroster implements the roster, the list of balancers that every balancer derives from the same log stream.
package cvroster

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvcheckpoint"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvview"
	"comfreyvale/core/cvwire"
)

// departureRetention is how long views and checkpoints include a departure, because the journal of the departed
// incarnation can hold unexpired claims. It is the longest claim window, which is 24 hours, plus one hour.
const departureRetention = 25 * time.Hour

type fault struct{ cvfault.Fault }

// Roster applies the records of the roster stream in offset order. Its state depends only on the records before
// NextOffset, so all balancers derive the same roster. It is not safe for concurrent use.
type Roster struct {
	nextOffset int64
	epoch      int64
	members    []*cvwire.Member
	departures []*cvwire.Departure
	departed   map[string]bool
}

// New returns an empty roster whose next record is the first of the stream.
func New() *Roster {
	return &Roster{nextOffset: 1, departed: make(map[string]bool)}
}

// NextOffset returns the offset of the next record to apply.
func (r *Roster) NextOffset() int64 { return r.nextOffset }

// Epoch returns the offset of the last record that changed the members.
func (r *Roster) Epoch() int64 { return r.epoch }

// Members returns the balancers in the roster, sorted by incarnation.
func (r *Roster) Members() []*cvwire.Member { return r.members }

// Member returns the member with the given incarnation, or nil.
func (r *Roster) Member(incarnation string) *cvwire.Member {
	for _, m := range r.members {
		if m.GetIncarnation() == incarnation {
			return m
		}
	}
	return nil
}

// Departed reports whether an incarnation is known to have left the roster; it cannot join again. After Recover,
// earlier departures that are not in the checkpoint may be unknown.
func (r *Roster) Departed(incarnation string) bool { return r.departed[incarnation] }

// View returns the roster at its current epoch, with the departures within departureRetention.
func (r *Roster) View(now time.Time) *cvview.View {
	return cvview.New(r.epoch, r.members, r.recentDepartures(now))
}

func (r *Roster) recentDepartures(now time.Time) []*cvwire.Departure {
	var recent []*cvwire.Departure
	for _, d := range r.departures {
		if now.Sub(time.UnixMilli(d.GetAtUnixMs())) < departureRetention {
			recent = append(recent, d)
		}
	}
	return recent
}

// Apply applies the next record and returns whether it changed the members. It skips a record that is malformed or has
// no effect. A record with another offset than NextOffset is an error of KindInvalid and changes nothing.
func (r *Roster) Apply(record comfreyvale.Record) (bool, error) {
	if record.Offset() != r.nextOffset {
		err := errors.Errorf("cannot apply record at offset %d, expected offset %d", record.Offset(), r.nextOffset)
		return false, fault{cvfault.New("apply", comfreyvale.KindInvalid, err)}
	}
	r.nextOffset++
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

// IsCheckpoint reports whether a record of the roster stream is a checkpoint.
func IsCheckpoint(record comfreyvale.Record) bool {
	_, through := decodeCheckpoint(record.Body())
	return through > 0
}

// join adds a member, unless its incarnation is empty, already a member or departed.
func (r *Roster) join(m *cvwire.Member) bool {
	if m.GetIncarnation() == "" || r.departed[m.GetIncarnation()] || r.Member(m.GetIncarnation()) != nil {
		return false
	}
	r.members = append(slices.Clone(r.members), m)
	slices.SortFunc(r.members, func(a, b *cvwire.Member) int { return cmp.Compare(a.GetIncarnation(), b.GetIncarnation()) })
	return true
}

// depart returns false if the incarnation is not a member.
func (r *Roster) depart(incarnation string, atUnixMs int64, clean bool) bool {
	if r.Member(incarnation) == nil {
		return false
	}
	r.members = slices.DeleteFunc(slices.Clone(r.members), func(m *cvwire.Member) bool { return m.GetIncarnation() == incarnation })
	r.departures = append(r.departures, &cvwire.Departure{Incarnation: incarnation, AtUnixMs: atUnixMs, Clean: clean})
	r.departed[incarnation] = true
	return true
}

// Checkpoint returns the state, with only the departures within departureRetention.
func (r *Roster) Checkpoint(now time.Time) *cvwire.RosterCheckpoint {
	return &cvwire.RosterCheckpoint{Through: r.nextOffset, Epoch: r.epoch, Members: r.members, Departures: r.recentDepartures(now)}
}

// Recover restores the newest usable checkpoint in a batch, for a roster whose next record the stream no longer keeps.
// It returns false if there is none or it covers no more records than this roster has applied.
func (r *Roster) Recover(batch comfreyvale.Batch) bool {
	selector := cvcheckpoint.Selector[*cvwire.RosterCheckpoint]{Decode: decodeCheckpoint}
	best, found := selector.Choose(batch)
	if !found || best.GetThrough() <= r.nextOffset {
		return false
	}
	r.restore(best)
	return true
}

// decodeCheckpoint returns a record's checkpoint and the first offset that it does not cover, or 0 without a
// checkpoint.
func decodeCheckpoint(body []byte) (*cvwire.RosterCheckpoint, int64) {
	var message cvwire.RosterRecord
	if proto.Unmarshal(body, &message) != nil {
		return nil, 0
	}
	return message.GetCheckpoint(), message.GetCheckpoint().GetThrough()
}

func (r *Roster) restore(c *cvwire.RosterCheckpoint) {
	r.nextOffset = c.GetThrough()
	r.epoch = c.GetEpoch()
	r.members = c.GetMembers()
	r.departures = c.GetDepartures()
	for _, d := range c.GetDepartures() {
		r.departed[d.GetIncarnation()] = true
	}
}
