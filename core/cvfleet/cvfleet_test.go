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

// The seed is fixed, so that each run has the same verdict; rapid prints it with a failure.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1000, 0)

func entry(id string, born, sequence int64, draining bool) *cvinstance.Instance {
	return cvinstance.New(id, "g", "10.0.0.1:80", "dc", 4).WithState(draining, 0).WithSequence(born, sequence)
}

func ids(f *cvfleet.Fleet) []string {
	found := []string{}
	for _, i := range f.Instances() {
		found = append(found, i.ID())
	}
	return found
}

// TestOrder takes reports by start and number, whatever order they come in.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		reports  []*cvinstance.Instance
		born     int64
		draining bool
	}{
		"a later number":                 {[]*cvinstance.Instance{entry("a", 1, 1, false), entry("a", 1, 2, true)}, 1, true},
		"an older number comes late":     {[]*cvinstance.Instance{entry("a", 1, 2, true), entry("a", 1, 1, false)}, 1, true},
		"a new start counts from zero":   {[]*cvinstance.Instance{entry("a", 1, 9, true), entry("a", 2, 0, false)}, 2, false},
		"an older start comes late":      {[]*cvinstance.Instance{entry("a", 2, 0, false), entry("a", 1, 9, true)}, 2, false},
		"draining is not taken back":     {[]*cvinstance.Instance{entry("a", 1, 1, true), entry("a", 1, 2, false)}, 1, true},
		"the same report comes twice":    {[]*cvinstance.Instance{entry("a", 1, 1, false), entry("a", 1, 1, false)}, 1, false},
		"a new start after a late older": {[]*cvinstance.Instance{entry("a", 3, 1, true), entry("a", 2, 5, false), entry("a", 4, 0, false)}, 4, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f cvfleet.Fleet
			for _, r := range c.reports {
				f.Put(start, r)
			}
			require.Len(t, f.Instances(), 1)
			require.Equal(t, c.draining, f.Instances()[0].Draining())
			require.True(t, f.Instances()[0].SameStart(entry("a", c.born, 0, false)))
		})
	}
}

// TestRemoved drops an entry at once, and does not take it back from an older report.
func TestRemoved(t *testing.T) {
	var f cvfleet.Fleet
	f.Put(start, entry("a", 1, 5, false))
	require.True(t, f.Remove(start, "a"))
	require.Empty(t, ids(&f))
	require.False(t, f.Put(start, entry("a", 1, 4, false)))
	require.Empty(t, ids(&f))
	require.True(t, f.Put(start, entry("a", 1, 6, false)))
	require.Equal(t, []string{"a"}, ids(&f))
}

// TestGrace keeps entries that lapsed in an outage until they had time to come back, and no others.
func TestGrace(t *testing.T) {
	cases := map[string]struct {
		away  time.Duration
		alone bool
		kept  bool
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
			f.Put(now, entry("a", 1, 1, false))
			f.Put(now, entry("b", 1, 1, false))
			f.MarkDirectoryUnreachable(now)
			now = now.Add(c.away)
			f.MarkDirectoryReachable(now, c.alone)
			f.Replace(now, []*cvinstance.Instance{entry("b", 1, 2, false)})
			if !c.kept {
				require.Equal(t, []string{"b"}, ids(&f))
				return
			}
			require.Equal(t, []string{"a", "b"}, ids(&f))
			f.Expire(now.Add(2 * time.Second))
			require.Equal(t, []string{"a", "b"}, ids(&f), "entries have two seconds to come back")
			f.Put(now.Add(2*time.Second), entry("a", 1, 2, false))
			require.False(t, f.Expire(now.Add(4*time.Second)))
			require.Equal(t, []string{"a", "b"}, ids(&f))
		})
	}
}

// TestLapsedForGood drops an entry that does not come back.
func TestLapsedForGood(t *testing.T) {
	var f cvfleet.Fleet
	f.Put(start, entry("a", 1, 1, false))
	f.MarkDirectoryUnreachable(start)
	f.MarkDirectoryReachable(start.Add(10*time.Second), false)
	f.Remove(start.Add(10*time.Second), "a")
	require.Equal(t, 1, f.Lapsed())
	require.True(t, f.Expire(start.Add(13*time.Second)))
	require.Empty(t, ids(&f))
}

// TestAgainstNaive compares with a set that keeps the greatest report of each id, for any order of reports.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f cvfleet.Fleet
		best := map[string]*cvinstance.Instance{}
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
			r := entry(id, int64(rapid.IntRange(1, 4).Draw(t, "born")), int64(rapid.IntRange(0, 9).Draw(t, "sequence")), false)
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

// TestReplaceFromPeer lets an instance come back, by the report that was known, that another balancer's reading lacked; an
// older report does not bring it back, nor does a report bring back what the own reading lacked.
func TestReplaceFromPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(sequence int64) *cvinstance.Instance {
		return cvinstance.New("a", "g", "1.2.3.4:5", "dc", 4).WithSequence(1, sequence)
	}
	cases := map[string]struct {
		replace  func(f *cvfleet.Fleet, now time.Time, instances []*cvinstance.Instance) bool
		sequence int64
		back     bool
	}{
		"heard, the same report":   {(*cvfleet.Fleet).ReplaceFromPeer, 5, true},
		"heard, a newer report":    {(*cvfleet.Fleet).ReplaceFromPeer, 6, true},
		"heard, an older report":   {(*cvfleet.Fleet).ReplaceFromPeer, 4, false},
		"own reading, the same":    {(*cvfleet.Fleet).Replace, 5, false},
		"own reading, a newer one": {(*cvfleet.Fleet).Replace, 6, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &cvfleet.Fleet{}
			require.True(t, f.Put(now, report(5)))
			require.True(t, c.replace(f, now, nil))
			require.Empty(t, f.Instances())
			require.Equal(t, c.back, f.Put(now, report(c.sequence)))
		})
	}
}
