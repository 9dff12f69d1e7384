package cvpeertable

import (
	"time"

	"comfreyvale"
	"comfreyvale/core/cvwire"
)

// Members returns the states of the live balancers of this data centre without this one.
func (t *Table) Members(now time.Time) []*cvwire.BalancerState {
	var found []*cvwire.BalancerState
	for _, address := range t.Live(now, true) {
		p := t.peers[address]
		found = append(found, &cvwire.BalancerState{
			Address: address, AgeMs: uint32(now.Sub(p.receivedAt).Milliseconds()), Version: p.version, Stopping: p.stopping,
			DirectoryAway: p.directoryAway, Unreadable: p.unreadable, Reading: p.readsForOthers,
			ReadAgeMs: uint32(min(now.Sub(p.readAt), time.Hour).Milliseconds()), RoutesNext: p.routesNext.Offset(), UpstreamsNext: p.upstreamsNext.Offset(),
			RoutesEra: p.routesNext.Era(), UpstreamsEra: p.upstreamsNext.Era(), Demand: p.demand,
		})
	}
	return found
}

// RecordMembers records the states of the balancers of another data centre. States older than the known ones are
// ignored.
func (t *Table) RecordMembers(now time.Time, dataCentre string, members []*cvwire.BalancerState) {
	if dataCentre == "" || dataCentre == t.DataCentre {
		return
	}
	for _, m := range members {
		if m.GetAddress() == t.Self || m.GetAddress() == "" {
			continue
		}
		heardAt := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		p := t.entry(now, m.GetAddress())
		p.dataCentre = dataCentre
		if heardAt.Before(p.receivedAt) {
			continue
		}
		p.receivedAt = heardAt
		p.version, p.stopping = m.GetVersion(), m.GetStopping()
		p.directoryAway, p.unreadable, p.readsForOthers = m.GetDirectoryAway(), m.GetUnreadable(), m.GetReading()
		p.readAt = now.Add(-time.Duration(m.GetReadAgeMs()) * time.Millisecond)
		p.demand = m.GetDemand()
		p.routesNext = comfreyvale.NewPosition(m.GetRoutesEra(), m.GetRoutesNext())
		p.upstreamsNext = comfreyvale.NewPosition(m.GetUpstreamsEra(), m.GetUpstreamsNext())
	}
}

// RemoteDataCentres returns the live balancers of each other data centre, sorted by address.
func (t *Table) RemoteDataCentres(now time.Time) map[string][]string {
	found := make(map[string][]string)
	for _, address := range t.Live(now, false) {
		if p := t.peers[address]; t.remote(p) {
			found[p.dataCentre] = append(found[p.dataCentre], address)
		}
	}
	return found
}

// Speaks reports whether this balancer has the turn to send its data centre's state to the others in a slot. The
// live balancers of a data centre take turns, so that the loss of any of them costs single messages.
func (t *Table) Speaks(now time.Time, slot int64) bool {
	index, count := 0, 1
	for _, address := range t.Live(now, true) {
		count++
		if address < t.Self {
			index++
		}
	}
	return slot%int64(count) == int64(index)
}

// KnowsOthers reports whether there are addresses at which other balancers may run.
func (t *Table) KnowsOthers() bool { return len(t.peers) > 0 }

// Demands returns the rates of the requests of the other balancers that are not stopping, by address, as they last told
// them. A balancer that is silent keeps its share of what all divide for sharerTimeout. isolated reports that there are
// other addresses, but that no balancer has been heard of lately: this one has just started or is cut off.
func (t *Table) Demands(now time.Time) (demands map[string]float64, isolated bool) {
	demands = make(map[string]float64)
	isolated = len(t.peers) > 0
	for address, p := range t.peers {
		if t.isLive(now, p) {
			isolated = false
		}
		if !p.stopping && !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < sharerTimeout {
			demands[address] = float64(p.demand)
		}
	}
	return demands, isolated
}
