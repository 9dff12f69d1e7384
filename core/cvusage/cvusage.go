// Package cvusage counts the requests of workspaces with a quota over all balancers, and decides by these counts.
//
// The load it handles: 300 balancers and some hundred workspaces of skewed size. Each balancer reports cumulative counts
// of what it has admitted; a lost report is replaced by the next. Decisions take constant time however many balancers
// there are, as sums over all of them are kept up to date with each report.
package cvusage

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyvale/core/cvquota"
	"comfreyvale/core/cvterms"
	"comfreyvale/core/cvworkspace"
)

const (
	// demandTime is the time constant of the demand that arrives at a balancer: callers that exceed a quota exceed it for
	// seconds. Reported demands fade by it too, as each request is followed by a report.
	demandTime = time.Second
	// shareTime is the time constant of the counts by which the share of a silent balancer is set: long enough to hold
	// several requests of a small workspace at each of many balancers.
	shareTime = 10 * time.Second
	// admittedTime is the time constant of the rate of admitted requests.
	admittedTime = time.Second
	// recentTime is the time constant of the rate at which one other balancer admits requests.
	recentTime = 500 * time.Millisecond
	// remoteDelay is the usual age of reports that come from other data centres through digests.
	remoteDelay = 80 * time.Millisecond
	// nearSilence and remoteSilence are how long after its last message a balancer counts as silent: a full-state message
	// and a part of the time to the next, or nearSilence and the next heartbeat in a digest.
	nearSilence   = 650 * time.Millisecond
	remoteSilence = 1200 * time.Millisecond
	// Where demand is close to the quota or above, a balancer or a data centre without digests counts as silent after
	// silenceGaps times the usual time between two messages, at least minSilence: who is noticed late may admit as much as
	// all others meanwhile.
	minSilence  = 150 * time.Millisecond
	silenceGaps = 3
	// memoryTime is how long a silent balancer keeps its share, and how long a workspace is listed after its last request.
	memoryTime = 30 * time.Second
	// endedTime is how long messages of a process that was replaced are ignored: they may be late. If it is heard after
	// that, it runs, and the message about the other process was late.
	endedTime = 2 * time.Second
	// settleTime is how long after its start a balancer waits for the level that others report.
	settleTime = 2 * time.Second
	// startLevel is the level of a bucket at a start before any is reported, in requests: enough for the first ones of a
	// small workspace at the few balancers that get them before they hear of each other.
	startLevel = 2
	// assumedBalancers is how many balancers one counts that has not heard of any, though there are addresses.
	assumedBalancers = 12
	// tickTime is the time between two looks at silent balancers.
	tickTime = 100 * time.Millisecond
	// snapshots is the number of records, one each tickTime, of what all balancers have admitted. They reach back beyond
	// remoteSilence, as the share of a silent balancer is that of before its silence.
	snapshots = 16
	// firstLevelTime is how long after the first reported level a lower one replaces it. levelGain is the part of the
	// difference from the reported levels that is taken over in the time of one full-state message.
	firstLevelTime = 200 * time.Millisecond
	levelGain      = 0.3
	// rateTolerance and sizeTolerance are the parts of the tolerance that the rate and the size of a bucket use.
	rateTolerance = 0.3
	sizeTolerance = 0.4
	// reorderTime is how long a lower count from another data centre is taken for an older report that came late.
	reorderTime = time.Second
)

// Usage holds the counts of all balancers. It is not safe for concurrent use.
type Usage struct {
	// OnAdmitted is called with the requests of a workspace that any balancer has admitted, when this one learns of them;
	// the number is negative for requests that did not run. It may be nil.
	OnAdmitted func(workspace string, requests int)

	self       uint32
	startedAt  time.Time
	workspaces map[string]*workspace
	byHash     map[uint32]*workspace
	// ordered holds the workspaces by index; those whose quota was removed stay, with a rate of 0.
	ordered []*workspace
	active  int
	// peers holds the other processes, order the same in the order in which they were first heard.
	peers map[uint64]*peer
	order []*peer
	// processes holds the processes by the hashes of their addresses, ended those that others have replaced.
	processes map[uint32]uint64
	ended     map[uint64]time.Duration
	// dataCentres are the other data centres whose digests are received.
	dataCentres map[string]*source
	early       []early
	// addresses reports whether any other balancer may run.
	addresses  bool
	settled    bool
	heardOther bool
	tickedAt   time.Duration
	// nearCount is the number of the other balancers of this data centre that are not silent.
	nearCount int
}

