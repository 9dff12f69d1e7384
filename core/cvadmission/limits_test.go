package cvadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvadmission"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvshares"
	"comfreyvale/core/cvwaiter"
)

// The simulated fleet with request limits: some upstreams begin to name one. Balancers learn of it from their own
// answers and, later, from each other.
const (
	// limitSimPerBalancer are the requests a second, and limitSimUpstreams the upstreams, of which there are for each
	// balancer. limitSimSlots are the slots of an upstream.
	limitSimPerBalancer = 8.0
	limitSimUpstreams   = 3
	limitSimSlots       = 3
	limitSimTime        = 14 * time.Second
	// limitSimFrom is when upstreams begin to name their limits.
	limitSimFrom = 2 * time.Second
	// limitSimCounts is the interval at which balancers learn of each other's attempts, and limitSimNews how long the news
	// of a limit take.
	limitSimCounts = 100 * time.Millisecond
	limitSimNews   = 200 * time.Millisecond
	// limitSimSettled, limitSimWindow, limitSimFactor and limitSimSlack are the users' bound on the requests that an
	// upstream gets in a window, from settled after its first limit on. It holds here for all balancers, not only for
	// those that got an answer with the limit.
	limitSimSettled = 3 * time.Second
	limitSimWindow  = 4 * time.Second
	limitSimFactor  = 1.5
	limitSimSlack   = 5
)

// limitedUpstream names a limit from limitSimFrom on, unless perSecond is 0.
type limitedUpstream struct {
	upstream
	perSecond float64
	arrivals  []time.Time
	// namedAt is when it first named its limit.
	namedAt time.Time
}

type limitSimulation struct {
	simulation
	// all are the upstreams, with and without a limit.
	all       []*limitedUpstream
	balancers []*balancer
	// inFlight are the attempts of all balancers on each upstream as last told.
	inFlight map[string]int
	// refusedByLimits counts the requests that were refused because every upstream limits its requests.
	refusedByLimits int
}

// newLimitSimulation makes every nth upstream name a limit, none if it is 0.
func newLimitSimulation(seed uint64, balancers, nth int, perSecond float64) *limitSimulation {
	s := &limitSimulation{simulation: simulation{random: rand.New(rand.NewPCG(seed, uint64(balancers)))}, inFlight: make(map[string]int)}
	var instances []*cvinstance.Instance
	for n := range balancers * limitSimUpstreams {
		u := &limitedUpstream{upstream: upstream{seed: uint64(n), slowShare: fleetSlowShare}}
		if nth > 0 && n%nth == 0 {
			u.perSecond = perSecond
		}
		s.all = append(s.all, u)
		instances = append(instances, cvinstance.New(fmt.Sprint(n), "g", "", "dc", limitSimSlots))
	}
	for id := range balancers {
		others := make(map[string]float64)
		for o := range balancers {
			if o != id {
				others[address(o)] = limitSimPerBalancer
			}
		}
		shares := cvshares.New(address(id), limitSimPerBalancer, others)
		selector := &cvselector.Selector{DataCentre: "dc", OwnsPeriod: func(id string, period int64) bool { return shares.Owns(xxhash.Sum64String(id), period) }}
		selector.Update(simStart, instances)
		s.balancers = append(s.balancers, &balancer{id: uint64(id), selector: selector, admission: &cvadmission.Admission{Selector: selector}, waiting: make(map[*cvwaiter.Waiter]*simRequest)})
	}
	return s
}

// start sends a request to the upstream that was granted.
func (s *limitSimulation) start(now time.Time, from int, w *cvwaiter.Waiter, r *simRequest) {
	b, n := s.balancers[from], 0
	fmt.Sscan(w.Instance().ID(), &n)
	u := s.all[n]
	u.arrivals = append(u.arrivals, now)
	u.running++
	s.schedule(now.Add(time.Duration(float64(r.work)*u.slowness(now))), func(now time.Time) {
		u.running--
		if now.Sub(r.arrived) <= r.kind.target {
			s.result.onTime++
		}
		b.selector.Done(now, w.Instance().ID(), w.GrantedAt(), comfreyvale.ResultAnswered)
		b.selector.RecordReport(now, w.Instance().ID(), cvloadreport.New(u.running, 0, limitSimSlots, u.slowness(now)), 0)
		b.admission.RecordRelease(now)
		if u.perSecond > 0 && now.Sub(simStart) >= limitSimFrom {
			s.name(now, from, n)
		}
		s.advance(now, from)
	})
}

// name tells a balancer the limit of an upstream, and the others when its news have arrived.
func (s *limitSimulation) name(now time.Time, to, n int) {
	u := s.all[n]
	if u.namedAt.IsZero() {
		u.namedAt = now
	}
	instance := cvinstance.New(fmt.Sprint(n), "g", "", "dc", limitSimSlots)
	s.balancers[to].selector.RecordLimit(now, now, instance, u.perSecond, "")
	s.schedule(now.Add(limitSimNews), func(later time.Time) {
		for _, b := range s.balancers {
			b.selector.RecordLimit(later, now, instance, u.perSecond, address(to))
		}
	})
}

// advance starts the waiting requests of a balancer that can have a slot now, and refuses those whose time is up.
func (s *limitSimulation) advance(now time.Time, from int) {
	b := s.balancers[from]
	for b.admission.Len() > 0 {
		w, ok := b.admission.Next(now, s.random.Uint64())
		if !ok {
			break
		}
		s.start(now, from, w, b.waiting[w])
	}
	s.result.refused += len(b.admission.RemoveExpired(now))
}

