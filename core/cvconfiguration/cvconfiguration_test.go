package cvconfiguration_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvconfiguration"
	"comfreyvale/core/cvservice"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// TestOverlap checks Overlap against a comparison of all pairs, for any services.
func TestOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var services []*cvservice.Service
		taken := map[string]bool{}
		expected := false
		for n := range rapid.IntRange(0, 7).Draw(t, "services") {
			host := rapid.SampledFrom([]string{"*", "a.example", "b.example"}).Draw(t, "host")
			prefix := rapid.SampledFrom([]string{"/", "/a", "/b", "/longer"}).Draw(t, "prefix")
			s, err := cvservice.Parse("f", []byte(fmt.Sprintf("service: s%d\nhost: %q\npathPrefix: %s\ngroup: g\n", n, host, prefix)))
			require.NoError(t, err)
			services = append(services, s)
			expected = expected || taken[host+prefix]
			taken[host+prefix] = true
		}
		a, b, found := cvconfiguration.New(1, services).Overlap()
		require.Equal(t, expected, found)
		if found {
			require.NotSame(t, a, b)
			require.Equal(t, a.Host()+a.PathPrefix(), b.Host()+b.PathPrefix())
		}
	})
}
