package cvselector_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvselector"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1000, 0)

func instance(n int, dataCentre string, draining bool) *cvinstance.Instance {
	return cvinstance.New(fmt.Sprint(n), "g", fmt.Sprintf("10.0.0.%d:80", n), dataCentre, 4).WithState(draining, 0)
}

func requirements() cvrequirements.Requirements {
	return cvrequirements.New(start.Add(time.Minute), start.Add(time.Hour), 0, false).WithServiceTime(100 * time.Millisecond)
}

func selector(now time.Time, instances ...*cvinstance.Instance) *cvselector.Selector {
	s := &cvselector.Selector{DataCentre: "near"}
	s.Update(now, instances)
	return s
}

// TestLimits checks random sequences of events: attempts, those of peers included, never exceed the usable slots;
// draining and avoided upstreams get none; not many more than half of the others are ejected at a time.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count, usable = 5, 3
		var instances []*cvinstance.Instance
		drained := rapid.IntRange(-1, count-1).Draw(t, "draining")
		for n := range count {
			instances = append(instances, instance(n, "near", n == drained))
		}
		s := selector(start, instances...)
		now := start
		begun, peer := map[string][]time.Time{}, map[string]int{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, count-1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				i, ok := s.Pick(now, rapid.Uint64().Draw(t, "draw"), requirements().WithAvoid([]string{id}))
				if !ok {
					continue
				}
				require.NotEqual(t, id, i.ID())
				require.False(t, i.Draining())
				begun[i.ID()] = append(begun[i.ID()], now)
				require.LessOrEqual(t, len(begun[i.ID()])+peer[i.ID()], usable)
			case 2:
				if len(begun[id]) > 0 {
					result := comfreyvale.Result(rapid.IntRange(0, 3).Draw(t, "result"))
					s.Done(now, id, begun[id][0], result)
					begun[id] = begun[id][1:]
				}
			case 3:
				for other := range peer {
					s.RecordPeerInFlight(now, 7, other, peer[other])
				}
				peer[id] = rapid.IntRange(0, usable).Draw(t, "count")
				s.RecordPeerInFlight(now, 7, id, peer[id])
			}
			if len(peer) > 0 {
				for other := range peer {
					s.RecordPeerInFlight(now, 7, other, peer[other])
				}
			}
			staying := count
			if drained >= 0 {
				staying--
			}
			require.LessOrEqual(t, len(s.Ejected(now)), staying/2+1)
		}
	})
}

// TestLastUpstreamNotEjected guards against the ejection of the only upstream that is not draining.
func TestLastUpstreamNotEjected(t *testing.T) {
	s := selector(start, instance(0, "near", true), instance(1, "near", false))
	for n := range 20 {
		now := start.Add(time.Duration(n) * time.Second)
		i, ok := s.Pick(now, 1, requirements())
		require.True(t, ok)
		s.Done(now, i.ID(), now, comfreyvale.ResultFailed)
	}
	require.Equal(t, 1, s.AvailableCount(start.Add(time.Minute)))
}

// TestPrefers checks that Pick chooses the upstream that is expected to answer soonest.
func TestPrefers(t *testing.T) {
	report := func(s *cvselector.Selector, id string, age time.Duration, slowness float64) {
		s.RecordPeerReport(start, id, age, 0, age, slowness)
	}
	const target = 500 * time.Millisecond
	cases := map[string]struct {
		prepare  func(s *cvselector.Selector)
		large    bool
		expected string
	}{
		"the near one that is on time as well":     {func(s *cvselector.Selector) { report(s, "0", 0, 2); report(s, "2", 0, 1); report(s, "1", 0, 4) }, false, "0"},
		"the near one":                             {func(*cvselector.Selector) {}, false, "0"},
		"the far one when the near one is slow":    {func(s *cvselector.Selector) { report(s, "0", 0, 4); report(s, "2", 0, 1); report(s, "1", 0, 4) }, false, "2"},
		"the near one for a big answer":            {func(s *cvselector.Selector) { report(s, "0", 0, 2); report(s, "2", 0, 1); report(s, "1", 0, 2.5) }, true, "0"},
		"the one whose slowness is long past":      {func(s *cvselector.Selector) { report(s, "0", time.Second, 4); report(s, "1", 0, 4) }, false, "0"},
		"the one that does not fail":               {func(s *cvselector.Selector) { end(s, "0", comfreyvale.ResultFailed) }, false, "1"},
		"not the one that has just said it's full": {func(s *cvselector.Selector) { end(s, "0", comfreyvale.ResultRefused) }, false, "1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := selector(start, instance(0, "near", false), instance(1, "near", false), instance(2, "far", false))
			s.RecordPeerReport(start, "1", 0, 0, 0, 1.2)
			c.prepare(s)
			reqs := cvrequirements.New(start.Add(target), start.Add(time.Hour), 0, c.large).WithServiceTime(100 * time.Millisecond)
			for draw := range uint64(20) {
				i, ok := s.Pick(start, draw, reqs)
				require.True(t, ok)
				require.Equal(t, c.expected, i.ID())
				s.Done(start, i.ID(), start, comfreyvale.ResultCancelled)
			}
		})
	}
}

