package cvadmission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvadmission"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvwaiter"
)

// The load that is played: upstreams of few slots on machines whose neighbours make them slow for 300 ms at a time.
const (
	playedUpstreams = 12
	playedSlots     = 4
	playedWork      = 120 * time.Millisecond
	playedTarget    = 300 * time.Millisecond
	playedDeadline  = time.Second
	playedEpoch     = 300 * time.Millisecond
	playedSlowShare = 0.25
	playedSlowness  = 4
	playedFull      = 1.7
	playedTime      = 60 * time.Second
	// playedTick is the time between two looks at what the passing of time makes necessary, and between two news.
	playedTick = 20 * time.Millisecond
)

// playedStart is when a play begins.
var playedStart = time.Unix(1000, 0)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

// events is a queue of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// upstream is one that is played: it knows what runs on it, and how slow its machine is at a time.
type upstream struct {
	running int
	queue   []func(now time.Time)
	seed    uint64
	// share is how much of its time the machine is slow.
	share float64
}

func (u *upstream) slowness(now time.Time) float64 {
	epoch := uint64(now.UnixNano()) / uint64(playedEpoch)
	if rand.New(rand.NewPCG(u.seed, epoch)).Float64() < u.share {
		return playedSlowness
	}
	return 1
}

// played is what callers got.
type played struct {
	onTime, late, refused, total int
}

func (p played) share() float64 { return float64(p.onTime) / float64(p.total) }

// player plays a load against a way to decide.
type player struct {
	random    *rand.Rand
	queue     events
	upstreams []*upstream
	got       played
}

func newPlayer(seed uint64) *player {
	p := &player{random: rand.New(rand.NewPCG(seed, 1))}
	for n := range playedUpstreams {
		p.upstreams = append(p.upstreams, &upstream{seed: seed*1000 + uint64(n), share: playedSlowShare})
	}
	return p
}

func (p *player) at(when time.Time, do func(now time.Time)) { heap.Push(&p.queue, event{when, do}) }

// every has something done again and again while the load is played.
func (p *player) every(do func(now time.Time)) {
	for tick := playedStart; tick.Before(playedStart.Add(playedTime + time.Second)); tick = tick.Add(playedTick) {
		p.at(tick, do)
	}
}

// run plays arrivals at a rate, open loop.
func (p *player) run(perSecond float64, arrive func(now time.Time)) played {
	start := playedStart
	var next func(now time.Time)
	next = func(now time.Time) {
		p.got.total++
		arrive(now)
		if gap := time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)); now.Sub(start) < playedTime {
			p.at(now.Add(gap), next)
		}
	}
	p.at(start, next)
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(event)
		e.do(e.at)
	}
	return p.got
}

// begin starts work on an upstream and returns how long it takes.
func (p *player) begin(now time.Time, n int) time.Duration {
	u := p.upstreams[n]
	u.running++
	took := float64(playedWork) * math.Exp(0.3*p.random.NormFloat64()) * u.slowness(now)
	if u.running >= playedSlots {
		took *= playedFull
	}
	return time.Duration(took)
}

func (p *player) answered(arrived, now time.Time) {
	switch took := now.Sub(arrived); {
	case took <= playedTarget:
		p.got.onTime++
	case took <= playedDeadline:
		p.got.late++
	}
}

// naive takes a random upstream with a free slot, and lets requests wait in order until their deadline.
func naive(seed uint64, perSecond float64) played {
	p := newPlayer(seed)
	var waiting []time.Time
	var advance func(now time.Time)
	advance = func(now time.Time) {
		for len(waiting) > 0 {
			arrived := waiting[0]
			if now.Sub(arrived) > playedDeadline {
				waiting = waiting[1:]
				p.got.refused++
				continue
			}
			first := p.random.IntN(playedUpstreams)
			found := -1
			for i := range playedUpstreams {
				if n := (first + i) % playedUpstreams; p.upstreams[n].running < playedSlots {
					found = n
					break
				}
			}
			if found < 0 {
				return
			}
			waiting = waiting[1:]
			p.at(now.Add(p.begin(now, found)), func(now time.Time) {
				p.upstreams[found].running--
				p.answered(arrived, now)
				advance(now)
			})
		}
	}
	return p.run(perSecond, func(now time.Time) {
		waiting = append(waiting, now)
		advance(now)
	})
}

