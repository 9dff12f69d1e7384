package cvusage

import (
	"slices"
	"time"

	"comfreyvale/core/cvwire"
)

const (
	// demandNoise is the factor by which a reported demand must exceed the faded one to show that requests have arrived.
	demandNoise = 1.02
	// contended is the part of a workspace's rate above which its demand makes early withholding necessary.
	contended = 0.7
	// minRecent is the number of recent requests below which nothing is kept for a silent peer.
	minRecent = 0.05
)

// source is where messages come from.
type source struct {
	heardAt time.Duration
	// gap is the usual time between two messages.
	gap time.Duration
}

// hear records a message, one of several that may arrive together.
func (s *source) hear(now time.Duration) {
	const together, weight = 5 * time.Millisecond, 5
	if elapsed := now - s.heardAt; elapsed >= together {
		s.gap += (min(elapsed, nearSilence) - s.gap) / weight
	}
	s.heardAt = now
}

// silence returns how long after the last message the source counts as silent, at most a limit.
func (s *source) silence(limit time.Duration) time.Duration {
	return min(max(silenceGaps*s.gap, minSilence), limit)
}

// peer is one run of another balancer.
type peer struct {
	source
	process uint64
	near    bool
	// address is the hash of the address, or 0 if it is not known.
	address uint32
	// firstHeardAt is the time of the first message from or about it.
	firstHeardAt time.Duration
	silent       bool
	// dataCentre is the other data centre whose digests tell of the peer, if any.
	dataCentre string
	// counts are by the index of the workspace.
	counts []count
	// next is the index of the workspace that is told again next without a change.
	next int
}

// count is what a peer has reported of a workspace.
type count struct {
	known    bool
	admitted int64
	// at is when it was last reported, changedAt when requests had arrived since the report before.
	at, changedAt time.Duration
	demand, rate  float32
	// recent is the decaying sum of the requests that it has admitted.
	recent      float32
	withholding *withholding
}

// withholding is what is kept for a silent peer.
type withholding struct {
	since       time.Duration
	part, taken float64
}

// Hear records a message of a balancer; near is set for one of this data centre.
func (u *Usage) Hear(now time.Time, address string, process uint64, near bool) {
	at := u.clock(now)
	u.locate(at, Hash(address), process)
	if p := u.peers[process]; p != nil && near {
		p.near = true
	}
}

// locate records that a process runs at an address. The share of an earlier process there is released. A late message of
// an earlier process is ignored.
func (u *Usage) locate(now time.Duration, address uint32, process uint64) {
	if _, ended := u.ended[process]; ended {
		return
	}
	if earlier, ok := u.processes[address]; ok && earlier != process {
		u.end(now, earlier)
	}
	u.processes[address] = process
	u.hear(now, process).address = address
}

func (u *Usage) hear(now time.Duration, process uint64) *peer {
	u.heardOther = true
	p := u.peers[process]
	if p == nil {
		p = &peer{process: process, firstHeardAt: now, source: source{heardAt: now, gap: nearSilence}}
		u.peers[process] = p
		u.order = append(u.order, p)
	}
	p.hear(now)
	p.silent = false
	return p
}

// end removes a process that has ended.
func (u *Usage) end(now time.Duration, process uint64) {
	p := u.peers[process]
	u.ended[process] = now
	if p == nil {
		return
	}
	for index := range p.counts {
		c := &p.counts[index]
		u.release(now, u.ordered[index], c)
		u.ordered[index].forget(now, p, c)
	}
	delete(u.peers, process)
	u.order = slices.DeleteFunc(u.order, func(other *peer) bool { return other == p })
	if u.processes[p.address] == process {
		delete(u.processes, p.address)
	}
}

// forget removes what a count adds to the sums over all balancers.
func (w *workspace) forget(now time.Duration, p *peer, c *count) {
	w.othersDemand.add(now, demandTime, -float64(c.demand)*decay(now-c.at, demandTime))
	_ = w.unseen.replace(now, c.at, float64(c.rate), 0, p.delay())
	c.demand, c.rate = 0, 0
}

// release returns to the bucket what was kept for a silent peer. What the peer admitted is subtracted with its counts.
func (u *Usage) release(now time.Duration, w *workspace, c *count) {
	if k := c.withholding; k != nil {
		w.quota.Release(now, k.part, k.taken+w.quota.Rate()*k.part*(now-k.since).Seconds())
		c.withholding = nil
	}
}

func (p *peer) delay() time.Duration {
	if p.near {
		return 0
	}
	return remoteDelay
}

