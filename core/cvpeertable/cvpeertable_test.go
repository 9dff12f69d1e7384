package cvpeertable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvpeertable"
	"comfreyvale/core/cvwire"
)

var start = time.Unix(1000, 0)

// offset returns a position in a directory that was never restored.
func offset(n int64) comfreyvale.Position { return comfreyvale.NewPosition(0, n) }

func update(table *cvpeertable.Table, now time.Time, address, dataCentre string, number uint64) {
	receive(table, now, address, number, &cvwire.News{DataCentre: dataCentre, Version: int64(number)})
}

func receive(table *cvpeertable.Table, now time.Time, address string, number uint64, message *cvwire.News) {
	table.RecordMessage(now, address, 1, number)
	table.RecordState(now, address, message)
}

// viewsOf returns the tables of balancers of one data centre that know of each other.
func viewsOf(addresses []string) []*cvpeertable.Table {
	var views []*cvpeertable.Table
	for _, self := range addresses {
		table := &cvpeertable.Table{Self: self, DataCentre: "x"}
		for _, other := range addresses {
			update(table, start, other, "x", 1)
		}
		views = append(views, table)
	}
	return views
}

// TestLive checks which balancers are live, and when a silent address gets another message.
func TestLive(t *testing.T) {
	table := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	table.AddAddresses(start, []string{"a", "b", "c", ""})
	require.Empty(t, table.Live(start, false))
	require.Equal(t, []string{"b", "c"}, table.AddressesToRetry(start))
	require.Empty(t, table.AddressesToRetry(start.Add(50*time.Millisecond)), "the last message was sent just before")
	require.Equal(t, []string{"b", "c"}, table.AddressesToRetry(start.Add(100*time.Millisecond)), "added lately")
	require.Equal(t, []string{"b", "c"}, table.AddressesToRetry(start.Add(2*time.Second)))
	require.Empty(t, table.AddressesToRetry(start.Add(2500*time.Millisecond)), "the last message was sent just before")
	require.Equal(t, []string{"b", "c"}, table.AddressesToRetry(start.Add(3*time.Second)))
	start := start.Add(2 * time.Second)
	update(table, start.Add(time.Second), "b", "x", 1)
	update(table, start.Add(time.Second), "c", "y", 1)
	require.Equal(t, []string{"b"}, table.Live(start.Add(2*time.Second), true))
	require.Equal(t, []string{"b", "c"}, table.Live(start.Add(2*time.Second), false))
	require.Empty(t, table.Live(start.Add(4*time.Second), false))
	table.AddressesToRetry(start.Add(10 * time.Minute))
	require.Empty(t, table.AddressesToRetry(start.Add(20*time.Minute)), "removed after a long silence")
}

// TestDue checks that full state messages are sent sooner while an address that was added lately has not answered, and
// after the first message of a process.
func TestDue(t *testing.T) {
	cases := map[string]struct {
		before func(p *cvpeertable.Table)
		soon   bool
	}{
		"alone":                    {func(*cvpeertable.Table) {}, false},
		"silent, learned lately":   {func(p *cvpeertable.Table) { p.AddAddresses(start, []string{"b"}) }, true},
		"silent, learned long ago": {func(p *cvpeertable.Table) { p.AddAddresses(start.Add(-3*time.Second), []string{"b"}) }, false},
		"known":                    {func(p *cvpeertable.Table) { update(p, start.Add(-time.Second), "b", "x", 1); p.RecordStateSent(start) }, false},
		"new process":              {func(p *cvpeertable.Table) { p.RecordStateSent(start); update(p, start, "b", "x", 1) }, true},
		"restarted": {func(p *cvpeertable.Table) {
			update(p, start.Add(-time.Second), "b", "x", 1)
			p.RecordStateSent(start)
			p.RecordMessage(start, "b", 2, 1)
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &cvpeertable.Table{Self: "a", DataCentre: "x"}
			require.True(t, table.StateDue(start), "no message was sent yet")
			table.RecordStateSent(start)
			c.before(table)
			require.False(t, table.StateDue(start.Add(50*time.Millisecond)))
			require.Equal(t, c.soon, table.StateDue(start.Add(100*time.Millisecond)))
			require.True(t, table.StateDue(start.Add(500*time.Millisecond)))
		})
	}
}

// TestOutOfOrderMessages guards against outdated state: late messages are ignored, but a new process numbers its
// messages from the start.
func TestOutOfOrderMessages(t *testing.T) {
	table := &cvpeertable.Table{Self: "a"}
	require.True(t, table.RecordMessage(start, "b", 1, 5))
	require.False(t, table.RecordMessage(start, "b", 1, 4))
	require.False(t, table.RecordMessage(start, "b", 1, 5))
	require.True(t, table.RecordMessage(start, "b", 2, 1))
	require.False(t, table.RecordMessage(start, "a", 9, 9), "a message from this balancer")
}

