package cvretrybudget_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvretrybudget"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// TestBudget guards against retry storms: for any pattern of calls, failures and clock jumps, the allowed retries stay
// within Share*calls + Burst.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		b := &cvretrybudget.Budget{Share: share, Burst: burst}
		now := time.Unix(0, 0)
		calls, retries, failures := 0, 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "clock jump")))
			b.Begin(now)
			calls++
			for range rapid.IntRange(0, 5).Draw(t, "failures") {
				failures++
				if b.Allow(now) {
					retries++
				}
			}
			require.LessOrEqual(t, float64(retries), share*float64(calls)+float64(burst)+1e-6)
		}
		require.LessOrEqual(t, retries, failures)
	})
}