// Record records the counts in a message. sender is the process that the entries without a process are about, and
// dataCentre the data centre whose digest the message is, or empty; whole is set for a full-state message of a balancer.
func (u *Usage) Record(now time.Time, sender uint64, dataCentre string, whole bool, told []*cvwire.WorkspaceUsage) {
	at := u.clock(now)
	if dataCentre != "" {
		if u.dataCentres[dataCentre] == nil {
			u.dataCentres[dataCentre] = &source{heardAt: at, gap: nearSilence}
		}
		u.dataCentres[dataCentre].hear(at)
	}
	if whole && len(u.ordered) == 0 && !u.settled {
		u.keep(sender, told)
	}
	for _, t := range told {
		process := t.GetProcess()
		if process == 0 {
			process = sender
		}
		if _, ended := u.ended[process]; ended {
			continue
		}
		p := u.hear(at, process)
		if dataCentre != "" {
			p.dataCentre = dataCentre
		}
		if t.GetWorkspace() == 0 {
			u.locate(at, uint32(t.GetAdmitted()), process)
			u.confirm(at, p)
			continue
		}
		w := u.byHash[t.GetWorkspace()]
		if w == nil {
			continue
		}
		if len(p.counts) <= w.index {
			p.counts = append(p.counts, make([]count, len(u.ordered)-len(p.counts))...)
		}
		u.recordCount(at, p, w, t)
		if t.GetLevel() != 0 && w.rate > 0 {
			u.recordLevel(at, p, w, float64(t.GetLevel()))
		}
	}
	if whole && dataCentre == "" {
		u.releaseUnlisted(at, sender)
	}
}

// releaseUnlisted ends what is withheld for a peer that is heard again and has not served the workspaces lately: a
// full-state message lists all that it has served within memoryTime.
func (u *Usage) releaseUnlisted(now time.Duration, process uint64) {
	p := u.peers[process]
	if p == nil {
		return
	}
	for index := range p.counts {
		if c := &p.counts[index]; c.withholding != nil && now > c.withholding.since {
			u.release(now, u.ordered[index], c)
		}
	}
}

// early is a state message that came before the first configuration.
type early struct {
	sender uint64
	told   []*cvwire.WorkspaceUsage
}

// keep keeps a state message until the configuration is known. A configuration without quotas needs none.
func (u *Usage) keep(sender uint64, told []*cvwire.WorkspaceUsage) {
	const maxKept = 300
	if len(told) > 0 && len(u.early) < maxKept {
		u.early = append(u.early, early{sender: sender, told: told})
	}
}

// confirm records that a peer has reported nothing of its other workspaces because it had no requests of them.
func (u *Usage) confirm(now time.Duration, p *peer) {
	for index := range p.counts {
		if c := &p.counts[index]; c.rate > 0 {
			u.ordered[index].recordRate(now, p, c, 0)
			c.fade(now)
		}
	}
}

// fade brings what decays to a time.
func (c *count) fade(now time.Duration) {
	c.demand *= float32(decay(now-c.at, demandTime))
	c.recent *= float32(decay(now-c.at, shareTime))
	c.at = now
}

// recordRate records that a peer has admitted requests since its last report.
func (w *workspace) recordRate(now time.Duration, p *peer, c *count, added float64) {
	const negligible = 0.01
	rate := float64(c.rate)*decay(now-c.at, recentTime) + added/recentTime.Seconds()
	if rate < negligible {
		rate = 0
	}
	_ = w.unseen.replace(now, c.at, float64(c.rate), float64(float32(rate)), p.delay())
	c.rate = float32(rate)
}

// recordLevel takes the first level that another balancer reports, the lowest of those that come at the same time. Later
// ones move the level a little, so that differences from lost and late counts don't last: a balancer whose level is too
// low would refuse everything as long as the others use up the rate.
func (u *Usage) recordLevel(now time.Duration, p *peer, w *workspace, told float64) {
	if !w.levelKnown {
		w.levelKnown, w.levelAt = true, now
		w.quota.SetFill(now, 1)
		w.quota.SetLevel(now, told)
		return
	}
	level := w.quota.Level(now)
	if now-w.levelAt < firstLevelTime && w.levelAt > 0 {
		w.quota.SetLevel(now, min(level, told))
		return
	}
	gain := levelGain / float64(max(len(u.dataCentres), 1))
	if p.near {
		gain = levelGain / float64(max(u.nearCount, 1))
	}
	w.quota.Add(now, gain*(told-level))
}

func (u *Usage) recordCount(now time.Duration, p *peer, w *workspace, t *cvwire.WorkspaceUsage) {
	c := &p.counts[w.index]
	admitted := t.GetAdmitted()
	if c.known && admitted < c.admitted && !p.near && now-c.changedAt < reorderTime {
		return
	}
	u.release(now, w, c)
	added := float64(admitted - c.admitted)
	if !c.known {
		// A process that appeared after this one has settled has admitted all of them since; of others, the level that
		// was reported contains them.
		added = 0
		if p.firstHeardAt > settleTime {
			added = min(float64(admitted), w.size)
		}
	}
	w.counted = true
	if added != 0 {
		w.quota.Add(now, -added)
		w.countOfAll(now, added)
	}
	faded := float64(c.demand) * decay(now-c.at, demandTime)
	if admitted != c.admitted || float64(t.GetDemand()) > faded*demandNoise {
		c.changedAt = now
	}
	c.recent = float32(max(float64(c.recent)*decay(now-c.at, shareTime)+added, 0))
	w.recordRate(now, p, c, added)
	w.othersDemand.add(now, demandTime, float64(t.GetDemand())-faded)
	c.known, c.admitted, c.at, c.demand = true, admitted, now, t.GetDemand()
}