// TestSharers guards against counting too few balancers, which would let them exceed the shared budget together.
func TestSharers(t *testing.T) {
	table := &cvpeertable.Table{Self: "a"}
	require.GreaterOrEqual(t, table.Sharers(start), 12, "no other balancer is known yet")
	for i := range 5 {
		update(table, start, fmt.Sprint("b", i), "x", 1)
	}
	require.GreaterOrEqual(t, table.Sharers(start), 6)
	require.GreaterOrEqual(t, table.Sharers(start.Add(20*time.Second)), 6, "silent balancers still count within the window")
}

// TestTasks checks that all balancers of a data centre agree on the owner of each task, and that each owns a fair
// share.
func TestTasks(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e"}
	views := viewsOf(addresses)
	share := map[string]int{}
	for task := range 200 {
		mine := 0
		for _, table := range views {
			if table.OwnsTask(start, fmt.Sprint(task)) {
				mine++
				share[table.Self]++
			}
		}
		require.Equal(t, 1, mine)
	}
	for _, self := range addresses {
		require.InDelta(t, 40, share[self], 20)
	}
}

// TestAhead checks that Ahead prefers balancers of this data centre among those with higher offsets, and reports
// whether any reads the directories for others.
func TestAhead(t *testing.T) {
	table := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	_, _, readByPeer := table.Ahead(start, time.Second, offset(0), offset(0))
	require.False(t, readByPeer)
	receive(table, start, "b", 1, &cvwire.News{DataCentre: "y", Reading: true, RoutesNext: 9, UpstreamsNext: 7})
	receive(table, start, "c", 1, &cvwire.News{DataCentre: "x", Reading: true, RoutesNext: 9, UpstreamsNext: 4})
	receive(table, start, "d", 1, &cvwire.News{DataCentre: "x", Reading: true, ReadAgeMs: 60_000, RoutesNext: 20, UpstreamsNext: 20})
	routes, upstreams, readByPeer := table.Ahead(start, time.Second, offset(8), offset(4))
	require.True(t, readByPeer)
	require.Equal(t, "c", routes, "a balancer of this data centre is preferred")
	require.Equal(t, "b", upstreams, "the only balancer with a higher offset and a recent read")
	routes, _, readByPeer = table.Ahead(start, time.Second, offset(9), offset(7))
	require.True(t, readByPeer)
	require.Empty(t, routes)
	_, _, readByPeer = table.Ahead(start.Add(1500*time.Millisecond), time.Second, offset(0), offset(0))
	require.False(t, readByPeer)
}

// TestReader checks that exactly one balancer of a data centre reads the directories, and never one that cannot.
func TestReader(t *testing.T) {
	addresses := []string{"a", "b", "c", "d"}
	unreadable := map[string]bool{}
	for number := range uint64(len(addresses)) {
		var readers []string
		for _, self := range addresses {
			table := &cvpeertable.Table{Self: self, DataCentre: "x"}
			for _, other := range addresses {
				receive(table, start, other, number+1, &cvwire.News{DataCentre: "x", Unreadable: unreadable[other]})
			}
			if !unreadable[self] && table.OwnsReading(start) {
				readers = append(readers, self)
			}
		}
		require.Len(t, readers, 1, "unreadable: %v", unreadable)
		unreadable[readers[0]] = true
	}
}

// TestReadByPeer checks that a balancer counts as reading for others only while that is its task and its messages
// arrive.
func TestReadByPeer(t *testing.T) {
	table := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	readByPeer := func(now time.Time) bool {
		_, _, readByPeer := table.Ahead(now, time.Minute, offset(0), offset(0))
		return readByPeer
	}
	receive(table, start, "b", 1, &cvwire.News{DataCentre: "x"})
	require.False(t, readByPeer(start), "a single read does not bring the other balancers the next change")
	receive(table, start, "b", 2, &cvwire.News{DataCentre: "x", Reading: true})
	require.True(t, readByPeer(start))
	require.False(t, readByPeer(start.Add(1500*time.Millisecond)), "no message since")
}

// TestDirectorySource checks that the source can read the directory of upstreams and is preferably of this data centre.
func TestDirectorySource(t *testing.T) {
	table := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	require.Empty(t, table.DirectorySource(start))
	update(table, start, "b", "y", 1)
	update(table, start, "d", "x", 1)
	update(table, start, "c", "x", 1)
	require.Equal(t, "c", table.DirectorySource(start))
	receive(table, start, "c", 2, &cvwire.News{DataCentre: "x", Version: 1, DirectoryAway: true})
	receive(table, start, "d", 2, &cvwire.News{DataCentre: "x", Version: 1, DirectoryAway: true})
	require.Equal(t, "b", table.DirectorySource(start))
	receive(table, start, "b", 2, &cvwire.News{DataCentre: "y", Version: 1, DirectoryAway: true})
	require.Empty(t, table.DirectorySource(start))
	require.Empty(t, table.DirectorySource(start.Add(time.Minute)))
}

