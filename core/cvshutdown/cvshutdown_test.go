package cvshutdown_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvshutdown"
)

// TestMaySend guards against requests that are sent though they may not end in time, and against refusing those that do.
func TestMaySend(t *testing.T) {
	start := time.Unix(1000, 0)
	s := cvshutdown.New(start, start.Add(6*time.Second))
	cases := map[string]struct {
		shutdown      cvshutdown.Shutdown
		now, deadline time.Duration
		may           bool
	}{
		"no shutdown":              {cvshutdown.Shutdown{}, time.Hour, 2 * time.Hour, true},
		"early, ends in time":      {s, time.Second, 2 * time.Second, true},
		"early, ends late":         {s, time.Second, time.Hour, true},
		"late, ends in time":       {s, 5 * time.Second, 6 * time.Second, true},
		"late, ends late":          {s, 3 * time.Second, 6*time.Second + 1, false},
		"last moment, ends late":   {s, 3*time.Second - 1, 6*time.Second + 1, true},
		"behind the end, late":     {s, 7 * time.Second, 8 * time.Second, false},
		"behind the end, deadline": {s, 7 * time.Second, 5 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.may, c.shutdown.MaySend(start.Add(c.now), start.Add(c.deadline)))
		})
	}
}