// Tick looks for balancers that have become silent. addresses reports whether any other balancer may run. Call it often.
func (u *Usage) Tick(now time.Time, addresses bool) {
	u.addresses = addresses
	u.tick(u.clock(now))
}

func (u *Usage) tick(now time.Duration) {
	if now-u.tickedAt < tickTime && now > 0 {
		return
	}
	u.tickedAt = now
	u.settle(now)
	u.nearCount = 0
	// Peers that end are removed from the list meanwhile.
	for _, p := range slices.Clone(u.order) {
		if p.near && !p.silent {
			u.nearCount++
		}
		limit, latest := p.silence(nearSilence), nearSilence
		from := &p.source
		if !p.near {
			latest = remoteSilence
			if from = u.dataCentres[p.dataCentre]; from != nil {
				limit = from.silence(nearSilence)
			}
		}
		silence := now - p.heardAt
		switch {
		case silence >= memoryTime:
			u.end(now, p.process)
			// It may be cut off rather than stopped, and come back.
			delete(u.ended, p.process)
		case p.silent:
		case silence >= latest:
			p.silent = true
			u.withhold(now, p, 0)
		case from != nil && now-from.heardAt >= limit:
			u.withhold(now, p, contended)
		}
	}
	for process, at := range u.ended {
		if now-at >= endedTime {
			delete(u.ended, process)
		}
	}
	for _, w := range u.ordered {
		copy(w.totals[1:], w.totals[:snapshots-1])
		w.totals[0] = decaying{value: w.admittedByAll.valueAt(now, shareTime), at: now}
	}
}

// withhold keeps the share of a peer that has become silent, as of before its silence, of the workspaces whose demand is
// more than a part of their rate.
func (u *Usage) withhold(now time.Duration, p *peer, above float64) {
	for index := range p.counts {
		c, w := &p.counts[index], u.ordered[index]
		recent := float64(c.recent) * decay(p.heardAt-c.at, shareTime)
		if c.withholding != nil || recent < minRecent || above > 0 && w.total(now) < above*w.rate {
			continue
		}
		part := recent / max(w.totalAt(p.heardAt), recent)
		// What the peer has probably admitted since its last report is gone from the level, which matters where little is
		// left.
		unseen := w.unseen.replace(now, c.at, float64(c.rate), 0, p.delay())
		c.rate = 0
		if w.total(now) < contended*w.rate {
			unseen = 0
		}
		w.quota.Add(now, -unseen)
		w.forget(now, p, c)
		c.at, c.recent = now, float32(recent)
		c.withholding = &withholding{since: now, part: part, taken: unseen + w.quota.Withhold(now, part)}
	}
}

// settle sets by how much the buckets fill. While this balancer starts, and no level was reported, it is the part of the
// balancers that were heard: after a stop of all, nobody can report a level, and requests must not wait for it. What ran
// before the stop and the rate since then stay within the bound, as the buckets start nearly empty.
func (u *Usage) settle(now time.Duration) {
	if !u.settled && now >= settleTime {
		u.settled = true
		for _, w := range u.ordered {
			if u.heardOther && !w.levelKnown && !w.counted {
				// Nobody has served the workspace lately.
				w.quota.Fill(now)
			}
			w.levelKnown = true
		}
	}
	for _, w := range u.ordered {
		switch {
		case u.settled || !u.addresses:
			w.quota.SetFill(now, u.fill())
		case !w.levelKnown:
			w.quota.SetFill(now, u.startFill())
		}
	}
}

// fill returns the part of the rate that this balancer and those it hears may use, before any is silent.
func (u *Usage) fill() float64 {
	if u.addresses && !u.heardOther {
		return 1.0 / assumedBalancers
	}
	return 1
}

// startFill returns the part of the rate that is used before a level is known: that of the balancers that were heard, as
// if a few more were not, or many more if none was.
func (u *Usage) startFill() float64 {
	const unheard = 2
	if len(u.order) == 0 {
		return u.fill()
	}
	heard := float64(len(u.order))
	return (1 + heard) / (1 + heard + unheard)
}

// NewsAge returns the time since the balancer that has been silent longest, of those that still have a share, was heard.
func (u *Usage) NewsAge(now time.Time) time.Duration {
	at := u.clock(now)
	oldest := at
	for _, p := range u.peers {
		oldest = min(oldest, p.heardAt)
	}
	return at - oldest
}