// TestMembers checks that the states of a data centre's balancers reach another data centre, and that older states are
// ignored.
func TestMembers(t *testing.T) {
	there := &cvpeertable.Table{Self: "b1", DataCentre: "y"}
	receive(there, start, "b2", 1, &cvwire.News{DataCentre: "y", Version: 7, RoutesNext: 3, UpstreamsNext: 4, Reading: true, ReadAgeMs: 100})
	receive(there, start, "a1", 1, &cvwire.News{DataCentre: "x", Version: 9})
	members := there.Members(start.Add(200 * time.Millisecond))
	require.Len(t, members, 1, "only the balancers of the data centre")
	here := &cvpeertable.Table{Self: "a1", DataCentre: "x"}
	now := start.Add(time.Second)
	here.RecordMembers(now, "x", members)
	require.Empty(t, here.Live(now, false), "not about this data centre")
	here.RecordMembers(now, "y", append(members, &cvwire.BalancerState{Address: "a1"}))
	require.Equal(t, []string{"b2"}, here.Live(now, false))
	require.Empty(t, here.Live(now, true))
	require.Empty(t, here.StateReceivers(now))
	require.Equal(t, map[string][]string{"y": {"b2"}}, here.RemoteDataCentres(now))
	address, version := here.NewestVersion(now)
	require.Equal(t, "b2", address)
	require.Equal(t, int64(7), version)
	routes, upstreams, readByPeer := here.Ahead(now, time.Second, offset(2), offset(3))
	require.Equal(t, "b2", routes)
	require.Equal(t, "b2", upstreams)
	require.True(t, readByPeer)
	here.RecordMembers(now, "y", []*cvwire.BalancerState{{Address: "b2", AgeMs: 400, Version: 6}})
	_, version = here.NewestVersion(now)
	require.Equal(t, int64(7), version, "a state older than the known one")
	require.Empty(t, here.Live(now.Add(3*time.Second), false))
}

// TestSpeaks checks that exactly one balancer of a data centre sends its state to the others in a slot, each in turn.
func TestSpeaks(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e"}
	views := viewsOf(addresses)
	for _, table := range views {
		update(table, start, "f", "y", 1)
	}
	spoken := map[string]bool{}
	for slot := int64(1000); slot < 1005; slot++ {
		var speakers []string
		for _, table := range views {
			if table.Speaks(start, slot) {
				speakers = append(speakers, table.Self)
				spoken[table.Self] = true
			}
		}
		require.Len(t, speakers, 1)
	}
	require.Len(t, spoken, len(addresses))
}

// TestGreetings checks who sends messages to silent addresses of another data centre: nobody while that data centre has
// a live balancer, otherwise one for each address.
func TestGreetings(t *testing.T) {
	const silence = 4 * time.Second
	addresses := []string{"a", "b", "c"}
	cases := map[string]struct {
		heard, live []string
		greeted     int
	}{
		"one is live":   {heard: []string{"x", "y", "z"}, live: []string{"z"}, greeted: 0},
		"none is live":  {heard: []string{"x", "y", "z"}, greeted: 3},
		"never heard":   {greeted: 3},
		"one is silent": {heard: []string{"x"}, greeted: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			greeted := map[string]int{}
			for _, self := range addresses {
				table := &cvpeertable.Table{Self: self, DataCentre: "near"}
				if len(c.heard) == 0 {
					table.AddAddresses(start, []string{"x", "y", "z"})
				}
				for _, a := range c.heard {
					update(table, start, a, "far", 1)
				}
				now := start.Add(silence)
				for _, a := range c.live {
					update(table, now, a, "far", 2)
				}
				for _, a := range addresses {
					update(table, now, a, "near", 1)
				}
				for _, a := range table.AddressesToRetry(now) {
					greeted[a]++
				}
			}
			require.Len(t, greeted, c.greeted)
			for a, times := range greeted {
				require.Equal(t, 1, times, a)
			}
		})
	}
}

