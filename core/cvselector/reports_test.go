package cvselector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvupstreamstate"
)

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

// TestDataCentreState checks what other data centres learn of an upstream: the attempts of this data centre's balancers
// only, and reports only of upstreams in this data centre.
func TestDataCentreState(t *testing.T) {
	const peer, otherDataCentre = 1, 2
	cases := map[string]struct {
		id       string
		inFlight int
		reported bool
	}{
		"near": {"0", 2, true},
		"far":  {"1", 1, false},
	}
	s := selector(start, instance(0, "near", false), instance(1, "far", false))
	for id, inFlight := range map[string]int{"0": 2, "1": 1} {
		s.RecordPeerInFlight(start, peer, id, inFlight)
		s.RecordPeerReport(start, id, cvupstreamstate.New(0).WithLoad(5, 0).WithSlowness(4, 0))
	}
	s.RecordRemoteInFlight(start, otherDataCentre, "0", 3)
	const age = 10 * time.Millisecond
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state, known := s.DataCentreState(start.Add(age), c.id)
			require.True(t, known)
			require.Equal(t, c.inFlight, state.InFlight())
			require.Equal(t, c.reported, state.HasLoad())
			require.Equal(t, c.reported, state.HasSlowness())
			if c.reported {
				require.Equal(t, 5, state.Load())
				require.Equal(t, age, state.LoadAge())
				require.InDelta(t, 4, state.Slowness(), 1e-9)
				require.Equal(t, age, state.SlownessAge())
			}
		})
	}
	_, known := s.DataCentreState(start, "2")
	require.False(t, known)
}

// TestChanged checks of which upstreams other data centres are told: those whose state has changed lately in this data
// centre and, on request, those in use.
func TestChanged(t *testing.T) {
	const peer, otherDataCentre = 1, 2
	const lately = 20 * time.Millisecond
	cases := map[string]struct {
		change  func(s *cvselector.Selector, now time.Time)
		changed []string
	}{
		"nothing":                       {func(*cvselector.Selector, time.Time) {}, nil},
		"a request here":                {func(s *cvselector.Selector, now time.Time) { s.Pick(now, 1, requirements().WithAvoid([]string{"0"})) }, []string{"1"}},
		"a peer's request":              {func(s *cvselector.Selector, now time.Time) { s.RecordPeerInFlight(now, peer, "0", 3) }, []string{"0"}},
		"a peer's count without change": {func(s *cvselector.Selector, now time.Time) { s.RecordPeerInFlight(now, peer, "0", 2) }, nil},
		"a count of zero that lapsed": {func(s *cvselector.Selector, now time.Time) {
			s.RecordPeerInFlight(start, peer+1, "0", 0)
			s.DropStalePeerCounts(now, peer+1)
		}, nil},
		"a peer's count that lapsed":    {func(s *cvselector.Selector, now time.Time) { s.DropStalePeerCounts(now, peer) }, []string{"0"}},
		"another data centre's request": {func(s *cvselector.Selector, now time.Time) { s.RecordRemoteInFlight(now, otherDataCentre, "0", 1) }, nil},
		"a report of an upstream here": {func(s *cvselector.Selector, now time.Time) {
			s.RecordPeerReport(now, "0", cvupstreamstate.New(0).WithLoad(1, 0))
		}, []string{"0"}},
		"a report of another data centre's upstream": {func(s *cvselector.Selector, now time.Time) {
			s.RecordPeerReport(now, "1", cvupstreamstate.New(0).WithLoad(1, 0))
		}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := selector(start, instance(0, "near", false), instance(1, "far", false))
			s.RecordPeerInFlight(start, peer, "0", 2)
			now := start.Add(time.Second)
			c.change(s, now)
			require.ElementsMatch(t, c.changed, s.Changed(now.Add(lately), lately, false))
			require.Empty(t, s.Changed(now.Add(2*lately), lately, false), "long ago")
		})
	}
	s := selector(start, instance(0, "near", false), instance(1, "far", false))
	s.RecordPeerInFlight(start, peer, "1", 2)
	require.Equal(t, []string{"1"}, s.Changed(start.Add(time.Second), lately, true), "in use")
}
