package cvfleet_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvfleet"
	"comfreyvale/core/cvinstance"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1000, 0)

func testInstance(id string, born, sequence int64, draining bool) *cvinstance.Instance {
	return cvinstance.New(id, "g", "10.0.0.1:80", "dc", 4).WithState(draining, 0).WithSequence(born, sequence)
}

func instanceIDs(f *cvfleet.Fleet) []string {
	found := []string{}
	for _, i := range f.Instances() {
		found = append(found, i.ID())
	}
	return found
}

// TestOrder guards against an outdated report replacing a newer one: reports are ordered by start time and sequence
// number, not by arrival.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		reports  []*cvinstance.Instance
		born     int64
		draining bool
	}{
		"a later number":                 {[]*cvinstance.Instance{testInstance("a", 1, 1, false), testInstance("a", 1, 2, true)}, 1, true},
		"an older number comes late":     {[]*cvinstance.Instance{testInstance("a", 1, 2, true), testInstance("a", 1, 1, false)}, 1, true},
		"a new start counts from zero":   {[]*cvinstance.Instance{testInstance("a", 1, 9, true), testInstance("a", 2, 0, false)}, 2, false},
		"an older start comes late":      {[]*cvinstance.Instance{testInstance("a", 2, 0, false), testInstance("a", 1, 9, true)}, 2, false},
		"draining is not taken back":     {[]*cvinstance.Instance{testInstance("a", 1, 1, true), testInstance("a", 1, 2, false)}, 1, true},
		"the same report comes twice":    {[]*cvinstance.Instance{testInstance("a", 1, 1, false), testInstance("a", 1, 1, false)}, 1, false},
		"a new start after a late older": {[]*cvinstance.Instance{testInstance("a", 3, 1, true), testInstance("a", 2, 5, false), testInstance("a", 4, 0, false)}, 4, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f cvfleet.Fleet
			for _, r := range c.reports {
				f.Put(start, r)
			}
			require.Len(t, f.Instances(), 1)
			require.Equal(t, c.draining, f.Instances()[0].Draining())
			require.True(t, f.Instances()[0].SameStart(testInstance("a", c.born, 0, false)))
		})
	}
}

// TestRemoved checks that a removed entry leaves the set at once, and that an older report does not add it again.
func TestRemoved(t *testing.T) {
	var f cvfleet.Fleet
	f.Put(start, testInstance("a", 1, 5, false))
	require.True(t, f.Remove(start, "a"))
	require.Empty(t, instanceIDs(&f))
	require.False(t, f.Put(start, testInstance("a", 1, 4, false)))
	require.Empty(t, instanceIDs(&f))
	require.True(t, f.Put(start, testInstance("a", 1, 6, false)))
	require.Equal(t, []string{"a"}, instanceIDs(&f))
}

// TestGrace guards against removing running upstreams after an outage of the directory: entries that lapsed during a
// long outage are kept until the upstreams had time to report again, others are removed at once.
func TestGrace(t *testing.T) {
	cases := map[string]struct {
		outage      time.Duration
		peerReached bool
		kept        bool
	}{
		"a long outage": {5 * time.Second, false, true},
		"an outage too short for entries to lapse":      {time.Second, false, false},
		"an outage of this balancer alone":              {5 * time.Second, true, false},
		"a read that was forgotten, cut off or late":    {0, false, false},
		"just short of the time in which they lapse":    {3*time.Second - time.Millisecond, false, false},
		"just past the time in which entries can lapse": {3 * time.Second, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f cvfleet.Fleet
			now := start
			f.Put(now, testInstance("a", 1, 1, false))
			f.Put(now, testInstance("b", 1, 1, false))
			f.MarkDirectoryUnreachable(now)
			now = now.Add(c.outage)
			f.MarkDirectoryReachable(now, c.peerReached)
			f.Replace(now, []*cvinstance.Instance{testInstance("b", 1, 2, false)})
			if !c.kept {
				require.Equal(t, []string{"b"}, instanceIDs(&f))
				return
			}
			require.Equal(t, []string{"a", "b"}, instanceIDs(&f))
			f.Expire(now.Add(2 * time.Second))
			require.Equal(t, []string{"a", "b"}, instanceIDs(&f), "an entry was removed within two seconds after the outage")
			f.Put(now.Add(2*time.Second), testInstance("a", 1, 2, false))
			require.False(t, f.Expire(now.Add(4*time.Second)))
			require.Equal(t, []string{"a", "b"}, instanceIDs(&f))
		})
	}
}

