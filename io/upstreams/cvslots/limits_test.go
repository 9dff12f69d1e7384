package cvslots_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvbudget"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/upstreams/cvslots"
)

func instance(startUnixMilli int64) *cvinstance.Instance {
	return cvinstance.New("i-1", "g", "10.0.0.1:80", "dc", 4).WithSequence(startUnixMilli, 1)
}

func newSlots(now time.Time, startUnixMilli int64) *cvslots.Slots {
	s := &cvslots.Slots{DataCentre: "dc", Budget: &cvbudget.Budget{Window: 10 * time.Second}, Balancers: func() int { return 1 }}
	s.Update(now, []*cvinstance.Instance{instance(startUnixMilli)})
	return s
}

// TestLimitsInMessages checks what another balancer learns of a request limit, and that it does not take it for that of
// another run of the upstream.
func TestLimitsInMessages(t *testing.T) {
	const age = 300 * time.Millisecond
	cases := map[string]struct {
		run      int64
		named    []float64
		expected float64
	}{
		"a limit":             {run: 7, named: []float64{0.3}, expected: 0.3},
		"lowered":             {run: 7, named: []float64{0.3, 0.1}, expected: 0.1},
		"of another run":      {run: 8, named: []float64{0.3}},
		"none was ever named": {run: 7},
	}
	for name, c := range cases {
		for kind, fill := range map[string]func(s *cvslots.Slots, now time.Time, message *cvwire.News){
			"changes": func(s *cvslots.Slots, now time.Time, m *cvwire.News) { s.FillUpstreams(now, m, false) },
			"full state": func(s *cvslots.Slots, now time.Time, m *cvwire.News) {
				s.FillUpstreams(now, &cvwire.News{}, false)
				s.FillUpstreams(now, m, true)
			},
			"digest":           func(s *cvslots.Slots, now time.Time, m *cvwire.News) { s.FillDigest(now, m, age, false) },
			"digest, repeated": func(s *cvslots.Slots, now time.Time, m *cvwire.News) { s.FillDigest(now, m, 0, true) },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				now := time.Unix(1000, 0)
				from, to := newSlots(now, 7), newSlots(now, c.run)
				for _, perSecond := range c.named {
					from.RecordLimit(now, now, instance(7), perSecond)
				}
				message := &cvwire.News{}
				fill(from, now.Add(age), message)
				for _, told := range message.GetLimits() {
					to.RecordPeerLimit(now.Add(age), told, instance(c.run), "peer")
				}
				limit := to.NamedLimit("i-1")
				require.InDelta(t, c.expected, limit.PerSecond(), 0)
				if c.expected > 0 {
					require.Equal(t, now, limit.StatedAt())
					require.Equal(t, "peer", limit.Source())
				}
			})
		}
	}
}
