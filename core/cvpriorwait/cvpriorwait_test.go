package cvpriorwait_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvpriorwait"
)

// TestSpent checks that, given enough samples, only a request with much less time left than is typical counts as a
// retry.
func TestSpent(t *testing.T) {
	now := time.Unix(100, 0)
	cases := map[string]struct {
		seen          int
		timeout, want time.Duration
	}{
		"too few seen":                {5, 300 * time.Millisecond, 0},
		"a usual caller":              {100, time.Second, 0},
		"a patient one":               {100, 3 * time.Second, 0},
		"a slightly less patient one": {100, 920 * time.Millisecond, 0},
		"one that came back":          {100, 500 * time.Millisecond, 400 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := cvpriorwait.New()
			for range c.seen {
				require.Zero(t, e.Observe(now, time.Second))
			}
			require.InDelta(t, c.want, e.Observe(now, c.timeout), float64(10*time.Millisecond))
		})
	}
}