// ours decides by the real admission and selector, which know the machines by the reports that answers bring.
func ours(seed uint64, perSecond float64) played {
	p := newPlayer(seed)
	selector := &cvselector.Selector{DataCentre: "dc"}
	var instances []*cvinstance.Instance
	for n := range playedUpstreams {
		instances = append(instances, cvinstance.New(fmt.Sprint(n), "g", "", "dc", playedSlots))
	}
	selector.Update(time.Unix(1000, 0), instances)
	a := &cvadmission.Admission{Selector: selector}
	var advance func(now time.Time)
	start := func(now time.Time, w *cvwaiter.Waiter) {
		var n int
		fmt.Sscan(w.Instance().ID(), &n)
		p.at(now.Add(p.begin(now, n)), func(now time.Time) {
			running := p.upstreams[n].running
			p.upstreams[n].running--
			selector.Done(now, w.Instance().ID(), w.GrantedAt(), comfreyvale.ResultAnswered)
			selector.RecordReport(now, w.Instance().ID(), cvloadreport.New(running, 0, playedSlots, p.upstreams[n].slowness(now)), 1)
			a.RecordRelease(now)
			p.answered(w.EnteredAt(), now)
			advance(now)
		})
	}
	advance = func(now time.Time) {
		for a.Len() > 0 {
			w, ok := a.Next(now, p.random.Uint64())
			if !ok {
				break
			}
			start(now, w)
		}
		p.got.refused += len(a.RemoveExpired(now))
	}
	// Looks that the passing of time makes necessary.
	p.every(advance)
	return p.run(perSecond, func(now time.Time) {
		w := cvwaiter.New(now, cvrequirements.New(now.Add(playedTarget), now.Add(playedDeadline), 0, false).WithServiceTime(playedWork))
		switch a.Enter(now, p.random.Uint64(), w) {
		case cvadmission.Granted:
			start(now, w)
		case cvadmission.Refused:
			p.got.refused++
		}
	})
}

// TestSimulatedLoad plays 60 seconds of load and compares what callers get with a naive way: at every load more of them are
// answered on time, and in overload most of those that the machines could serve.
func TestSimulatedLoad(t *testing.T) {
	// A machine of usual speed serves three requests at a time without turning slow; a quarter of the machines is slow.
	capacity := playedUpstreams * (playedSlots - 1) / playedWork.Seconds() * (1 - playedSlowShare)
	cases := map[string]struct {
		load, least float64
	}{
		"a third of the load": {0.33, 0.9},
		"most of the load":    {0.8, 0.75},
		"all of it":           {1.0, 0.6},
		"overload":            {1.5, 0.4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				mine, other := ours(seed, c.load*capacity), naive(seed, c.load*capacity)
				t.Logf("seed %d: ours %+v %.3f, naive %+v %.3f", seed, mine, mine.share(), other, other.share())
				require.GreaterOrEqual(t, mine.share(), c.least)
				require.Greater(t, mine.share(), other.share())
			}
		})
	}
}

// TestRefusesAtOnce refuses a request for which a slot cannot be expected in time, and lets no request wait past that.
func TestRefusesAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	selector := &cvselector.Selector{DataCentre: "dc"}
	selector.Update(start, []*cvinstance.Instance{cvinstance.New("0", "g", "", "dc", 1)})
	a := &cvadmission.Admission{Selector: selector}
	need := cvrequirements.New(start.Add(playedTarget), start.Add(playedDeadline), 0, false).WithServiceTime(playedWork)
	require.Equal(t, cvadmission.Granted, a.Enter(start, 1, cvwaiter.New(start, need)))
	waiting := 0
	for range 100 {
		if a.Enter(start, 1, cvwaiter.New(start, need)) == cvadmission.Waiting {
			waiting++
		}
	}
	require.Positive(t, waiting)
	require.Less(t, waiting, 20)
	require.Empty(t, a.RemoveExpired(start.Add(playedTarget-playedWork-time.Millisecond)))
	require.Len(t, a.RemoveExpired(start.Add(playedTarget-playedWork)), waiting)
	require.Zero(t, a.Len())
}

