package cvquantile_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvquantile"
)

var start = time.Unix(1000, 0)

// samples adds latencies to a quantile at a fixed rate.
type samples struct {
	quantile *cvquantile.Quantile
	interval time.Duration
	now      time.Time
}

// add adds the same latency again and again for some time.
func (s *samples) add(latency, during time.Duration) {
	for end := s.now.Add(during); s.now.Before(end); s.now = s.now.Add(s.interval) {
		s.quantile.Add(s.now, latency)
	}
}

func (s *samples) requireMedian(t *testing.T, expected time.Duration) {
	const precision = 0.05
	median, ok := s.quantile.At(s.now, 0.5)
	require.True(t, ok, "no quantile after %s", s.now.Sub(start))
	require.InEpsilon(t, expected, median, precision)
}

// TestRates checks at several rates that the quantile is known once there are enough latencies, that it stays known, and
// that it follows a change.
func TestRates(t *testing.T) {
	const before, after = 100 * time.Millisecond, 400 * time.Millisecond
	cases := map[string]struct {
		interval time.Duration
		// known is the time after which the quantile must be known, and followed that after which it must have followed a
		// change.
		known, followed time.Duration
	}{
		"a thousand a second": {time.Millisecond, time.Second, 5 * time.Second},
		"ten a second":        {100 * time.Millisecond, 3 * time.Second, 5 * time.Second},
		"two a second":        {500 * time.Millisecond, 11 * time.Second, 30 * time.Second},
		"one a second":        {time.Second, 21 * time.Second, 60 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &samples{quantile: cvquantile.New(), interval: c.interval, now: start}
			s.add(before, c.known)
			for range 5 {
				s.requireMedian(t, before)
				s.add(before, 2*time.Second)
			}
			s.add(after, c.followed)
			s.requireMedian(t, after)
		})
	}
}

// TestTooFew checks that there is no quantile of fewer latencies than it needs, or of latencies of long ago.
func TestTooFew(t *testing.T) {
	const needed = 20
	q := cvquantile.New()
	for range needed - 1 {
		q.Add(start, time.Second)
	}
	_, ok := q.At(start, 0.5)
	require.False(t, ok, "one is missing")
	q.Add(start, time.Second)
	_, ok = q.At(start, 0.5)
	require.True(t, ok)
	_, ok = q.At(start.Add(time.Hour), 0.5)
	require.False(t, ok, "an hour later")
}