// workspace holds the bucket of a workspace and sums over all balancers.
type workspace struct {
	usage *Usage
	name  string
	hash  uint32
	index int
	rate  float64
	size  float64
	quota cvquota.Quota
	// levelAt is when another balancer first reported a level, or 0.
	levelAt time.Duration
	// levelKnown reports that the level no longer depends on others' reports; counted that others have reported requests.
	levelKnown, counted bool
	// admitted counts the requests that this balancer has admitted, less those that did not run.
	admitted            int64
	changedAt, servedAt time.Duration
	changed, served     bool
	// demand is the rate of the requests that arrive here.
	demand decaying
	// othersDemand is the sum of the demands of the others that are not silent.
	othersDemand decaying
	unseen       unseen
	// rateOfAll is the rate of the requests that all balancers have admitted.
	rateOfAll decaying
	// admittedByAll is the decaying sum of the requests that all balancers have admitted lately, by which shares are set.
	admittedByAll decaying
	refusedAt     time.Duration
	// totals are earlier values of admittedByAll, the newest first.
	totals [snapshots]decaying
}

// New returns the counts of a balancer that starts and has the given address.
func New(now time.Time, address string) *Usage {
	return &Usage{
		self:      Hash(address),
		startedAt: now, workspaces: make(map[string]*workspace), byHash: make(map[uint32]*workspace),
		peers: make(map[uint64]*peer), processes: make(map[uint32]uint64), ended: make(map[uint64]time.Duration), dataCentres: make(map[string]*source),
	}
}

// Hash returns the hash that identifies a workspace or an address in messages.
func Hash(name string) uint32 {
	// An entry with the hash 0 is about the process itself.
	return max(uint32(xxhash.Sum64String(name)), 1)
}

// clock returns a time as the time since the start.
func (u *Usage) clock(now time.Time) time.Duration { return max(now.Sub(u.startedAt), 0) }

// Active reports whether any workspace has a quota.
func (u *Usage) Active() bool { return u.active > 0 }

