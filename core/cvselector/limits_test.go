package cvselector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvupstreamstate"
)

// limitStart is the beginning of a period of every whole number of requests a second.
var limitStart = time.Unix(1000, 0)

// limited returns a selector of two upstreams, of which "0" takes one request a second; it is in the second period
// since.
func limited() (s *cvselector.Selector, now time.Time) {
	s = selector(limitStart, instance(0, "near", false), instance(1, "near", false))
	s.RecordLimit(limitStart, limitStart, instance(0, "near", false), 1, "")
	return s, limitStart.Add(1100 * time.Millisecond)
}

// TestPicksKeepLimit checks that picks keep to the limit of an upstream, and which upstream they would have preferred.
func TestPicksKeepLimit(t *testing.T) {
	s, now := limited()
	reqs := requirements().WithAvoid([]string{"1"})
	_, ok := s.Pick(limitStart, 1, reqs)
	require.False(t, ok, "the period in which the limit became known")
	i, ok := s.Pick(now, 1, reqs)
	require.True(t, ok)
	require.Equal(t, "0", i.ID())
	require.Empty(t, s.HeldBack())
	_, ok = s.Pick(now, 1, reqs)
	require.False(t, ok, "a second request in the period")
	i, _ = s.Pick(now, 1, requirements())
	require.Equal(t, "1", i.ID())
	_, ok = s.Pick(now.Add(time.Second), 1, reqs)
	require.True(t, ok)
}

// TestHeldBack checks that a pick tells which upstream it would have preferred but for its limit.
func TestHeldBack(t *testing.T) {
	s, now := limited()
	s.RecordPeerReport(now, "1", cvupstreamstate.New(0).WithSlowness(4, 0))
	_, _ = s.Pick(now, 1, requirements().WithAvoid([]string{"1"}))
	i, _ := s.Pick(now, 1, requirements())
	require.Equal(t, "1", i.ID())
	require.Equal(t, "0", s.HeldBack())
}

// TestLimitOfEarlierRun checks that a limit ends with the run of the upstream that named it.
func TestLimitOfEarlierRun(t *testing.T) {
	s, now := limited()
	restarted := instance(0, "near", false).WithSequence(5, 1)
	s.Update(now, []*cvinstance.Instance{restarted})
	limit := s.NamedLimit("0")
	require.Zero(t, limit.PerSecond())
	require.False(t, s.RecordLimit(now, now, instance(0, "near", false), 1, ""), "a late answer of the earlier run")
	for range 3 {
		_, ok := s.Pick(now, 1, requirements())
		require.True(t, ok)
	}
	require.True(t, s.RecordLimit(now, now, restarted, 1, ""))
}

// TestLimitedUpstreamElsewhere checks what else depends on the limit of an upstream: it is not probed, its slots are not
// counted as free for hedges, and other data centres learn of it.
func TestLimitedUpstreamElsewhere(t *testing.T) {
	s, now := limited()
	const age = 100 * time.Millisecond
	probed := s.UpstreamsToProbe(now, age)
	require.Len(t, probed, 1)
	require.Equal(t, "1", probed[0].ID())
	require.Equal(t, 1, s.LimitedCount())
	require.Equal(t, []string{"0"}, s.Changed(limitStart.Add(age), age, false))
	require.Empty(t, s.Changed(now, age, false))
	require.Equal(t, []string{"0"}, s.Changed(now, age, true), "told again")
	require.Empty(t, s.Changed(now.Add(time.Minute), age, true))
	require.Equal(t, []string{"0"}, s.RecentlyStated(now))
	require.Zero(t, s.Utilization(now))
	s.RecordLimit(now, now, instance(1, "near", false), 1, "")
	require.InDelta(t, 1, s.Utilization(now), 0)
}

// TestPermitsBefore checks how many requests all upstreams together take in time.
func TestPermitsBefore(t *testing.T) {
	cases := map[string]struct {
		both    bool
		avoid   []string
		until   time.Duration
		count   int
		limited bool
	}{
		"another without limit":     {until: time.Minute},
		"the other cannot take it":  {avoid: []string{"1"}, until: 0, count: 1, limited: true},
		"two seconds":               {avoid: []string{"1"}, until: 2 * time.Second, count: 3, limited: true},
		"both":                      {both: true, until: 2 * time.Second, count: 7, limited: true},
		"neither can take it":       {both: true, avoid: []string{"0", "1"}, until: time.Second},
		"the higher limit is named": {both: true, until: 0, count: 1, limited: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := limited()
			highest := "0"
			if c.both {
				s.RecordLimit(now, now, instance(1, "near", false), 2, "")
				highest = "1"
			}
			count, id, limited := s.PermitsBefore(now, now.Add(c.until), requirements().WithAvoid(c.avoid))
			require.Equal(t, c.count, count)
			require.Equal(t, c.limited, limited)
			if limited {
				require.Equal(t, highest, id)
			}
		})
	}
}
