package cvpermits_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvpermits"
	"comfreyvale/core/cvshares"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const (
	// window, limitFactor and slack are the users' bound on the requests of an upstream that limits them.
	window      = 4 * time.Second
	limitFactor = 1.5
	slack       = 5
)

var start = time.Unix(1_800_000_000, 0)

func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*window.Seconds()) + slack
}

func always(int64) bool { return true }

// most returns the highest number of times within a window.
func most(times []time.Time) int {
	found := 0
	for first, at := range times {
		last := first
		for last < len(times) && times[last].Sub(at) < window {
			last++
		}
		found = max(found, last-first)
	}
	return found
}

// TestRateOfOneBalancer checks how many requests a busy balancer that owns every period sends: not more than the limit,
// and most of it.
func TestRateOfOneBalancer(t *testing.T) {
	for _, perSecond := range []float64{0.01, 0.1, 0.3, 0.9, 1, 1.1, 2, 7, 19.9, 63, 64, 65, 200, 999.5} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			var p cvpermits.Permits
			p.SetLimit(start, perSecond)
			require.False(t, p.Available(start, always), "the period in which the limit becomes known")
			seconds := max(60, 20/perSecond)
			taken := 0
			for ms := range int(seconds * 1000) {
				for now := start.Add(time.Duration(ms) * time.Millisecond); p.Available(now, always); taken++ {
					p.Take()
				}
			}
			require.LessOrEqual(t, float64(taken), perSecond*seconds+1)
			require.GreaterOrEqual(t, float64(taken), 0.8*perSecond*seconds-1)
		})
	}
}

// TestLapse checks that what was not used does not add up, as while the balancer was paused or had no requests.
func TestLapse(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 3, 50, 200} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			var p cvpermits.Permits
			p.SetLimit(start, perSecond)
			now := start.Add(time.Minute)
			taken := 0
			for ; p.Available(now, always); taken++ {
				p.Take()
			}
			require.LessOrEqual(t, taken, int(math.Ceil(perSecond))+1)
			require.Positive(t, taken)
		})
	}
}

// TestLimitChanges checks that a new limit gives no second permit for the present time.
func TestLimitChanges(t *testing.T) {
	cases := map[string]struct {
		from, to float64
		free     bool
	}{
		"raised":            {1, 4, false},
		"lowered":           {4, 1, false},
		"changed a little":  {0.9, 0.95, true},
		"a much higher one": {1, 500, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p cvpermits.Permits
			p.SetLimit(start, c.from)
			now := start.Add(3500 * time.Millisecond)
			require.True(t, p.Available(now, always))
			p.SetLimit(now, c.to)
			require.Equal(t, c.free, p.Available(now, always))
			require.True(t, p.Available(now.Add(2*time.Second), always))
		})
	}
}

// TestClockSteps checks that steps of the clock give no second permit, and stop the balancer for a bounded time.
func TestClockSteps(t *testing.T) {
	for name, step := range map[string]time.Duration{"back": -2 * time.Second, "far back": -time.Hour, "ahead": 2 * time.Second, "far ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			var p cvpermits.Permits
			p.SetLimit(start, 1)
			now := start.Add(2500 * time.Millisecond)
			require.True(t, p.Available(now, always))
			p.Take()
			stepped := now.Add(step)
			require.Equal(t, step > 0, p.Available(stepped, always))
			require.True(t, p.Available(stepped.Add(4*time.Second), always))
		})
	}
}

// TestCount checks the number of permits until a time.
func TestCount(t *testing.T) {
	even := func(period int64) bool { return period%2 == 0 }
	cases := map[string]struct {
		perSecond float64
		owns      func(int64) bool
		wait      time.Duration
		count     int
	}{
		"the present one":          {1, always, 0, 1},
		"and the next two":         {1, always, 2 * time.Second, 3},
		"every other":              {1, even, 10 * time.Second, 6},
		"none in time":             {0.01, always, time.Second, 0},
		"several in a period":      {80, always, 0, 10 * 8},
		"those of the last second": {8, always, 0, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p cvpermits.Permits
			p.SetLimit(start, c.perSecond)
			now := start.Add(10 * time.Second)
			require.Equal(t, c.count, p.Count(now, now.Add(c.wait), c.owns))
		})
	}
}

// balancer is one process in TestFleetKeepsLimit.
type balancer struct {
	permits cvpermits.Permits
	shares  cvshares.Shares
	// clock is the deviation of its wall clock.
	clock   time.Duration
	settled time.Time
}

// TestFleetKeepsLimit guards against more requests than an upstream allows: in any interleaving of requests, news of who
// is there, new limits, pauses, stops and starts of balancers, no window has more. While limits change, the highest one
// counts.
func TestFleetKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			subject = 7
			// settling is how long after its start a balancer knows of the others.
			settling = 2 * time.Second
		)
		drawLimit := func() float64 { return math.Exp2(rapid.Float64Range(-5, 6).Draw(t, "log2 of the limit")) }
		perSecond := drawLimit()
		highest := perSecond
		count := rapid.SampledFrom([]int{1, 2, 6, 44, 124}).Draw(t, "balancers")
		fleet := make([]*balancer, count)
		gone := make(map[int]bool)
		// told is the demand that each balancer last told; inform lets a balancer hear of all.
		told := slices.Repeat([]float64{8}, count)
		inform := func(n int) {
			others := make(map[string]float64)
			for o := range fleet {
				if o != n && !gone[o] {
					others[fmt.Sprint(o)] = told[o]
				}
			}
			fleet[n].shares = cvshares.New(fmt.Sprint(n), told[n], others)
		}
		now := start
		for n := range fleet {
			fleet[n] = &balancer{clock: time.Duration(rapid.IntRange(-50, 50).Draw(t, "clock in ms")) * time.Millisecond}
			fleet[n].permits.SetLimit(now.Add(fleet[n].clock), perSecond)
			inform(n)
		}
		var sent []time.Time
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, count-1).Draw(t, "balancer")
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0:
				// Another process starts in its place, and knows nothing.
				fleet[n].permits, fleet[n].settled = cvpermits.Permits{}, now.Add(settling)
				fleet[n].permits.SetLimit(now.Add(fleet[n].clock), perSecond)
			case 1:
				gone[n] = !gone[n]
				fleet[n].settled = now.Add(settling)
			case 2:
				inform(n)
			case 3:
				// One balancer hears of a new limit; the others still have the one before, until they hear in their turn.
				if rapid.Bool().Draw(t, "new") {
					perSecond = drawLimit()
					highest = max(highest, perSecond)
				}
				fleet[n].permits.SetLimit(now.Add(fleet[n].clock), perSecond)
			case 4:
				told[n] = rapid.SampledFrom([]float64{0, 1, 8, 64}).Draw(t, "demand")
			default:
				// All that are not gone have more requests than they may send; a paused one has none in this step.
				paused := rapid.IntRange(0, count-1).Draw(t, "paused")
				for b, f := range fleet {
					owns := func(period int64) bool { return f.shares.Owns(subject, period) }
					for !gone[b] && b != paused && !now.Before(f.settled) && f.permits.Available(now.Add(f.clock), owns) {
						f.permits.Take()
						sent = append(sent, now)
					}
				}
			}
		}
		require.LessOrEqual(t, most(sent), allowed(highest), "limit %.3f, %d balancers", highest, count)
	})
}