func end(s *cvselector.Selector, id string, result comfreyvale.Result) {
	i, _ := s.Pick(start, 1, requirements().WithAvoid([]string{"1", "2"}))
	s.Done(start, i.ID(), start, result)
}

// TestOwnRequestInReport guards against counting requests twice: a load report includes this balancer's requests and
// the request that has just been answered.
func TestOwnRequestInReport(t *testing.T) {
	s := selector(start, instance(0, "near", false))
	for range 3 {
		_, ok := s.Pick(start, 1, requirements())
		require.True(t, ok)
	}
	_, ok := s.Pick(start, 1, requirements())
	require.False(t, ok)
	s.Done(start, "0", start, comfreyvale.ResultAnswered)
	s.RecordReport(start, "0", cvloadreport.New(3, 0, 4, 1), 1)
	_, ok = s.Pick(start, 1, requirements())
	require.True(t, ok)
}

// TestPickBeforeTarget checks that a free slot of an upstream that is too slow for the target time is not taken.
func TestPickBeforeTarget(t *testing.T) {
	s := selector(start, instance(0, "near", false))
	s.RecordPeerReport(start, "0", 0, 0, 0, 4)
	reqs := cvrequirements.New(start.Add(300*time.Millisecond), start.Add(time.Second), 0, false).WithServiceTime(100 * time.Millisecond)
	i, free := s.PickBeforeTarget(start, 1, reqs)
	require.Nil(t, i)
	require.True(t, free)
	i, _ = s.Pick(start, 1, reqs)
	require.NotNil(t, i)
}

// TestRestartedUpstream guards against keeping an upstream's state, such as its ejection, after a restart.
func TestRestartedUpstream(t *testing.T) {
	s := selector(start, instance(0, "near", false), instance(1, "near", false))
	for range 3 {
		end(s, "0", comfreyvale.ResultFailed)
	}
	require.Equal(t, []string{"0"}, s.Ejected(start))
	s.Update(start, []*cvinstance.Instance{instance(0, "near", false).WithSequence(9, 0), instance(1, "near", false)})
	require.Empty(t, s.Ejected(start))
}

// TestLastSlot checks that the last slot of an upstream is used only where that adds throughput, and after free slots
// of others.
func TestLastSlot(t *testing.T) {
	cases := map[string]struct{ slots, usable int }{
		"one":   {1, 1},
		"two":   {2, 2},
		"three": {3, 2},
		"four":  {4, 3},
		"eight": {8, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const count = 3
			var instances []*cvinstance.Instance
			for n := range count {
				instances = append(instances, cvinstance.New(fmt.Sprint(n), "g", "", "near", c.slots))
			}
			s := selector(start, instances...)
			begun := map[string]int{}
			for taken := range count * c.usable {
				i, ok := s.Pick(start, uint64(taken), requirements())
				require.True(t, ok, "%d taken", taken)
				begun[i.ID()]++
				if c.slots == 2 && taken < count {
					require.Equal(t, 1, begun[i.ID()], "an idle upstream comes before the last slot of another")
				}
			}
			_, ok := s.Pick(start, 0, requirements())
			require.False(t, ok)
		})
	}
}

// TestDigest checks what other data centres learn of an upstream: the attempts of this data centre's balancers only, and
// reports only of upstreams here.
func TestDigest(t *testing.T) {
	s := selector(start, instance(0, "near", false), instance(1, "far", false))
	s.RecordPeerInFlight(start, 1, "0", 2)
	s.RecordPeerInFlight(start, 1, "1", 1)
	s.RecordRemoteInFlight(start, 2, "0", 3)
	s.RecordPeerReport(start, "0", 0, 5, 0, 4)
	s.RecordPeerReport(start, "1", 0, 5, 0, 4)
	later := start.Add(10 * time.Millisecond)
	inFlight, age, load, slownessAge, slowness, known := s.DigestForPeers(later, "0")
	require.True(t, known)
	require.Equal(t, 2, inFlight)
	require.Equal(t, 5, load)
	require.InDelta(t, 4, slowness, 1e-9)
	require.Equal(t, 10*time.Millisecond, age)
	require.Equal(t, 10*time.Millisecond, slownessAge)
	inFlight, age, _, slownessAge, _, known = s.DigestForPeers(later, "1")
	require.True(t, known)
	require.Equal(t, 1, inFlight)
	require.Greater(t, age, time.Hour, "its own data centre reports it")
	require.Greater(t, slownessAge, time.Hour)
	_, _, _, _, _, known = s.DigestForPeers(later, "2")
	require.False(t, known)
	require.ElementsMatch(t, []string{"0", "1"}, s.Changed(later, 10*time.Millisecond, false))
	require.Empty(t, s.Changed(later, 5*time.Millisecond, false))
	require.ElementsMatch(t, []string{"0", "1"}, s.Changed(later, 5*time.Millisecond, true), "all in use")
	s.RecordRemoteInFlight(later, 2, "0", 1)
	require.Empty(t, s.Changed(later, 5*time.Millisecond, false), "other data centres tell their own changes")
}
