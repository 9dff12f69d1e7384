package cvsealed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvsealed"
	"comfreyvale/core/cvwire"
)

// TestLostUntil guards against a gap that ends before the windows of the claims that the log has dropped. Those were
// made before the first claim that is left, but perhaps after one whose release is left.
func TestLostUntil(t *testing.T) {
	const window = 10 * time.Minute
	start := time.Unix(1000, 0)
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }
	claim := func(minutes int, released bool) *cvwire.Claim {
		return &cvwire.Claim{AtUnixMs: at(minutes).UnixMilli(), Released: released}
	}
	cases := map[string]struct {
		truncated bool
		left      []*cvwire.Claim
		until     time.Time
	}{
		"complete":                {false, []*cvwire.Claim{claim(1, false)}, time.Time{}},
		"claims left":             {true, []*cvwire.Claim{claim(5, false), claim(6, false)}, at(15)},
		"a release before claims": {true, []*cvwire.Claim{claim(0, true), claim(9, false)}, at(19)},
		"releases alone":          {true, []*cvwire.Claim{claim(0, true)}, at(30)},
		"nothing left":            {true, nil, at(30)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := &cvsealed.Journal{}
			if c.truncated {
				j.MarkTruncated()
			}
			for _, left := range c.left {
				require.False(t, j.Add(&cvwire.JournalRecord{Claims: []*cvwire.Claim{left}, LongestWindowMs: window.Milliseconds()}))
			}
			require.True(t, j.Add(&cvwire.JournalRecord{SealedBy: "other"}))
			until := j.LostUntil(at(20), window)
			require.True(t, c.until.Equal(until), "%s", until)
		})
	}
}
