package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/load/cvload"
	"comfreyvale/io/load/cvprofile"
	"comfreyvale/io/load/cvreport"
	"comfreyvale/io/store/cvhttpvmlist"
)

const (
	benchUpstreams = 30
	benchSlots     = 4
	benchWorkMs    = 20.0
	benchTime      = 4 * time.Second
)

// scenario is a load and a fault. loadShare is the load as a share of the capacity of all upstreams. inject may be nil;
// a fault that repeats ends when stop is closed.
type scenario struct {
	name      string
	loadShare float64
	inject    func(bc *benchCluster, stop <-chan struct{})
}

type benchCluster struct {
	cluster   *cluster
	addresses []string
	random    *rand.Rand
}

func (bc *benchCluster) setFault(i int, fault map[string]any) {
	body, _ := json.Marshal(fault)
	response, err := http.Post("http://"+bc.addresses[i]+"/control", "application/json", bytes.NewReader(body))
	if err == nil {
		response.Body.Close()
	}
}

func stallUpstreams(bc *benchCluster, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		bc.setFault(bc.random.IntN(len(bc.addresses)), map[string]any{"stallMs": 5 + bc.random.IntN(46)})
	}
}

func slowThird(bc *benchCluster, _ <-chan struct{}) {
	for i := range len(bc.addresses) / 3 {
		bc.setFault(i, map[string]any{"slowFactor": 3})
	}
}

func failFast(bc *benchCluster, _ <-chan struct{}) {
	for i := range 2 {
		bc.setFault(i, map[string]any{"failFast": true})
	}
}

func killBalancer(bc *benchCluster, _ <-chan struct{}) {
	time.Sleep(2 * time.Second)
	bc.cluster.kill(balancerName(2))
}

func drainWave(bc *benchCluster, _ <-chan struct{}) {
	for i := range len(bc.addresses) / 5 {
		time.Sleep(300 * time.Millisecond)
		bc.setFault(i, map[string]any{"drain": true, "refuseWhileDraining": true})
	}
}

var scenarios = []scenario{
	{"steady 50%", 0.5, nil},
	{"steady 75%", 0.75, nil},
	{"steady 90%", 0.9, nil},
	{"stalls at 75%", 0.75, stallUpstreams},
	{"burst to 130%", 1.3, nil},
	{"slow third at 50%", 0.5, slowThird},
	{"two fail fast at 75%", 0.75, failFast},
	{"one balancer lost at 50%", 0.5, killBalancer},
	{"drain wave at 50%", 0.5, drainWave},
}

// BenchmarkPolicies measures each policy in each scenario with the same calls.
func BenchmarkPolicies(b *testing.B) {
	rows := []struct {
		policy, hedge string
	}{{"random", "100%"}, {"robin", "100%"}, {"leastOfTwo", "100%"}, {"probing", "100%"}, {"soonest", "100%"}, {"soonest", "95%"}}
	for _, s := range scenarios {
		for _, r := range rows {
			b.Run(fmt.Sprintf("%s/%s, hedge %s", s.name, r.policy, r.hedge), func(b *testing.B) {
				for range b.N {
					runScenario(b, s, r.policy, r.hedge)
				}
			})
		}
	}
}

func runScenario(b *testing.B, s scenario, policy, hedge string) {
	directory := b.TempDir()
	service := fmt.Sprintf("service: lanasur-listings\nhost: listings.lanasur.example\ngroup: listings\nslots: %d\ntimeout: 2s\nqueue: 2000\nhedgeQuantile: %s\n", benchSlots, hedge)
	require.NoError(b, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(service), 0o600))
	c := newClusterWithOptions(b, options{policy: policy, upstreams: benchUpstreams, service: directory})
	vms, err := (&cvhttpvmlist.List{Address: c.listURL()}).List(context.Background())
	require.NoError(b, err)
	bc := &benchCluster{cluster: c, random: rand.New(rand.NewPCG(1, 1))}
	for _, v := range vms {
		if v.Group() == "listings" {
			bc.addresses = append(bc.addresses, v.Address())
		}
	}
	time.Sleep(2500 * time.Millisecond)
	load := &cvload.Generator{
		Targets: c.callers(), Duration: benchTime, Timeout: 3 * time.Second, Seed: 7, Name: "bench",
		Rate:     s.loadShare * benchUpstreams * benchSlots * 1000 / benchWorkMs,
		Profiles: []cvprofile.Profile{{Name: "lookup", Weight: 1, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d", WorkMs: benchWorkMs}},
	}
	var killed atomic.Bool
	load.Live = func(target string) bool { return !killed.Load() || target != c.caller(2) }
	stop := make(chan struct{})
	if s.inject != nil {
		go func() {
			s.inject(bc, stop)
			killed.Store(s.name == "one balancer lost at 50%")
		}()
	}
	report, err := load.Run(context.Background())
	close(stop)
	require.NoError(b, err)
	calls := float64(report.Calls("all"))
	b.ReportMetric(quantileMs(report, 0.5), "p50-ms")
	b.ReportMetric(quantileMs(report, 0.99), "p99-ms")
	b.ReportMetric(quantileMs(report, 0.999), "p99.9-ms")
	b.ReportMetric(100*(calls-float64(report.Count("all", cvreport.Answered)))/calls, "%unanswered")
	served, probes := bc.servedAndProbes()
	b.ReportMetric(served/calls, "tries/call")
	b.ReportMetric(probes/calls, "probes/call")
	b.ReportMetric(0, "ns/op")
}

func quantileMs(report *cvreport.Report, quantile float64) float64 {
	return float64(report.Quantile("all", quantile)) / float64(time.Millisecond)
}

// servedAndProbes returns the number of requests and the number of load probes that all upstreams served. Unreachable
// upstreams count as zero.
func (bc *benchCluster) servedAndProbes() (served, probes float64) {
	for _, a := range bc.addresses {
		response, err := http.Get("http://" + a + "/control/counts")
		if err != nil {
			continue
		}
		var counts map[string]float64
		_ = json.NewDecoder(response.Body).Decode(&counts)
		response.Body.Close()
		served += counts["served"]
		probes += counts["measured"]
	}
	return served, probes
}
