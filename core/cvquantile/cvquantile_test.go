package cvquantile_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvquantile"
)

// TestRates checks that quantiles are known at low rates too, and that they follow changes.
func TestRates(t *testing.T) {
	cases := map[string]struct {
		perSecond float64
		// known is when the quantile must be known, and followed when it must follow a change.
		known, followed time.Duration
	}{
		"a thousand a second": {1000, time.Second, 5 * time.Second},
		"ten a second":        {10, 3 * time.Second, 5 * time.Second},
		"two a second":        {2, 11 * time.Second, 30 * time.Second},
		"one a second":        {1, 21 * time.Second, 60 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := cvquantile.New()
			now := time.Unix(1000, 0)
			add := func(latency, during time.Duration) {
				for end := now.Add(during); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / c.perSecond)) {
					q.Add(now, latency)
				}
			}
			check := func(expected time.Duration) {
				median, ok := q.At(now, 0.5)
				require.True(t, ok)
				require.InEpsilon(t, expected, median, 0.05)
			}
			add(100*time.Millisecond, c.known)
			for range 5 {
				check(100 * time.Millisecond)
				add(100*time.Millisecond, 2*time.Second)
			}
			add(400*time.Millisecond, c.followed)
			check(400 * time.Millisecond)
		})
	}
}

// TestTooFew checks that no quantile is given for fewer latencies than it needs, or for old ones.
func TestTooFew(t *testing.T) {
	q := cvquantile.New()
	now := time.Unix(1000, 0)
	for range 19 {
		q.Add(now, time.Second)
	}
	_, ok := q.At(now, 0.5)
	require.False(t, ok)
	q.Add(now, time.Second)
	_, ok = q.At(now, 0.5)
	require.True(t, ok)
	_, ok = q.At(now.Add(time.Hour), 0.5)
	require.False(t, ok)
}
