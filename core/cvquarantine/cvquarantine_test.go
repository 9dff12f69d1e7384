package cvquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvquarantine"
)

func TestQuarantineAfterCrashes(t *testing.T) {
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
					require.True(t, q.RecordCompletion(at, "f"))
				}
				q.RecordCrash(at, "f", d.upstream, time.Minute)
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

// TestPlace has requests that one crash made suspects placed by balancers that heard of it in any order: no upstream gets two
// of them while there are enough, what becomes of those placed earlier changes nothing, and all balancers place alike.
func TestPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "suspects")
		upstreams := make([]string, rapid.IntRange(1, 12).Draw(t, "upstreams"))
		for i := range upstreams {
			upstreams[i] = fmt.Sprintf("u%d", i)
		}
		names := make([]string, count)
		for i := range names {
			names[i] = fmt.Sprintf("f%d", i)
		}
		now := time.Unix(100, 0)
		balancer := func(label string) *cvquarantine.Quarantine {
			q := &cvquarantine.Quarantine{}
			q.RecordCrash(now.Add(-time.Minute), "old", "dead", time.Minute)
			for i, f := range rapid.Permutation(names).Draw(t, label) {
				q.RecordCrash(now.Add(time.Duration(i)*time.Millisecond), f, "dead", time.Minute)
			}
			return q
		}
		one, other := balancer("one"), balancer("other")
		placed := make(map[string]int)
		for i, f := range names {
			u := one.AssignUpstream(f, upstreams)
			require.Contains(t, upstreams, u)
			require.Equal(t, u, other.AssignUpstream(f, upstreams))
			placed[u]++
			switch rapid.IntRange(0, 2).Draw(t, fmt.Sprint("then", i)) {
			case 0:
				one.RecordCompletion(now, f)
			case 1:
				one.RecordCrash(now, f, "second", time.Minute)
			}
		}
		for _, n := range placed {
			require.LessOrEqual(t, n, (count+len(upstreams)-1)/len(upstreams))
		}
		require.Empty(t, one.AssignUpstream("unknown", upstreams))
		require.Empty(t, one.AssignUpstream("f0", nil))
	})
}
