package cvrate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvrate"
)

// TestRate checks that the rate follows a steady load and fades after its end.
func TestRate(t *testing.T) {
	cases := map[string]float64{"slow": 0.5, "usual": 8, "fast": 500}
	for name, perSecond := range cases {
		t.Run(name, func(t *testing.T) {
			const seconds = 60
			now := time.Unix(1000, 0)
			var r cvrate.Rate
			require.Zero(t, r.PerSecond(now))
			for range int(seconds * perSecond) {
				now = now.Add(time.Duration(float64(time.Second) / perSecond))
				r.Add(now)
			}
			require.InEpsilon(t, perSecond, r.PerSecond(now), 0.25)
			require.Less(t, r.PerSecond(now.Add(time.Minute)), 0.01*perSecond)
		})
	}
}
