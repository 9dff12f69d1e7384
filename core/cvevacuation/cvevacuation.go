// Package cvevacuation keeps which data centres are evacuated, by the operator's records.
//
// The load it handles: a balancer learns of an evacuation by reading the operator's topic, by records that another
// balancer has read, and by snapshots of other balancers, in any order and late. An evacuation that has ended must not
// come back with an old snapshot, nor end with an old listing. So the state is that of one position of the topic, and
// only later positions change it.
package cvevacuation

import (
	"maps"
	"slices"
	"strings"

	"comfreyvale"
)

// Evacuation is the set of evacuated data centres. It is not safe for concurrent use.
type Evacuation struct {
	// Prefix begins the keys of the records that name a data centre. Without it, no record names one.
	Prefix string

	// next is the position up to which the records are known.
	next      comfreyvale.Position
	evacuated map[string]bool
}

// Listed applies a full listing of the topic: data centres without a record in it are not evacuated. It ignores a
// listing of an earlier position.
func (e *Evacuation) Listed(listing comfreyvale.Changes) {
	if listing.Next().Before(e.next) {
		return
	}
	listed := make(map[string]bool)
	for _, r := range listing.Records() {
		if name, ok := e.dataCentre(r.Key()); ok && len(r.Value()) > 0 {
			listed[name] = true
		}
	}
	e.evacuated, e.next = listed, listing.Next()
}

// Followed applies the records that follow those of a listing. It ignores records of positions that are known already.
func (e *Evacuation) Followed(changes comfreyvale.Changes) {
	for _, r := range changes.Records() {
		name, ok := e.dataCentre(r.Key())
		if !ok || comfreyvale.NewPosition(changes.Next().Era(), r.Offset()).Before(e.next) {
			continue
		}
		if len(r.Value()) == 0 {
			delete(e.evacuated, name)
			continue
		}
		if e.evacuated == nil {
			e.evacuated = make(map[string]bool)
		}
		e.evacuated[name] = true
	}
	if e.next.Before(changes.Next()) {
		e.next = changes.Next()
	}
}

// Told applies what another balancer knows as of a position, if that is a later one.
func (e *Evacuation) Told(next comfreyvale.Position, dataCentres []string) {
	if !e.next.Before(next) {
		return
	}
	e.evacuated, e.next = make(map[string]bool, len(dataCentres)), next
	for _, name := range dataCentres {
		e.evacuated[name] = true
	}
}

// dataCentre returns the data centre that a key names.
func (e *Evacuation) dataCentre(key string) (name string, ok bool) {
	name, ok = strings.CutPrefix(key, e.Prefix)
	return name, ok && e.Prefix != "" && name != ""
}

// DataCentres returns the sorted names of the evacuated data centres.
func (e *Evacuation) DataCentres() []string { return slices.Sorted(maps.Keys(e.evacuated)) }

// Next returns the position up to which the records are known, or the zero position.
func (e *Evacuation) Next() comfreyvale.Position { return e.next }
