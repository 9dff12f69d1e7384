package cvusage

import (
	"slices"
	"time"

	"comfreyvale/core/cvwire"
)

const (
	// maxStateEntries bounds a full-state message, which must fit into one datagram of 16 KB at some 22 bytes each.
	maxStateEntries = 500
	// digestRepeats is how often a change is told to other data centres, as digests are lost.
	digestRepeats = 2
)

// State returns the counts of this balancer's workspaces of the last 30 seconds, the latest first if there are too many.
func (u *Usage) State(now time.Time) []*cvwire.WorkspaceUsage {
	at := u.clock(now)
	var found []*workspace
	for _, w := range u.ordered {
		w.changed = false
		if w.rate > 0 && w.served && at-w.servedAt < memoryTime {
			found = append(found, w)
		}
	}
	if len(found) > maxStateEntries {
		slices.SortFunc(found, func(a, b *workspace) int { return int(b.servedAt - a.servedAt) })
		found = found[:maxStateEntries]
	}
	var told []*cvwire.WorkspaceUsage
	for _, w := range found {
		entry := w.own(at)
		entry.Level = u.level(at, w)
		told = append(told, entry)
	}
	return told
}

// Changes returns the counts of this balancer that have changed since the last call of Changes or State.
func (u *Usage) Changes(now time.Time) []*cvwire.WorkspaceUsage {
	var told []*cvwire.WorkspaceUsage
	at := u.clock(now)
	for _, w := range u.ordered {
		if w.changed && w.rate > 0 {
			told = append(told, w.own(at))
		}
		w.changed = false
	}
	return told
}

// level returns what is left of a workspace's bucket, or 0 if this balancer does not know it yet.
func (u *Usage) level(now time.Duration, w *workspace) float32 {
	const nearZero = 1e-3
	level := float32(w.quota.Level(now))
	switch {
	case !u.settled:
		return 0
	case level == 0:
		return nearZero
	}
	return level
}

func (w *workspace) own(now time.Duration) *cvwire.WorkspaceUsage {
	return &cvwire.WorkspaceUsage{Workspace: w.hash, Admitted: w.admitted, Demand: float32(w.demand.valueAt(now, demandTime))}
}

// Digest returns the counts of this data centre's balancers that have changed within a time. With heartbeats it adds for
// each of them an entry that shows that it is heard and where, and one count in turn, as digests are lost.
func (u *Usage) Digest(now time.Time, within time.Duration, heartbeats bool) []*cvwire.WorkspaceUsage {
	if !u.Active() {
		return nil
	}
	at := u.clock(now)
	since := at - within*digestRepeats
	var told []*cvwire.WorkspaceUsage
	if heartbeats {
		told = append(told, &cvwire.WorkspaceUsage{Admitted: int64(u.self)})
	}
	for _, w := range u.ordered {
		if w.rate > 0 && w.served && (w.changedAt >= since && w.changedAt > 0 || heartbeats && at-w.servedAt < memoryTime) {
			entry := w.own(at)
			if heartbeats {
				entry.Level = u.level(at, w)
			}
			told = append(told, entry)
		}
	}
	for _, p := range u.order {
		if p.near && !p.silent {
			told = append(told, u.digestOf(at, since, p, heartbeats)...)
		}
	}
	return told
}

func (u *Usage) digestOf(now, since time.Duration, p *peer, heartbeat bool) []*cvwire.WorkspaceUsage {
	var told []*cvwire.WorkspaceUsage
	tell := func(index int) {
		c := &p.counts[index]
		told = append(told, &cvwire.WorkspaceUsage{
			Process: p.process, Workspace: u.ordered[index].hash, Admitted: c.admitted,
			Demand: c.demand * float32(decay(now-c.at, demandTime)),
		})
	}
	for index := range p.counts {
		if c := &p.counts[index]; c.known && c.changedAt >= since && u.ordered[index].rate > 0 {
			tell(index)
		}
	}
	if !heartbeat {
		return told
	}
	told = append(told, &cvwire.WorkspaceUsage{Process: p.process, Admitted: int64(p.address)})
	for range p.counts {
		p.next = (p.next + 1) % len(p.counts)
		if p.counts[p.next].known && u.ordered[p.next].rate > 0 {
			tell(p.next)
			break
		}
	}
	return told
}