// play simulates limitSimTime of requests. The result does not count those in refusedByLimits.
func (s *limitSimulation) play() simResult {
	for tick := simStart; tick.Before(simStart.Add(limitSimTime + time.Second)); tick = tick.Add(simTick) {
		s.schedule(tick, func(now time.Time) {
			if now.Sub(simStart)%limitSimCounts == 0 {
				s.shareCounts(now)
			}
			for from := range s.balancers {
				s.advance(now, from)
			}
		})
	}
	kind := fleetKinds[0]
	perSecond := limitSimPerBalancer * float64(len(s.balancers))
	return s.runFor(limitSimTime, perSecond, func(now time.Time) {
		from := s.random.IntN(len(s.balancers))
		b := s.balancers[from]
		w := cvwaiter.New(now, cvrequirements.New(now.Add(kind.target), now.Add(kind.deadline), kind.priority, false).WithServiceTime(kind.work))
		r := &simRequest{kind: kind, arrived: now, work: kind.work}
		switch b.admission.Enter(now, s.random.Uint64(), w) {
		case cvadmission.Granted:
			s.start(now, from, w, r)
		case cvadmission.Waiting:
			b.waiting[w] = r
		case cvadmission.Refused:
			s.result.refused++
		case cvadmission.Limited:
			s.refusedByLimits++
		}
	})
}

// shareCounts tells each balancer the attempts of all others.
func (s *limitSimulation) shareCounts(now time.Time) {
	counts := make(map[string]int)
	own := make([]map[string]int, len(s.balancers))
	for i, b := range s.balancers {
		own[i] = make(map[string]int)
		for _, id := range b.selector.UpstreamsInUse() {
			state, _ := b.selector.OwnState(now, id)
			own[i][id] = state.InFlight()
			counts[id] += state.InFlight()
		}
	}
	// An upstream whose last attempts have ended is told once more, with a count of 0.
	for id := range s.inFlight {
		counts[id] += 0
	}
	for id, count := range counts {
		for i, b := range s.balancers {
			b.selector.RecordRemoteInFlight(now, 1, id, count-own[i][id])
		}
	}
	s.inFlight = counts
}

// inWindows returns the highest number of requests in a window that begins after the upstream has settled, and the
// number of requests since.
func (u *limitedUpstream) inWindows() (most, total int) {
	for first, at := range u.arrivals {
		if u.namedAt.IsZero() || at.Sub(u.namedAt) < limitSimSettled {
			continue
		}
		total++
		last := first
		for last < len(u.arrivals) && u.arrivals[last].Sub(at) < limitSimWindow {
			last++
		}
		most = max(most, last-first)
	}
	return most, total
}

// TestFleetKeepsRequestLimits guards against balancers that together send an upstream more than its limit: a quarter of
// the upstreams begin to name one. What these do not take must go to the others, and be answered as timely as without
// limits but for what differs between runs.
func TestFleetKeepsRequestLimits(t *testing.T) {
	const nth, noise = 4, 0.03
	cases := map[string]struct {
		balancers int
		perSecond float64
		// seeds is the number of runs whose answers on time are compared with those without limits.
		seeds uint64
	}{
		"a tenth a second":      {6, 0.1, 8},
		"one a second":          {6, 1, 8},
		"fractions":             {6, 2.5, 8},
		"many":                  {6, 12, 8},
		"44 balancers":          {44, 1, 1},
		"44, a tenth a second":  {44, 0.1, 1},
		"44, many":              {44, 12, 1},
		"124 balancers":         {124, 1, 0},
		"124, a fifth a second": {124, 0.2, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			onTime, unlimited := 0.0, 0.0
			for seed := range max(c.seeds, 1) {
				s := newLimitSimulation(seed, c.balancers, nth, c.perSecond)
				result := s.play()
				most, _, named := s.limitedRequests()
				t.Logf("%d upstreams have named a limit, at most %d requests in a window; on time %.3f", named, most, result.onTimeShare())
				require.Positive(t, named)
				require.LessOrEqual(t, float64(most), limitSimFactor*c.perSecond*limitSimWindow.Seconds()+limitSimSlack)
				require.Zero(t, s.refusedByLimits, "refused although other upstreams have room")
				if seed < c.seeds {
					onTime += result.onTimeShare() / float64(c.seeds)
					unlimited += newLimitSimulation(seed, c.balancers, 0, 0).play().onTimeShare() / float64(c.seeds)
				}
			}
			require.GreaterOrEqual(t, onTime, unlimited-noise)
		})
	}
}

// TestAllUpstreamsLimitRequests checks that balancers with more requests than all upstreams take together use most of
// the limits.
func TestAllUpstreamsLimitRequests(t *testing.T) {
	const perSecond, leastShare = 1.5, 0.7
	for _, balancers := range []int{6, 44} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			t.Parallel()
			s := newLimitSimulation(1, balancers, 1, perSecond)
			s.play()
			most, total, named := s.limitedRequests()
			require.Equal(t, len(s.all), named)
			require.LessOrEqual(t, float64(most), limitSimFactor*perSecond*limitSimWindow.Seconds()+limitSimSlack)
			used := float64(total) / (perSecond * float64(named) * (limitSimTime - limitSimFrom - limitSimSettled).Seconds())
			t.Logf("at most %d requests in a window; %.3f of the limits used", most, used)
			require.GreaterOrEqual(t, used, leastShare)
		})
	}
}

// limitedRequests returns the highest number of requests of an upstream in a window after it has named its limit, the
// number of all requests after that, and the number of upstreams that have named one.
func (s *limitSimulation) limitedRequests() (most, total, named int) {
	for _, u := range s.all {
		m, n := u.inWindows()
		most, total = max(most, m), total+n
		if !u.namedAt.IsZero() {
			named++
		}
	}
	return most, total, named
}
