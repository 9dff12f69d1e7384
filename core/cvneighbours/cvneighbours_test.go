package cvneighbours_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvneighbours"
)

var start = time.Unix(1000, 0)

func heard(n *cvneighbours.Neighbours, now time.Time, address, dataCentre string, number uint64) {
	n.Hear(now, address, 1, number)
	n.Describe(address, dataCentre, int64(number), false, false)
}

// TestLive knows who is there, near or anywhere, and tries again who is silent.
func TestLive(t *testing.T) {
	n := &cvneighbours.Neighbours{Self: "a", DataCentre: "x"}
	n.Learn(start, []string{"a", "b", "c", ""})
	require.Empty(t, n.Live(start, false))
	require.Equal(t, []string{"b", "c"}, n.Silent(start))
	require.Empty(t, n.Silent(start.Add(500*time.Millisecond)), "tried just before")
	require.Equal(t, []string{"b", "c"}, n.Silent(start.Add(time.Second)))
	heard(n, start.Add(time.Second), "b", "x", 1)
	heard(n, start.Add(time.Second), "c", "y", 1)
	require.Equal(t, []string{"b"}, n.Live(start.Add(2*time.Second), true))
	require.Equal(t, []string{"b", "c"}, n.Live(start.Add(2*time.Second), false))
	require.Empty(t, n.Live(start.Add(4*time.Second), false))
	n.Silent(start.Add(10 * time.Minute))
	require.Empty(t, n.Silent(start.Add(20*time.Minute)), "forgotten")
}

// TestOvertaken passes over messages that a later one of the same process has overtaken, but not those of a new process.
func TestOvertaken(t *testing.T) {
	n := &cvneighbours.Neighbours{Self: "a"}
	require.True(t, n.Hear(start, "b", 1, 5))
	require.False(t, n.Hear(start, "b", 1, 4))
	require.False(t, n.Hear(start, "b", 1, 5))
	require.True(t, n.Hear(start, "b", 2, 1))
	require.False(t, n.Hear(start, "a", 9, 9), "itself")
}

// TestSharers never counts fewer balancers than there were lately.
func TestSharers(t *testing.T) {
	n := &cvneighbours.Neighbours{Self: "a"}
	require.GreaterOrEqual(t, n.Sharers(start), 12, "nobody is known yet")
	for i := range 5 {
		heard(n, start, fmt.Sprint("b", i), "x", 1)
	}
	require.GreaterOrEqual(t, n.Sharers(start), 6)
	require.GreaterOrEqual(t, n.Sharers(start.Add(20*time.Second)), 6, "silent, but counted in the window")
}

// TestTasks gives each task to one of a data centre's balancers, by all balancers' views.
func TestTasks(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e"}
	var views []*cvneighbours.Neighbours
	for _, self := range addresses {
		n := &cvneighbours.Neighbours{Self: self, DataCentre: "x"}
		for _, other := range addresses {
			heard(n, start, other, "x", 1)
		}
		views = append(views, n)
	}
	share := map[string]int{}
	for task := range 200 {
		mine := 0
		for _, n := range views {
			if n.Mine(start, fmt.Sprint(task)) {
				mine++
				share[n.Self]++
			}
		}
		require.Equal(t, 1, mine)
	}
	for _, self := range addresses {
		require.InDelta(t, 40, share[self], 20)
	}
}

// TestAhead names those that have read further, near ones first, and says whether anybody reads.
func TestAhead(t *testing.T) {
	n := &cvneighbours.Neighbours{Self: "a", DataCentre: "x"}
	_, _, covered := n.Ahead(start, time.Second, 0, 0)
	require.False(t, covered)
	heard(n, start, "b", "y", 1)
	heard(n, start, "c", "x", 1)
	heard(n, start, "d", "x", 1)
	n.Read("b", start, 9, 7)
	n.Read("c", start, 9, 4)
	n.Read("d", start.Add(-time.Minute), 20, 20)
	routes, upstreams, covered := n.Ahead(start, time.Second, 8, 4)
	require.True(t, covered)
	require.Equal(t, "c", routes, "the near one first")
	require.Equal(t, "b", upstreams, "whoever is ahead, and reads itself")
	routes, _, covered = n.Ahead(start, time.Second, 9, 7)
	require.True(t, covered)
	require.Empty(t, routes)
	_, _, covered = n.Ahead(start.Add(1500*time.Millisecond), time.Second, 0, 0)
	require.False(t, covered)
}

// TestReaching names a balancer that can read the directories, a near one first.
func TestReaching(t *testing.T) {
	n := &cvneighbours.Neighbours{Self: "a", DataCentre: "x"}
	require.Empty(t, n.Reaching(start))
	heard(n, start, "b", "y", 1)
	heard(n, start, "d", "x", 1)
	heard(n, start, "c", "x", 1)
	require.Equal(t, "c", n.Reaching(start))
	n.Describe("c", "x", 1, false, true)
	n.Describe("d", "x", 1, false, true)
	require.Equal(t, "b", n.Reaching(start))
	n.Describe("b", "y", 1, false, true)
	require.Empty(t, n.Reaching(start))
	require.Empty(t, n.Reaching(start.Add(time.Minute)))
}
