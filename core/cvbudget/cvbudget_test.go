package cvbudget_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvbudget"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const (
	window = 10 * time.Second
	ratio  = 0.2
	slack  = 60.0
)

// TestShared guards against balancers that exceed the budget together: for any pattern of requests and attempts on any
// number of balancers, no window contains more extra attempts than the ratio and the slack allow.
func TestShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "balancers")
		budgets := make([]*cvbudget.Budget, count)
		for n := range budgets {
			budgets[n] = &cvbudget.Budget{Window: window, Ratio: ratio, Slack: slack}
		}
		now := time.Unix(1000, int64(rapid.IntRange(0, 1e9).Draw(t, "phase")))
		var requests, extra []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, count-1).Draw(t, "balancer")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "tries") {
				if b.Allow(now, count) {
					extra = append(extra, now)
				}
			}
		}
		for _, start := range extra {
			inside := func(times []time.Time) int {
				total := 0
				for _, at := range times {
					if !at.Before(start) && at.Sub(start) < window {
						total++
					}
				}
				return total
			}
			before := 0
			for _, at := range requests {
				if at.Before(start) && start.Sub(at) <= window {
					before++
				}
			}
			most := max(inside(requests), before)
			half := 0
			for _, at := range requests {
				if d := at.Sub(start); d >= -window/2 && d < window/2 {
					half++
				}
			}
			require.LessOrEqual(t, float64(inside(extra)), ratio*float64(max(most, half))+slack)
		}
	})
}

// TestWindowPasses checks that a window allows no more than the slack, and that the budget is available again
// afterwards.
func TestWindowPasses(t *testing.T) {
	b := &cvbudget.Budget{Window: window, Ratio: 0, Slack: 3}
	now := time.Now()
	allowed := 0
	for n := range 20 {
		if b.Allow(now.Add(time.Duration(n)*time.Millisecond), 1) {
			allowed++
		}
	}
	require.Equal(t, 3, allowed)
	require.False(t, b.Allow(now.Add(window/2), 1))
	require.True(t, b.Allow(now.Add(2*window), 1))
}

// TestAllowsMostOfShare guards against a budget that is too strict: under a steady load, a balancer can use more than
// 0.75 of its share.
func TestAllowsMostOfShare(t *testing.T) {
	b := &cvbudget.Budget{Window: window, Ratio: ratio, Slack: slack}
	now := time.Unix(1000, 0)
	const perSecond, seconds, balancers = 20, 60, 6
	allowed := 0
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		b.RecordRequest(now)
		if b.Allow(now, balancers) {
			allowed++
		}
	}
	share := (ratio*perSecond*window.Seconds() + slack/balancers) * seconds / window.Seconds()
	require.Greater(t, float64(allowed), 0.75*share)
	require.Less(t, float64(allowed), share)
	require.InDelta(t, 0, b.UsedShare(now.Add(4*window), balancers), 0.01)
}
