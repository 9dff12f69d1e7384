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
	loadDuration   = 9 * time.Second
	callsPerSecond = 150
)

// orders returns a load of orders and some lookups. Failed orders are resent; some orders are also sent to two
// balancers at once, or repeated later, with the same idempotency key.
func orders(c *cluster, seed uint64, name string) *cvload.Generator {
	return &cvload.Generator{
		Targets: c.callers(), Rate: callsPerSecond, Duration: loadDuration, Timeout: 4 * time.Second, MaxResends: 3, DuplicateShare: 0.2, RepeatShare: 0.3, Seed: seed,
		Name: fmt.Sprintf("%s-%d", name, seed),
		Profiles: []cvprofile.Profile{
			{Name: "reserve", Weight: 0.8, Method: "POST", Host: "listings.lanasur.example", Path: "/reservations", Keyed: true, WorkMs: 20},
			{Name: "lookup", Weight: 0.2, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d"},
		},
	}
}

// fault injects a fault and returns when the fault has ended.
type fault func(c *cluster, random *rand.Rand)

func pickBalancer(random *rand.Rand) int { return random.IntN(balancerCount) }

func killAndReplace(c *cluster, random *rand.Rand) {
	i := pickBalancer(random)
	c.kill(balancerName(i))
	time.Sleep(time.Second)
	c.startBalancer(i)
}

func freezeBalancer(c *cluster, random *rand.Rand) {
	c.freeze(balancerName(pickBalancer(random)), 5*time.Second)
}

func isolate(oneWay bool) fault {
	return func(c *cluster, random *rand.Rand) {
		i := pickBalancer(random)
		c.network.isolate(i, oneWay, true)
		time.Sleep(5 * time.Second)
		c.network.isolate(i, oneWay, false)
	}
}

func logFault(on, off map[string]any) fault {
	return func(c *cluster, _ *rand.Rand) {
		c.setLogFault(on)
		time.Sleep(4 * time.Second)
		c.setLogFault(off)
	}
}

var (
	logDown           = logFault(map[string]any{"down": true}, map[string]any{"down": false})
	logSlow           = logFault(map[string]any{"delayMs": 400}, map[string]any{"delayMs": 0})
	logLosesResponses = logFault(map[string]any{"loseAnswers": true}, map[string]any{"loseAnswers": false})
	logDropsRecords   = logFault(map[string]any{"keep": 5}, map[string]any{"keep": 0})
)

// rollingRestart restarts the balancers in turn. Each must exit with status 0 and become ready again.
func rollingRestart(c *cluster, _ *rand.Rand) {
	for i := range balancerCount {
		if status := c.stop(balancerName(i)); status != 0 {
			c.t.Errorf("%s exited with status %d", balancerName(i), status)
		}
		c.startBalancer(i)
		c.awaitOK("http://" + c.admin(i) + "/ready")
	}
}

// TestOrdersRunAtMostOnce guards against orders that run twice, or that ran though callers were told that they didn't,
// while processes, the network and the log fail.
func TestOrdersRunAtMostOnce(t *testing.T) {
	cases := map[string][]fault{
		"nothing":                 {},
		"kill":                    {killAndReplace},
		"freeze":                  {freezeBalancer},
		"cut":                     {isolate(false)},
		"one-way cut":             {isolate(true)},
		"log down":                {logDown},
		"log slow":                {logSlow},
		"log answers lost":        {logLosesResponses},
		"log forgets":             {logDropsRecords},
		"rolling replacement":     {rollingRestart},
		"kill, log down":          {killAndReplace, logDown},
		"freeze, answers lost":    {freezeBalancer, logLosesResponses},
		"cut, log slow":           {isolate(false), logSlow},
		"kill, kill":              {killAndReplace, killAndReplace},
		"freeze, cut":             {freezeBalancer, isolate(true)},
		"kill, log forgets":       {killAndReplace, logDropsRecords},
		"replacement, log slow":   {rollingRestart, logSlow},
		"replacement, lost words": {rollingRestart, logLosesResponses},
	}
	for name, faults := range cases {
		for seed := 1; seed <= *seedCount; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				result := runOrders(t, name, uint64(seed), faults)
				t.Logf("%s, seed %d: %s", name, seed, &result)
				require.Empty(t, result.violations)
				require.NotZero(t, result.answered, "no order was answered, so nothing was checked")
			})
		}
	}
}

// runOrders sends orders to a new cluster while all faults are injected concurrently.
func runOrders(t *testing.T, name string, seed uint64, faults []fault) checkResult {
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
	finished := make(chan struct{}, len(faults))
	for i, f := range faults {
		random := rand.New(rand.NewPCG(seed, uint64(len(name)+i)))
		go func() {
			defer func() { finished <- struct{}{} }()
			f(c, random)
		}()
	}
	for range faults {
		<-finished
	}
	<-done
	require.NoError(t, err)
	var table bytes.Buffer
	require.NoError(t, report.Write(&table))
	t.Log("\n" + table.String())
	return checkRuns(report, c.runs())
}
