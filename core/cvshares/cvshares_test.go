package cvshares_test

import (
	"flag"
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreyvale/core/cvshares"
)

// A fixed seed makes every run check the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// fleet returns the shares of balancers with the given demands.
func fleet(demands map[string]float64) map[string]cvshares.Shares {
	all := make(map[string]cvshares.Shares)
	for address, demand := range demands {
		others := maps.Clone(demands)
		delete(others, address)
		all[address] = cvshares.New(address, demand, others)
	}
	return all
}

func equalDemands(count int) map[string]float64 {
	demands := make(map[string]float64)
	for n := range count {
		demands[fmt.Sprintf("10.0.0.%d:7000", n)] = 8
	}
	return demands
}

func owners(all map[string]cvshares.Shares, subject uint64, period int64) []string {
	var found []string
	for address, s := range all {
		if s.Owns(subject, period) {
			found = append(found, address)
		}
	}
	return found
}

// TestOneOwner checks that each period has exactly one owner among balancers that know of each other.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make(map[string]float64)
		for n := range rapid.IntRange(1, 130).Draw(t, "balancers") {
			demands[fmt.Sprint(n)] = rapid.Float64Range(0, 1000).Draw(t, "demand")
		}
		all := fleet(demands)
		require.Len(t, owners(all, rapid.Uint64().Draw(t, "subject"), rapid.Int64().Draw(t, "period")), 1)
	})
}

// TestSharesFollowDemand checks the part of the periods that a balancer owns.
func TestSharesFollowDemand(t *testing.T) {
	cases := map[string]struct {
		demand, other float64
		others        int
		expected      float64
	}{
		"alone":            {8, 0, 0, 1},
		"six":              {8, 8, 5, 1.0 / 6},
		"124":              {8, 8, 123, 1.0 / 124},
		"busier":           {32, 8, 5, 4.0 / 9},
		"the only busy":    {64, 0, 5, 64 / (64 + 5*0.25)},
		"nobody busy":      {0, 0, 3, 0.25},
		"a little busier":  {9, 8, 5, 1.0 / 6},
		"without requests": {0, 8, 3, 0.25 / 24.25},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			others := make(map[string]float64)
			for n := range c.others {
				others[fmt.Sprint("other-", n)] = c.other
			}
			s := cvshares.New("self", c.demand, others)
			const periods = 100000
			owned := 0
			for p := range int64(periods) {
				if s.Owns(7, p) {
					owned++
				}
			}
			require.InDelta(t, c.expected, float64(owned)/periods, 0.01)
		})
	}
	none := cvshares.None()
	require.False(t, none.Owns(1, 1))
}

// TestOwnersStay checks that a balancer which comes takes over periods, and moves none between others.
func TestOwnersStay(t *testing.T) {
	demands := equalDemands(12)
	before := fleet(demands)
	demands["newcomer"] = 8
	after := fleet(demands)
	for p := range int64(1000) {
		if now := owners(after, 3, p); now[0] != "newcomer" {
			require.Equal(t, owners(before, 3, p), now)
		}
	}
}

func BenchmarkOwns(b *testing.B) {
	s := cvshares.New("self", 8, equalDemands(123))
	for n := range b.N {
		s.Owns(7, int64(n))
	}
}
