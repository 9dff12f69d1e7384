package cvquarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvquarantine"
)

func TestConviction(t *testing.T) {
	now := time.Unix(100, 0)
	type death struct {
		upstream string
		after    time.Duration
	}
	cases := map[string]struct {
		deaths []death
		clear  bool
		want   bool
	}{
		"one death":                          {deaths: []death{{"a", 0}}},
		"one death seen twice":               {deaths: []death{{"a", 0}, {"a", 100 * time.Millisecond}}},
		"two upstreams":                      {deaths: []death{{"a", 0}, {"b", time.Millisecond}}, want: true},
		"one upstream that came back":        {deaths: []death{{"a", 0}, {"a", 2 * time.Second}}, want: true},
		"a neighbour that ran in between":    {deaths: []death{{"a", 0}, {"b", time.Millisecond}}, clear: true},
		"two upstreams, a long time between": {deaths: []death{{"a", 0}, {"b", time.Minute}}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &cvquarantine.Quarantine{}
			at := now
			for i, d := range c.deaths {
				at = at.Add(d.after)
				if c.clear && i == 1 {
					require.True(t, q.Cleared(at, "f"))
				}
				q.Died(at, "f", d.upstream, time.Minute)
			}
			_, got := q.Quarantined(at, "f")
			require.Equal(t, c.want, got)
			_, later := q.Quarantined(at.Add(time.Minute), "f")
			require.False(t, later, "a quarantine ends by itself")
			require.Equal(t, c.want, q.Lift(at, "f"))
			_, lifted := q.Quarantined(at, "f")
			require.False(t, lifted)
		})
	}
}