// TestReplies checks that a balancer of another data centre gets the full state when it asks, and the addresses of its
// own data centre with it.
func TestReplies(t *testing.T) {
	table := &cvpeertable.Table{Self: "a", DataCentre: "x"}
	for i := range 12 {
		update(table, start, fmt.Sprint("y", i), "y", 1)
	}
	update(table, start, "x1", "x", 1)
	update(table, start, "z1", "z", 1)
	table.RecordStateSent(start)
	soon := start.Add(100 * time.Millisecond)
	require.False(t, table.StateDue(soon))
	require.Empty(t, table.TakeReplies())
	receive(table, start, "y-new", 1, &cvwire.News{DataCentre: "y", WantsReply: true})
	require.True(t, table.StateDue(soon))
	require.Equal(t, map[string][]string{"y": {"y-new"}}, table.TakeReplies())
	require.Empty(t, table.TakeReplies(), "it has the reply")
	message := &cvwire.News{}
	table.ListPeers(start, "y", message, func([]string) {})
	require.Len(t, message.GetPeers(), 8)
	count := map[string]int{}
	for n, a := range message.GetPeers() {
		require.Equal(t, a[:1], message.GetPeerDataCentres()[n])
		count[message.GetPeerDataCentres()[n]]++
	}
	require.Equal(t, map[string]int{"y": 7, "z": 1}, count)
	here := &cvpeertable.Table{Self: "y-new", DataCentre: "y"}
	receive(here, start, "a", 1, &cvwire.News{DataCentre: "x", Peers: message.GetPeers(), PeerDataCentres: message.GetPeerDataCentres()})
	require.Len(t, here.AddressesToRetry(start), 7, "all but itself are greeted, as no balancer of their data centres is live")
}

// TestSharersOfUnknownDataCentres checks that a data centre without news counts like this one.
func TestSharersOfUnknownDataCentres(t *testing.T) {
	table := &cvpeertable.Table{Self: "a", DataCentre: "x", DataCentres: 4}
	for i := range 9 {
		update(table, start, fmt.Sprint("b", i), "x", 1)
	}
	require.GreaterOrEqual(t, table.Sharers(start), 40)
	update(table, start, "c", "y", 1)
	require.GreaterOrEqual(t, table.Sharers(start), 31)
	require.Less(t, table.Sharers(start), 40)
}

// TestDemands checks among which balancers the requests that an upstream takes are divided.
func TestDemands(t *testing.T) {
	const demand = 8
	cases := map[string]struct {
		seeds []string
		// heard is set if balancer "b" has sent its state, stopping if it said that it stops; silence is the time since.
		heard, stopping bool
		silence         time.Duration
		// counted is set if "b" has a share, isolated if no other balancer has been heard of lately.
		counted, isolated bool
	}{
		"alone":                        {},
		"none of the seeds answers":    {seeds: []string{"b"}, isolated: true},
		"another":                      {seeds: []string{"b"}, heard: true, counted: true},
		"one that stops":               {seeds: []string{"b"}, heard: true, stopping: true},
		"one that is silent":           {seeds: []string{"b"}, heard: true, silence: 10 * time.Second, counted: true, isolated: true},
		"one that was silent for long": {seeds: []string{"b"}, heard: true, silence: time.Minute, isolated: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &cvpeertable.Table{Self: "a", DataCentre: "x"}
			table.AddAddresses(start, c.seeds)
			if c.heard {
				receive(table, start, "b", 1, &cvwire.News{DataCentre: "x", Demand: demand, Stopping: c.stopping})
			}
			demands, isolated := table.Demands(start.Add(c.silence))
			require.Equal(t, c.isolated, isolated)
			if c.counted {
				require.Equal(t, map[string]float64{"b": demand}, demands)
			} else {
				require.Empty(t, demands)
			}
		})
	}
}

// TestAheadAcrossEras guards against a balancer that follows one which stands at a higher offset, but of a time before
// the directory was restored from an older copy.
func TestAheadAcrossEras(t *testing.T) {
	cases := map[string]struct {
		era, next int64
		from      comfreyvale.Position
		ahead     bool
	}{
		"same era, further":       {2, 9, comfreyvale.NewPosition(2, 8), true},
		"same era, as far":        {2, 9, comfreyvale.NewPosition(2, 9), false},
		"earlier era, further":    {1, 99, comfreyvale.NewPosition(2, 8), false},
		"later era, lower offset": {2, 3, comfreyvale.NewPosition(1, 99), true},
	}
	for name, c := range cases {
		for place, dataCentre := range map[string]string{"near": "x", "told by others": "y"} {
			t.Run(name+", "+place, func(t *testing.T) {
				here := &cvpeertable.Table{Self: "a", DataCentre: "x"}
				state := &cvwire.News{DataCentre: dataCentre, Reading: true, RoutesNext: c.next, UpstreamsNext: c.next, RoutesEra: c.era, UpstreamsEra: c.era}
				if dataCentre == here.DataCentre {
					receive(here, start, "b", 1, state)
				} else {
					there := &cvpeertable.Table{Self: "c", DataCentre: dataCentre}
					receive(there, start, "b", 1, state)
					here.RecordMembers(start, dataCentre, there.Members(start))
				}
				routes, upstreams, readByPeer := here.Ahead(start, time.Second, c.from, c.from)
				require.True(t, readByPeer)
				require.Equal(t, c.ahead, routes == "b")
				require.Equal(t, c.ahead, upstreams == "b")
			})
		}
	}
}
