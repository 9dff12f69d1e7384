package cvpeertable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvpeertable"
	"comfreyvale/core/cvwire"
)

var start = time.Unix(1000, 0)

func heard(n *cvpeertable.Table, now time.Time, address, dataCentre string, number uint64) {
	tell(n, now, address, number, &cvwire.News{DataCentre: dataCentre, Version: int64(number)})
}

// tell hears a whole message.
func tell(n *cvpeertable.Table, now time.Time, address string, number uint64, message *cvwire.News) {
	n.RecordMessage(now, address, 1, number)
	n.RecordState(now, address, message)
}

// TestLive knows who is there, near or anywhere, and tries again who is silent.
func TestLive(t *testing.T) {
	n := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	n.AddAddresses(start, []string{"a", "b", "c", ""})
	require.Empty(t, n.Live(start, false))
	require.Equal(t, []string{"b", "c"}, n.AddressesToRetry(start))
	require.Empty(t, n.AddressesToRetry(start.Add(50*time.Millisecond)), "tried just before")
	require.Equal(t, []string{"b", "c"}, n.AddressesToRetry(start.Add(100*time.Millisecond)), "learned lately")
	require.Equal(t, []string{"b", "c"}, n.AddressesToRetry(start.Add(2*time.Second)))
	require.Empty(t, n.AddressesToRetry(start.Add(2500*time.Millisecond)), "tried just before")
	require.Equal(t, []string{"b", "c"}, n.AddressesToRetry(start.Add(3*time.Second)))
	start := start.Add(2 * time.Second)
	heard(n, start.Add(time.Second), "b", "x", 1)
	heard(n, start.Add(time.Second), "c", "y", 1)
	require.Equal(t, []string{"b"}, n.Live(start.Add(2*time.Second), true))
	require.Equal(t, []string{"b", "c"}, n.Live(start.Add(2*time.Second), false))
	require.Empty(t, n.Live(start.Add(4*time.Second), false))
	n.AddressesToRetry(start.Add(10 * time.Minute))
	require.Empty(t, n.AddressesToRetry(start.Add(20*time.Minute)), "forgotten")
}

// TestDue sends whole messages sooner while balancers meet: when an address was learned lately and is silent, and when a
// process was heard for the first time.
func TestDue(t *testing.T) {
	cases := map[string]struct {
		before func(n *cvpeertable.Table)
		soon   bool
	}{
		"alone":                    {func(*cvpeertable.Table) {}, false},
		"silent, learned lately":   {func(n *cvpeertable.Table) { n.AddAddresses(start, []string{"b"}) }, true},
		"silent, learned long ago": {func(n *cvpeertable.Table) { n.AddAddresses(start.Add(-3*time.Second), []string{"b"}) }, false},
		"known":                    {func(n *cvpeertable.Table) { heard(n, start.Add(-time.Second), "b", "x", 1); n.RecordStateSent(start) }, false},
		"met":                      {func(n *cvpeertable.Table) { n.RecordStateSent(start); heard(n, start, "b", "x", 1) }, true},
		"restarted": {func(n *cvpeertable.Table) {
			heard(n, start.Add(-time.Second), "b", "x", 1)
			n.RecordStateSent(start)
			n.RecordMessage(start, "b", 2, 1)
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := &cvpeertable.Table{Self: "a", DataCentre: "x"}
			require.True(t, n.StateDue(start), "nothing was told yet")
			n.RecordStateSent(start)
			c.before(n)
			require.False(t, n.StateDue(start.Add(50*time.Millisecond)))
			require.Equal(t, c.soon, n.StateDue(start.Add(100*time.Millisecond)))
			require.True(t, n.StateDue(start.Add(500*time.Millisecond)))
		})
	}
}

