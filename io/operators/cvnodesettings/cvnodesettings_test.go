package cvnodesettings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/operators/cvnodesettings"
)

const validSettings = `vm: v1
dataCentre: a
listen: "10.0.0.1:80"
ready: "10.0.0.1:81"
peer: "10.0.0.1:82"
news: "10.0.0.1:83"
directory: "10.9.9.9:90"
seeds: ["10.0.0.1:82", "10.0.0.2:82"]
`

// TestParse guards against lost values or defaults, and against seeds that keep the port of their peer address instead
// of the gossip port.
func TestParse(t *testing.T) {
	s, err := cvnodesettings.Parse("f", []byte(validSettings+"terms:\n  retryRatio: 0.25\n  stop: 8s\n"))
	require.NoError(t, err)
	require.Equal(t, []string{"10.0.0.1:83", "10.0.0.2:83"}, s.SeedAddresses())
	require.InDelta(t, 0.25, s.Terms().RetryRatio(), 1e-9)
	require.Equal(t, 8*time.Second, s.Terms().Grace())
	require.Equal(t, 2*time.Second, s.Terms().Drain())
	require.Empty(t, s.AdminAddress())
}

// TestProblems guards against invalid files that are accepted, and against errors without line and field.
func TestProblems(t *testing.T) {
	cases := map[string]struct{ text, problem string }{
		"an unknown field":    {validSettings + "colour: red\n", "f:9:1: colour: is unknown"},
		"a wrong address":     {validSettings + "admin: here\n", "f:9:8: admin:"},
		"a term out of range": {validSettings + "terms:\n  stop: 1ms\n", "f:10:9: terms.stop:"},
		"a ratio in words":    {validSettings + "terms:\n  retryRatio: much\n", "f:10:15: terms.retryRatio:"},
		"a field missing":     {"vm: v1\n", "listen: is missing"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := cvnodesettings.Parse("f", []byte(c.text))
			require.ErrorContains(t, err, c.problem)
		})
	}
}