// ordered is a request that waits for the only slot.
type ordered struct {
	name     string
	target   time.Duration
	priority int
}

// TestOrder gives a slot to the more urgent request, among equals to the one whose time ends first, and to those that
// cannot be on time any more last.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		wait    []ordered
		freed   time.Duration
		granted []string
	}{
		"urgency, then time": {
			wait:    []ordered{{"late", 9 * time.Second, 2}, {"soon", 8 * time.Second, 2}, {"urgent", 30 * time.Second, 1}},
			granted: []string{"urgent", "soon", "late"},
		},
		"late ones last, even urgent": {
			wait:    []ordered{{"late", 300 * time.Millisecond, 1}, {"timely", time.Second, 2}},
			freed:   310 * time.Millisecond,
			granted: []string{"timely", "late"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.granted, grants(t, c.wait, c.freed)) })
	}
}

// grants has requests wait for a slot that comes free again and again after a time, and returns who gets it.
func grants(t *testing.T, wait []ordered, freed time.Duration) []string {
	start := time.Unix(1000, 0)
	selector := &cvselector.Selector{DataCentre: "dc"}
	selector.Update(start, []*cvinstance.Instance{cvinstance.New("0", "g", "", "dc", 1)})
	a := &cvadmission.Admission{Selector: selector}
	names := make(map[*cvwaiter.Waiter]string)
	enter := func(o ordered) *cvwaiter.Waiter {
		w := cvwaiter.New(start, cvrequirements.New(start.Add(o.target), start.Add(time.Minute), o.priority, false).WithServiceTime(time.Millisecond))
		names[w] = o.name
		a.Enter(start, 1, w)
		return w
	}
	running := enter(ordered{"first", time.Second, 0})
	for _, o := range wait {
		enter(o)
	}
	var granted []string
	for n := range wait {
		now := start.Add(freed + time.Duration(n+1)*time.Millisecond)
		selector.Done(now, "0", running.GrantedAt(), comfreyvale.ResultAnswered)
		w, ok := a.Next(now, 1)
		require.True(t, ok)
		granted = append(granted, names[w])
		running = w
	}
	return granted
}

// TestTakesALateSlotWhenNobodyWaits serves a request late rather than refuse it while a slot is free, however long the
// work is expected to take and however seldom slots come free.
func TestTakesALateSlotWhenNobodyWaits(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		work     time.Duration
		slowness float64
	}{
		"a slow machine":                      {playedWork, 4},
		"more work than the target allows":    {2 * playedTarget, 1},
		"both":                                {2 * playedTarget, 4},
		"work of nearly the target, and slow": {playedTarget - time.Millisecond, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			selector := &cvselector.Selector{DataCentre: "dc"}
			selector.Update(start, []*cvinstance.Instance{cvinstance.New("0", "g", "", "dc", 4)})
			a := &cvadmission.Admission{Selector: selector}
			a.RecordRelease(start.Add(-10 * time.Second))
			a.RecordRelease(start)
			selector.RecordPeerReport(start, "0", 0, 0, c.slowness)
			w := cvwaiter.New(start, cvrequirements.New(start.Add(playedTarget), start.Add(playedDeadline), 0, false).WithServiceTime(c.work))
			verdict := a.Enter(start, 1, w)
			require.NotEqual(t, cvadmission.Refused, verdict)
			for now := start; verdict == cvadmission.Waiting && now.Before(start.Add(playedTarget)); now = now.Add(10 * time.Millisecond) {
				selector.RecordPeerReport(now, "0", 0, 0, c.slowness)
				if _, ok := a.Next(now, 1); ok {
					verdict = cvadmission.Granted
				}
				require.Empty(t, a.RemoveExpired(now))
			}
			require.Equal(t, cvadmission.Granted, verdict)
		})
	}
}
