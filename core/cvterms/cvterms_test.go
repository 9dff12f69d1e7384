package cvterms_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvterms"
)

// TestReadAndPollTimes reads and asks as often as the tighter of the bounds takes, and no less often where they are wide.
func TestReadAndPollTimes(t *testing.T) {
	cases := map[string]struct {
		drain, apply, stable, wait, pause, ask time.Duration
	}{
		"usual":              {2 * time.Second, 2 * time.Second, 3 * time.Second, 1800 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond},
		"wide":               {time.Minute, time.Minute, time.Minute, 1800 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond},
		"configuration soon": {2 * time.Second, time.Second, 3 * time.Second, 1800 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond},
		"leaving soon":       {500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 1800 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond},
		"steady soon":        {2 * time.Second, 2 * time.Second, time.Second, 600 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			terms := cvterms.New().WithStops(c.drain, time.Second, c.stable).WithApply(c.apply)
			require.Equal(t, []time.Duration{c.wait, c.pause, c.ask}, []time.Duration{terms.ReadWait(), terms.ReadPause(), terms.PeerPollInterval()})
		})
	}
}
