package cvnamedlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvnamedlimit"
)

// statement is made a number of milliseconds after the start.
type statement struct {
	ms        int
	perSecond float64
	changed   bool
}

// TestLimitInForce checks which limit is in force after a series of answers.
func TestLimitInForce(t *testing.T) {
	cases := map[string]struct {
		statements []statement
		perSecond  float64
	}{
		"none":                          {[]statement{{0, 0, false}}, 0},
		"first":                         {[]statement{{0, 2, true}}, 2},
		"named again":                   {[]statement{{0, 2, true}, {10, 2, false}}, 2},
		"lowered":                       {[]statement{{0, 2, true}, {10, 0.5, true}}, 0.5},
		"raised":                        {[]statement{{0, 2, true}, {1000, 3, true}}, 3},
		"raised at once":                {[]statement{{0, 2, true}, {999, 3, false}}, 2},
		"alternating":                   {[]statement{{0, 2, true}, {500, 3, false}, {900, 2, false}, {1800, 3, false}}, 2},
		"withdrawn":                     {[]statement{{0, 2, true}, {1000, 0, true}}, 0},
		"missing in one answer":         {[]statement{{0, 2, true}, {900, 2, false}, {1000, 0, false}}, 2},
		"named again after withdrawal":  {[]statement{{0, 2, true}, {1000, 0, true}, {1001, 4, true}}, 4},
		"an old answer after that":      {[]statement{{0, 2, true}, {1000, 0, true}, {999, 2, false}}, 0},
		"an older answer names a lower": {[]statement{{500, 2, true}, {400, 1, true}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var l cvnamedlimit.Limit
			for _, s := range c.statements {
				require.Equal(t, s.changed, l.Record(start.Add(time.Duration(s.ms)*time.Millisecond), s.perSecond, ""), "at %d ms", s.ms)
			}
			require.InDelta(t, c.perSecond, l.PerSecond(), 0)
		})
	}
}

// TestLimitSource checks whose statement the limit in force is.
func TestLimitSource(t *testing.T) {
	start := time.Unix(1000, 0)
	var l cvnamedlimit.Limit
	require.True(t, l.StatedAt().IsZero())
	l.Record(start, 2, "10.0.0.1:7000")
	require.Equal(t, "10.0.0.1:7000", l.Source())
	l.Record(start.Add(time.Millisecond), 2, "")
	require.Empty(t, l.Source())
	require.Equal(t, start.Add(time.Millisecond), l.StatedAt())
	l.Record(start, 2, "10.0.0.1:7000")
	require.Empty(t, l.Source())
}
