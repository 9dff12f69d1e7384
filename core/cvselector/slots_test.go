package cvselector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale"
	"comfreyvale/core/cvinstance"
)

// TestLimits checks random sequences of events: attempts, those of peers included, never exceed the usable slots;
// draining and avoided upstreams get none; not many more than half of the others are ejected at a time.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count, usable = 5, 3
		var instances []*cvinstance.Instance
		drained := rapid.IntRange(-1, count-1).Draw(t, "draining")
		for n := range count {
			instances = append(instances, instance(n, "near", n == drained))
		}
		s := selector(start, instances...)
		now := start
		begun, peer := map[string][]time.Time{}, map[string]int{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, count-1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				i, ok := s.Pick(now, rapid.Uint64().Draw(t, "draw"), requirements().WithAvoid([]string{id}))
				if !ok {
					continue
				}
				require.NotEqual(t, id, i.ID())
				require.False(t, i.Draining())
				begun[i.ID()] = append(begun[i.ID()], now)
				require.LessOrEqual(t, len(begun[i.ID()])+peer[i.ID()], usable)
			case 2:
				if len(begun[id]) > 0 {
					result := comfreyvale.Result(rapid.IntRange(0, 3).Draw(t, "result"))
					s.Done(now, id, begun[id][0], result)
					begun[id] = begun[id][1:]
				}
			case 3:
				for other := range peer {
					s.RecordPeerInFlight(now, 7, other, peer[other])
				}
				peer[id] = rapid.IntRange(0, usable).Draw(t, "count")
				s.RecordPeerInFlight(now, 7, id, peer[id])
			}
			if len(peer) > 0 {
				for other := range peer {
					s.RecordPeerInFlight(now, 7, other, peer[other])
				}
			}
			staying := count
			if drained >= 0 {
				staying--
			}
			require.LessOrEqual(t, len(s.Ejected(now)), staying/2+1)
		}
	})
}

// TestLastSlot checks that the last slot of an upstream is used only where that adds throughput, and after free slots
// of others.
func TestLastSlot(t *testing.T) {
	cases := map[string]struct{ slots, usable int }{
		"one":   {1, 1},
		"two":   {2, 2},
		"three": {3, 2},
		"four":  {4, 3},
		"eight": {8, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const count = 3
			var instances []*cvinstance.Instance
			for n := range count {
				instances = append(instances, cvinstance.New(fmt.Sprint(n), "g", "", "near", c.slots))
			}
			s := selector(start, instances...)
			begun := map[string]int{}
			for taken := range count * c.usable {
				i, ok := s.Pick(start, uint64(taken), requirements())
				require.True(t, ok, "%d taken", taken)
				begun[i.ID()]++
				if c.slots == 2 && taken < count {
					require.Equal(t, 1, begun[i.ID()], "an idle upstream comes before the last slot of another")
				}
			}
			_, ok := s.Pick(start, 0, requirements())
			require.False(t, ok)
		})
	}
}
