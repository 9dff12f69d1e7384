package cvselector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvrequirements"
)

// TestPrefers checks that Pick chooses the upstream that is expected to answer soonest.
func TestPrefers(t *testing.T) {
	const target = 500 * time.Millisecond
	cases := map[string]struct {
		// slowness is that reported of each upstream; upstream "1" is always a little slow.
		slowness    map[string]float64
		slownessAge time.Duration
		// result is how an earlier attempt on upstream "0" ended, if there was one.
		result   comfreyvale.Result
		attempt  bool
		large    bool
		expected string
	}{
		"the near one":                             {expected: "0"},
		"the near one that is on time as well":     {slowness: map[string]float64{"0": 2, "1": 4, "2": 1}, expected: "0"},
		"the far one when the near one is slow":    {slowness: map[string]float64{"0": 4, "1": 4, "2": 1}, expected: "2"},
		"the near one for a large answer":          {slowness: map[string]float64{"0": 2, "1": 2.5, "2": 1}, large: true, expected: "0"},
		"one whose slowness was reported long ago": {slowness: map[string]float64{"0": 4}, slownessAge: time.Second, expected: "0"},
		"not one that has just failed":             {attempt: true, result: comfreyvale.ResultFailed, expected: "1"},
		"not one that has just said it is full":    {attempt: true, result: comfreyvale.ResultRefused, expected: "1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := selector(start, instance(0, "near", false), instance(1, "near", false), instance(2, "far", false))
			reportSlowness(s, "1", 1.2, 0)
			for id, slowness := range c.slowness {
				reportSlowness(s, id, slowness, c.slownessAge)
			}
			if c.attempt {
				finishAttempt(s, c.result)
			}
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

// TestPickBeforeTarget checks that a free slot of an upstream that is too slow for the target time is not taken.
func TestPickBeforeTarget(t *testing.T) {
	s := selector(start, instance(0, "near", false))
	reportSlowness(s, "0", 4, 0)
	reqs := cvrequirements.New(start.Add(300*time.Millisecond), start.Add(time.Second), 0, false).WithServiceTime(100 * time.Millisecond)
	i, free := s.PickBeforeTarget(start, 1, reqs)
	require.Nil(t, i)
	require.True(t, free)
	i, _ = s.Pick(start, 1, reqs)
	require.NotNil(t, i)
}
