package proof

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/load/cvload"
	"comfreyvale/io/load/cvprofile"
	"comfreyvale/io/load/cvreport"
)

const (
	loadTime = 9 * time.Second
	loadRate = 150
)

// orders is a load of orders with resends, doubled orders and some lookups.
func orders(c *cluster, seed uint64, name string) *cvload.Load {
	return &cvload.Load{
		Targets: c.callers(), Rate: loadRate, Duration: loadTime, Timeout: 4 * time.Second, MaxResends: 3, DuplicateShare: 0.2, RepeatShare: 0.3, Seed: seed,
		Name: fmt.Sprintf("%s-%d", name, seed),
		Profiles: []cvprofile.Profile{
			{Name: "reserve", Weight: 0.8, Method: "POST", Host: "listings.lanasur.example", Path: "/reservations", Keyed: true, WorkMs: 20},
			{Name: "lookup", Weight: 0.2, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d"},
		},
	}
}

// failure is something that goes wrong while orders come in.
type failure func(c *cluster, random *rand.Rand)

func pickEntry(random *rand.Rand) int { return random.IntN(balancerCount) }

func killAndReplace(c *cluster, random *rand.Rand) {
	i := pickEntry(random)
	c.kill(entry(i))
	time.Sleep(time.Second)
	c.startBalancer(i)
}

func freezeLong(c *cluster, random *rand.Rand) { c.freeze(entry(pickEntry(random)), 5*time.Second) }

func isolate(oneWay bool) failure {
	return func(c *cluster, random *rand.Rand) {
		i := pickEntry(random)
		c.links.isolate(i, oneWay, true)
		time.Sleep(5 * time.Second)
		c.links.isolate(i, oneWay, false)
	}
}

func logFault(on, off map[string]any) failure {
	return func(c *cluster, _ *rand.Rand) {
		c.log(on)
		time.Sleep(4 * time.Second)
		c.log(off)
	}
}

var (
	logDown = logFault(map[string]any{"down": true}, map[string]any{"down": false})
	logSlow = logFault(map[string]any{"delayMs": 400}, map[string]any{"delayMs": 0})
	logLose = logFault(map[string]any{"loseAnswers": true}, map[string]any{"loseAnswers": false})
	logKeep = logFault(map[string]any{"keep": 5}, map[string]any{"keep": 0})
)

func rolling(c *cluster, _ *rand.Rand) {
	for i := range balancerCount {
		if status := c.stop(entry(i)); status != 0 {
			c.t.Errorf("%s ended with status %d", entry(i), status)
		}
		c.startBalancer(i)
		c.await("http://" + c.admin(i) + "/ready")
	}
}

// TestOrdersRunAtMostOnce breaks the system under a load of orders and judges by the upstreams' own records.
func TestOrdersRunAtMostOnce(t *testing.T) {
	cases := map[string][]failure{
		"nothing":                 {},
		"kill":                    {killAndReplace},
		"freeze":                  {freezeLong},
		"cut":                     {isolate(false)},
		"one-way cut":             {isolate(true)},
		"log down":                {logDown},
		"log slow":                {logSlow},
		"log answers lost":        {logLose},
		"log forgets":             {logKeep},
		"rolling replacement":     {rolling},
		"kill, log down":          {killAndReplace, logDown},
		"freeze, answers lost":    {freezeLong, logLose},
		"cut, log slow":           {isolate(false), logSlow},
		"kill, kill":              {killAndReplace, killAndReplace},
		"freeze, cut":             {freezeLong, isolate(true)},
		"kill, log forgets":       {killAndReplace, logKeep},
		"replacement, log slow":   {rolling, logSlow},
		"replacement, lost words": {rolling, logLose},
	}
	for name, failures := range cases {
		for seed := 1; seed <= *long; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				v := proveOnce(t, name, uint64(seed), failures)
				t.Logf("%s, seed %d: %s", name, seed, &v)
				require.Empty(t, v.violations)
				require.NotZero(t, v.answered, "a system that answers nothing proves nothing")
			})
		}
	}
}

func proveOnce(t *testing.T, name string, seed uint64, failures []failure) verdict {
	c := newCluster(t)
	load := orders(c, seed, "once")
	var report *cvreport.Report
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		report, err = load.Run(context.Background())
	}()
	time.Sleep(time.Second)
	finished := make(chan struct{}, len(failures))
	for i, f := range failures {
		random := rand.New(rand.NewPCG(seed, uint64(len(name)+i)))
		go func() {
			defer func() { finished <- struct{}{} }()
			f(c, random)
		}()
	}
	for range failures {
		<-finished
	}
	<-done
	require.NoError(t, err)
	var table bytes.Buffer
	require.NoError(t, report.Write(&table))
	t.Log("\n" + table.String())
	return judge(report, c.runs())
}