// TestOutOfOrderMessages passes over messages that a later one of the same process has overtaken, but not those of a new process.
func TestOutOfOrderMessages(t *testing.T) {
	n := &cvpeertable.Table{Self: "a"}
	require.True(t, n.RecordMessage(start, "b", 1, 5))
	require.False(t, n.RecordMessage(start, "b", 1, 4))
	require.False(t, n.RecordMessage(start, "b", 1, 5))
	require.True(t, n.RecordMessage(start, "b", 2, 1))
	require.False(t, n.RecordMessage(start, "a", 9, 9), "itself")
}

// TestSharers never counts fewer balancers than there were lately.
func TestSharers(t *testing.T) {
	n := &cvpeertable.Table{Self: "a"}
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
	var views []*cvpeertable.Table
	for _, self := range addresses {
		n := &cvpeertable.Table{Self: self, DataCentre: "x"}
		for _, other := range addresses {
			heard(n, start, other, "x", 1)
		}
		views = append(views, n)
	}
	share := map[string]int{}
	for task := range 200 {
		mine := 0
		for _, n := range views {
			if n.OwnsTask(start, fmt.Sprint(task)) {
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
	n := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	_, _, covered := n.Ahead(start, time.Second, 0, 0)
	require.False(t, covered)
	tell(n, start, "b", 1, &cvwire.News{DataCentre: "y", Reading: true, RoutesNext: 9, UpstreamsNext: 7})
	tell(n, start, "c", 1, &cvwire.News{DataCentre: "x", Reading: true, RoutesNext: 9, UpstreamsNext: 4})
	tell(n, start, "d", 1, &cvwire.News{DataCentre: "x", Reading: true, ReadAgeMs: 60_000, RoutesNext: 20, UpstreamsNext: 20})
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

// TestReader gives the task of reading to one balancer of a data centre, and passes over those that cannot read.
func TestReader(t *testing.T) {
	addresses := []string{"a", "b", "c", "d"}
	unreadable := map[string]bool{}
	for number := range uint64(len(addresses)) {
		var readers []string
		for _, self := range addresses {
			n := &cvpeertable.Table{Self: self, DataCentre: "x"}
			for _, other := range addresses {
				tell(n, start, other, number+1, &cvwire.News{DataCentre: "x", Unreadable: unreadable[other]})
			}
			if !unreadable[self] && n.OwnsReading(start) {
				readers = append(readers, self)
			}
		}
		require.Len(t, readers, 1, "unreadable: %v", unreadable)
		unreadable[readers[0]] = true
	}
}

// TestReadByPeer takes a balancer for the reader of others only while reading is its task and it is heard.
func TestReadByPeer(t *testing.T) {
	n := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	covered := func(now time.Time) bool {
		_, _, covered := n.Ahead(now, time.Minute, 0, 0)
		return covered
	}
	tell(n, start, "b", 1, &cvwire.News{DataCentre: "x"})
	require.False(t, covered(start), "it read once for itself, which brings nobody the next change")
	tell(n, start, "b", 2, &cvwire.News{DataCentre: "x", Reading: true})
	require.True(t, covered(start))
	require.False(t, covered(start.Add(1500*time.Millisecond)), "not heard since")
}

// TestDirectorySource names a balancer that can read the directories, a near one first.
func TestDirectorySource(t *testing.T) {
	n := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	require.Empty(t, n.DirectorySource(start))
	heard(n, start, "b", "y", 1)
	heard(n, start, "d", "x", 1)
	heard(n, start, "c", "x", 1)
	require.Equal(t, "c", n.DirectorySource(start))
	tell(n, start, "c", 2, &cvwire.News{DataCentre: "x", Version: 1, DirectoryAway: true})
	tell(n, start, "d", 2, &cvwire.News{DataCentre: "x", Version: 1, DirectoryAway: true})
	require.Equal(t, "b", n.DirectorySource(start))
	tell(n, start, "b", 2, &cvwire.News{DataCentre: "y", Version: 1, DirectoryAway: true})
	require.Empty(t, n.DirectorySource(start))
	require.Empty(t, n.DirectorySource(start.Add(time.Minute)))
}