// SetWorkspaces sets the quotas in force. A part of the tolerance of the terms goes into the buckets; the rest is for what
// balancers admit before they hear of each other.
func (u *Usage) SetWorkspaces(now time.Time, all map[string]*cvworkspace.Workspace, terms cvterms.Terms) {
	at := u.clock(now)
	for name, w := range u.workspaces {
		if all[name] == nil {
			u.setRate(w, 0)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		workspace := all[name]
		w := u.workspaces[name]
		if w == nil && workspace.RatePerS() <= 0 {
			continue
		}
		rate := workspace.RatePerS()
		spare := rate * rateTolerance * terms.QuotaOver()
		size := max(workspace.Burst()*(1+sizeTolerance*terms.QuotaOver())+sizeTolerance*terms.QuotaSlack(), 1)
		if w == nil {
			w = u.add(at, name, rate, spare, size)
		} else {
			w.quota.SetLimit(at, rate, spare, size)
		}
		w.size = size
		u.setRate(w, workspace.RatePerS())
	}
	for _, e := range u.early {
		u.Record(now, e.sender, "", true, e.told)
	}
	u.early = nil
}

func (u *Usage) setRate(w *workspace, rate float64) {
	if w.rate > 0 {
		u.active--
	}
	if rate > 0 {
		u.active++
	}
	w.rate = rate
}

func (u *Usage) add(now time.Duration, name string, rate, spare, size float64) *workspace {
	w := &workspace{usage: u, name: name, hash: Hash(name), index: len(u.ordered), quota: cvquota.New(now, rate, spare, size), refusedAt: -memoryTime}
	u.workspaces[name], u.byHash[w.hash] = w, w
	u.ordered = append(u.ordered, w)
	if u.settled {
		// A quota that is new in the configuration starts full.
		w.levelKnown = true
		w.quota.SetFill(now, u.fill())
		w.quota.Fill(now)
		return w
	}
	w.quota.SetLevel(now, startLevel)
	return w
}

// Take counts a request of a workspace. If its quota is used up, Take returns false and when the caller should come back.
func (u *Usage) Take(now time.Time, name string) (retryAfter time.Duration, ok bool) {
	w := u.workspaces[name]
	if w == nil || w.rate <= 0 {
		return 0, true
	}
	at := u.clock(now)
	u.tick(at)
	w.demand.add(at, demandTime, 1/demandTime.Seconds())
	w.servedAt, w.changedAt, w.served, w.changed = at, at, true, true
	own := w.demand.valueAt(at, demandTime)
	total := own + w.othersDemand.valueAt(at, demandTime)
	requests, age := w.unseen.estimate(at)
	if total < contended*w.rate {
		// Far below the rate, late reports must not make up for tokens that are left.
		requests = 0
	}
	retryAfter, ok = w.quota.Take(at, own, total, requests, age)
	if !ok {
		w.refusedAt = at
		return retryAfter, false
	}
	w.count(at, 1)
	return 0, true
}

// Return gives back what Take took for a request that did not run.
func (u *Usage) Return(now time.Time, name string) {
	if w := u.workspaces[name]; w != nil && w.rate > 0 {
		at := u.clock(now)
		w.quota.Add(at, 1)
		w.count(at, -1)
	}
}

func (w *workspace) count(now time.Duration, requests int64) {
	w.admitted += requests
	w.changedAt, w.changed = now, true
	w.countOfAll(now, float64(requests))
}

func (w *workspace) countOfAll(now time.Duration, requests float64) {
	if w.usage.OnAdmitted != nil {
		w.usage.OnAdmitted(w.name, int(requests))
	}
	w.rateOfAll.add(now, admittedTime, requests/admittedTime.Seconds())
	w.admittedByAll.add(now, shareTime, requests)
}

// AdmittedPerSecond returns the recent rate of a workspace's admitted requests over all balancers. Workspaces without a
// quota are not counted.
func (u *Usage) AdmittedPerSecond(now time.Time, name string) float64 {
	w := u.workspaces[name]
	if w == nil {
		return 0
	}
	return w.rateOfAll.valueAt(u.clock(now), admittedTime)
}

// Status returns what is left of a workspace's bucket, this balancer's share of the demand that is heard, and the part of
// the bucket that is kept for silent balancers.
func (u *Usage) Status(now time.Time, name string) (level, share, withheld float64) {
	w := u.workspaces[name]
	if w == nil {
		return 0, 0, 0
	}
	at := u.clock(now)
	own := w.demand.valueAt(at, demandTime)
	if total := own + w.othersDemand.valueAt(at, demandTime); total > 0 {
		share = own / total
	}
	return w.quota.Level(at), share, w.quota.Withheld()
}

// OverQuota returns the number of workspaces of which a request was refused within the last second.
func (u *Usage) OverQuota(now time.Time) int {
	count, at := 0, u.clock(now)
	for _, w := range u.ordered {
		if w.rate > 0 && at-w.refusedAt < time.Second {
			count++
		}
	}
	return count
}

// LeastLeft returns the lowest level of all buckets, in requests, or 0 without quotas.
func (u *Usage) LeastLeft(now time.Time) float64 {
	least, found := 0.0, false
	for _, w := range u.ordered {
		if level := w.quota.Level(u.clock(now)); w.rate > 0 && (!found || level < least) {
			least, found = level, true
		}
	}
	return least
}

// total returns the rate of the requests that arrive at all balancers that are heard.
func (w *workspace) total(now time.Duration) float64 {
	return w.demand.valueAt(now, demandTime) + w.othersDemand.valueAt(now, demandTime)
}

// totalAt returns admittedByAll as of the first record after a time, or the oldest one.
func (w *workspace) totalAt(at time.Duration) float64 {
	found := w.totals[0]
	for _, t := range w.totals {
		if t.at < at {
			break
		}
		found = t
	}
	return found.valueAt(at, shareTime)
}
