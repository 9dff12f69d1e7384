package cvsuspicion_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvsuspicion"
)

func TestEvict(t *testing.T) {
	now := time.Unix(100, 0)
	six := []string{"a", "b", "c", "d", "e", "f"}
	cases := map[string]struct {
		members  []string
		self     string
		since    time.Duration
		refused  bool
		reports  []string
		unlisted bool
		want     []string
	}{
		"lost by one of six":               {members: six, self: "a", since: 5 * time.Second},
		"lost by half with the first":      {members: six, self: "a", since: 5 * time.Second, reports: []string{"b", "c"}, want: []string{"f"}},
		"lost by half without the first":   {members: six, self: "b", since: 5 * time.Second, reports: []string{"c", "d"}},
		"lost by most":                     {members: six, self: "b", since: 5 * time.Second, reports: []string{"c", "d", "e"}, want: []string{"f"}},
		"lost by most, but not for long":   {members: six, self: "b", since: time.Second, reports: []string{"c", "d", "e"}},
		"refuses connections":              {members: six, self: "b", since: time.Second, refused: true, reports: []string{"c", "d", "e"}, want: []string{"f"}},
		"no longer listed":                 {members: six, self: "b", since: 5 * time.Second, unlisted: true, want: []string{"f"}},
		"not its turn yet":                 {members: six, self: "e", since: 2100 * time.Millisecond, reports: []string{"a", "b", "c"}},
		"not a member":                     {members: six[:5], self: "b", since: 5 * time.Second, unlisted: true},
		"one of two, the other being last": {members: []string{"a", "f"}, self: "a", since: 5 * time.Second, want: []string{"f"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &cvsuspicion.Suspicion{Self: c.self, LostTimeout: 2 * time.Second, RefusedTimeout: 300 * time.Millisecond}
			s.MarkUnreachable(now.Add(-c.since), "f", c.refused)
			for _, r := range c.reports {
				s.RecordReport(now, r, []string{"f"})
			}
			require.Equal(t, c.want, s.Evictions(now, c.members, func(string) bool { return c.unlisted }))
			s.MarkReachable("f")
			require.Empty(t, s.Evictions(now, c.members, func(string) bool { return true }))
		})
	}
}
