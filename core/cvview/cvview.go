// Package cvview is the roster at one epoch, and the home of each key by it.
package cvview

import (
	"cmp"
	"slices"

	"comfreyvale/core/cvhash"
	"comfreyvale/core/cvwire"
)

// homeLimit is how many members are homes of keys at most. All versions that run together must have the same.
const homeLimit = 8

// View is the list of balancers at an epoch. It never changes.
type View struct {
	epoch      int64
	members    []*cvwire.Member
	departures []*cvwire.Departure
	homes      []string
}

// New returns the view of an epoch.
func New(epoch int64, members []*cvwire.Member, departures []*cvwire.Departure) *View {
	return &View{epoch: epoch, members: members, departures: departures, homes: homes(members)}
}

// homes are the members that rank first by a hash of their names.
func homes(members []*cvwire.Member) []string {
	ranked := make([]string, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, m.GetIncarnation())
	}
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(cvhash.Pair("homes", b), cvhash.Pair("homes", a)) })
	return ranked[:min(len(ranked), homeLimit)]
}

// Epoch is the offset of the record that made the view.
func (v *View) Epoch() int64 { return v.epoch }

// Members are the balancers, by incarnation.
func (v *View) Members() []*cvwire.Member { return v.members }

// Incarnations are the members' names, in order.
func (v *View) Incarnations() []string {
	names := make([]string, 0, len(v.members))
	for _, m := range v.members {
		names = append(names, m.GetIncarnation())
	}
	return names
}

// Departures are the incarnations that left and whose journals may still hold claims that count.
func (v *View) Departures() []*cvwire.Departure { return v.departures }

// Homes are the incarnations that are homes of keys.
func (v *View) Homes() []string { return v.homes }

// Home is the incarnation that decides about a key, or empty without members.
func (v *View) Home(key string) string {
	home := ""
	var best uint64
	for _, h := range v.homes {
		if w := cvhash.Pair(key, h); home == "" || w > best {
			home, best = h, w
		}
	}
	return home
}

// Member returns the member of an incarnation, or nil.
func (v *View) Member(incarnation string) *cvwire.Member {
	i := slices.IndexFunc(v.members, func(m *cvwire.Member) bool { return m.GetIncarnation() == incarnation })
	if i < 0 {
		return nil
	}
	return v.members[i]
}

// MemberByProcess returns the member of a process, or nil.
func (v *View) MemberByProcess(process string) *cvwire.Member {
	i := slices.IndexFunc(v.members, func(m *cvwire.Member) bool { return m.GetProcess() == process })
	if i < 0 {
		return nil
	}
	return v.members[i]
}
