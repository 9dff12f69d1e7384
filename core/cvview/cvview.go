// Package cvview provides the roster at one epoch, and the choice of each key's home by rendezvous hashing.
package cvview

import (
	"cmp"
	"slices"

	"comfreyvale/core/cvhash"
	"comfreyvale/core/cvwire"
)

// maxHomes is the maximum number of members that are homes of keys. All versions that run together must have the same
// value, or they disagree about the homes.
const maxHomes = 8

// View is the roster at an epoch. It is immutable.
type View struct {
	epoch      int64
	members    []*cvwire.Member
	departures []*cvwire.Departure
	homes      []string
}

// New returns the view at an epoch. The members must be sorted by incarnation.
func New(epoch int64, members []*cvwire.Member, departures []*cvwire.Departure) *View {
	return &View{epoch: epoch, members: members, departures: departures, homes: homes(members)}
}

// homes returns the incarnations with the highest hashes, up to maxHomes.
func homes(members []*cvwire.Member) []string {
	ranked := make([]string, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, m.GetIncarnation())
	}
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(cvhash.Pair("homes", b), cvhash.Pair("homes", a)) })
	return ranked[:min(len(ranked), maxHomes)]
}

// Epoch returns the log offset of the roster record that produced the view.
func (v *View) Epoch() int64 { return v.epoch }

// Members returns the balancers, sorted by incarnation.
func (v *View) Members() []*cvwire.Member { return v.members }

// Incarnations returns the incarnations of the members, sorted.
func (v *View) Incarnations() []string {
	names := make([]string, 0, len(v.members))
	for _, m := range v.members {
		names = append(names, m.GetIncarnation())
	}
	return names
}

// Departures returns the incarnations that left the roster and whose journals may hold unexpired claims.
func (v *View) Departures() []*cvwire.Departure { return v.departures }

// Homes returns the incarnations that are homes of keys.
func (v *View) Homes() []string { return v.homes }

// Home returns the incarnation that is the home of a key, or an empty string if there are no members.
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

// Member returns the member with the given incarnation, or nil.
func (v *View) Member(incarnation string) *cvwire.Member {
	i := slices.IndexFunc(v.members, func(m *cvwire.Member) bool { return m.GetIncarnation() == incarnation })
	if i < 0 {
		return nil
	}
	return v.members[i]
}

// MemberByProcess returns the member that runs in a process, or nil.
func (v *View) MemberByProcess(process string) *cvwire.Member {
	i := slices.IndexFunc(v.members, func(m *cvwire.Member) bool { return m.GetProcess() == process })
	if i < 0 {
		return nil
	}
	return v.members[i]
}