// TestLapsedForGood checks that an entry that does not return after an outage is removed.
func TestLapsedForGood(t *testing.T) {
	var f cvfleet.Fleet
	f.Put(start, testInstance("a", 1, 1, false))
	f.MarkDirectoryUnreachable(start)
	f.MarkDirectoryReachable(start.Add(10*time.Second), false)
	f.Remove(start.Add(10*time.Second), "a")
	require.Equal(t, 1, f.Lapsed())
	require.True(t, f.Expire(start.Add(13*time.Second)))
	require.Empty(t, instanceIDs(&f))
}

// TestAgainstNaive checks the set against a map of the newest report of each ID, for any order of reports.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f cvfleet.Fleet
		best := map[string]*cvinstance.Instance{}
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
			r := testInstance(id, int64(rapid.IntRange(1, 4).Draw(t, "born")), int64(rapid.IntRange(0, 9).Draw(t, "sequence")), false)
			f.Put(start, r)
			if best[id] == nil || r.Newer(best[id]) {
				best[id] = r
			}
		}
		require.Len(t, f.Instances(), len(best))
		for _, i := range f.Instances() {
			require.False(t, i.Newer(best[i.ID()]))
			require.False(t, best[i.ID()].Newer(i))
		}
	})
}

// TestReplaceFromPeer checks that an instance missing in a peer's listing returns with the last known report or a newer
// one. After a listing that this balancer has read itself, only a newer report adds it again.
func TestReplaceFromPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(sequence int64) *cvinstance.Instance {
		return cvinstance.New("a", "g", "1.2.3.4:5", "dc", 4).WithSequence(1, sequence)
	}
	cases := map[string]struct {
		replace  func(f *cvfleet.Fleet, now time.Time, instances []*cvinstance.Instance) bool
		sequence int64
		returns  bool
	}{
		"read by a peer, the same report": {(*cvfleet.Fleet).ReplaceFromPeer, 5, true},
		"read by a peer, a newer report":  {(*cvfleet.Fleet).ReplaceFromPeer, 6, true},
		"read by a peer, an older report": {(*cvfleet.Fleet).ReplaceFromPeer, 4, false},
		"own reading, the same":           {(*cvfleet.Fleet).Replace, 5, false},
		"own reading, a newer one":        {(*cvfleet.Fleet).Replace, 6, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &cvfleet.Fleet{}
			require.True(t, f.Put(now, report(5)))
			require.True(t, c.replace(f, now, nil))
			require.Empty(t, f.Instances())
			require.Equal(t, c.returns, f.Put(now, report(c.sequence)))
		})
	}
}

// TestGraceAfterRestoration checks what happens to an upstream whose entry is missing after the directory was restored
// from an older copy.
func TestGraceAfterRestoration(t *testing.T) {
	const soon, late = 2 * time.Second, 3 * time.Second
	cases := map[string]struct {
		written *cvinstance.Instance
		after   []string
	}{
		"not written again":         {nil, []string{}},
		"written again":             {testInstance("a", 1, 5, false), []string{"a"}},
		"written again, later":      {testInstance("a", 1, 6, false), []string{"a"}},
		"the copy has an old entry": {testInstance("a", 1, 2, false), []string{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &cvfleet.Fleet{}
			f.Put(start, testInstance("a", 1, 5, false))
			f.MarkDirectoryRestored(start)
			f.Replace(start, nil)
			require.Equal(t, 1, f.Lapsed())
			require.Equal(t, []string{"a"}, instanceIDs(f))
			if c.written != nil {
				f.Put(start.Add(soon), c.written)
			}
			require.False(t, f.Expire(start.Add(soon)))
			require.Equal(t, c.written == nil, f.Expire(start.Add(late)))
			require.Equal(t, c.after, instanceIDs(f))
		})
	}
}
