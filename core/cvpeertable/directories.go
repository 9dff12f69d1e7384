package cvpeertable

import (
	"time"

	"comfreyvale"
)

// DirectorySource returns the address of a live balancer, preferably of this data centre, that has a configuration and
// can read the directory of upstreams, or an empty string.
func (t *Table) DirectorySource(now time.Time) string {
	best := ""
	for a, p := range t.peers {
		if p.directoryAway || p.version == 0 || !t.isLive(now, p) {
			continue
		}
		if t.preferred(a, best) {
			best = a
		}
	}
	return best
}

// OwnsReading reports whether this balancer, if it can read the platform's directories, must read them for its data
// centre. Peers that cannot read them are not considered.
func (t *Table) OwnsReading(now time.Time) bool {
	return t.owns(now, readTask, func(p *peer) bool { return !p.unreadable })
}

// IsDeputyReader reports whether this balancer, which does not read the directories for others, is the one of its data
// centre to read if the reader gets no answer.
func (t *Table) IsDeputyReader(now time.Time) bool {
	return t.owns(now, deputyTask, func(p *peer) bool { return !p.unreadable && !p.readsForOthers })
}

// Ahead returns balancers that have read the routes and the upstreams beyond the given positions, preferably of this data
// centre, or empty strings. It considers only live balancers that are not stopping and whose last read is younger than
// within. readByPeer reports whether one of these, whatever its positions, reads for others and sent a message within
// readerTimeout.
func (t *Table) Ahead(now time.Time, within time.Duration, routes, upstreams comfreyvale.Position) (ofRoutes, ofUpstreams string, readByPeer bool) {
	for a, p := range t.peers {
		if !t.isLive(now, p) || p.stopping || now.Sub(p.readAt) >= within {
			continue
		}
		readByPeer = readByPeer || p.readsForOthers && now.Sub(p.receivedAt) < readerTimeout
		if routes.Before(p.routesNext) && t.preferred(a, ofRoutes) {
			ofRoutes = a
		}
		if upstreams.Before(p.upstreamsNext) && t.preferred(a, ofUpstreams) {
			ofUpstreams = a
		}
	}
	return ofRoutes, ofUpstreams, readByPeer
}

// preferred reports whether address a is preferred to b, which may be empty: balancers of this data centre come first.
func (t *Table) preferred(a, b string) bool {
	if b == "" {
		return true
	}
	near, otherNear := t.peers[a].dataCentre == t.DataCentre, t.peers[b].dataCentre == t.DataCentre
	if near != otherNear {
		return near
	}
	return a < b
}

// NewestVersion returns the highest configuration version of the live balancers and the address of one that has it,
// preferably of this data centre.
func (t *Table) NewestVersion(now time.Time) (address string, version int64) {
	for a, p := range t.peers {
		if !t.isLive(now, p) || p.version == 0 || p.version < version {
			continue
		}
		if p.version > version || t.preferred(a, address) {
			address, version = a, p.version
		}
	}
	return address, version
}
