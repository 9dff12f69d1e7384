package proof

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/load/cvload"
	"comfreyvale/io/load/cvprofile"
)

const capacityTime = 8 * time.Second

// usage holds the current resident memory in bytes and, since the start of the balancer, the CPU time in seconds, the
// bytes sent to peers and the appends to the log.
type usage struct {
	cpu, memory, peerBytes, appends float64
}

func (c *cluster) usage(i int) usage {
	response, err := http.Get("http://" + c.admin(i) + "/metrics")
	require.NoError(c.t, err)
	defer response.Body.Close()
	var u usage
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		n, _ := strconv.ParseFloat(value, 64)
		switch {
		case name == "process_cpu_seconds_total":
			u.cpu = n
		case name == "process_resident_memory_bytes":
			u.memory = n
		case name == `comfreyvale_peer_bytes_total{direction="out"}`:
			u.peerBytes = n
		case strings.HasPrefix(name, "comfreyvale_log_appends_total"):
			u.appends += n
		}
	}
	return u
}

// averageUsage returns the mean usage per balancer during run: CPU time in percent of one core, resident memory at the
// end in MB and data sent to peers in KB/s. appends is the sum of all balancers per second.
func (c *cluster) averageUsage(run func()) (cpuShare, memoryMB, peerKBs, appends float64) {
	var before []usage
	for i := range c.numBalancers() {
		before = append(before, c.usage(i))
	}
	start := time.Now()
	run()
	seconds := time.Since(start).Seconds()
	n := float64(c.numBalancers())
	for i := range c.numBalancers() {
		u := c.usage(i)
		cpuShare += 100 * (u.cpu - before[i].cpu) / seconds / n
		memoryMB += u.memory / 1e6 / n
		peerKBs += (u.peerBytes - before[i].peerBytes) / 1e3 / seconds / n
		appends += (u.appends - before[i].appends) / seconds
	}
	return cpuShare, memoryMB, peerKBs, appends
}

func reportUsage(b *testing.B, cpuShare, memoryMB, peerKBs, appends float64) {
	b.ReportMetric(cpuShare, "%core")
	b.ReportMetric(memoryMB, "MB")
	b.ReportMetric(peerKBs, "KB/s-out")
	b.ReportMetric(appends, "appends/s-all")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacity measures how the resource usage of a balancer depends on the number of balancers, the number of
// services, and the rate of calls with and without an idempotency key.
func BenchmarkCapacity(b *testing.B) {
	idle := func() { time.Sleep(capacityTime) }
	for _, balancers := range []int{2, 6, 12, 24, 48} {
		b.Run(fmt.Sprintf("idle, balancers %d", balancers), func(b *testing.B) {
			c := newClusterWithOptions(b, options{balancers: balancers, retention: "1h"})
			time.Sleep(time.Second)
			cpu, memory, bytes, appends := c.averageUsage(idle)
			reportUsage(b, cpu, memory, bytes, appends)
		})
	}
	for _, services := range []int{10, 110, 330} {
		b.Run(fmt.Sprintf("idle, services %d", services), func(b *testing.B) {
			c := newClusterWithOptions(b, options{balancers: 6, upstreams: 30, service: writeServices(b, services), retention: "1h"})
			time.Sleep(time.Second)
			start := time.Now()
			c.publish("one more", c.serviceFile("one-more", "3s"))
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-publish")
			cpu, memory, bytes, appends := c.averageUsage(idle)
			reportUsage(b, cpu, memory, bytes, appends)
		})
	}
	for _, rate := range []float64{300, 2400, 6000} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("calls %.0f, keyed %t", rate, keyed), func(b *testing.B) {
				c := newClusterWithOptions(b, options{balancers: 6, upstreams: 30, retention: "1h"})
				cpu, memory, bytes, appends := c.averageUsage(func() { runCalls(b, c, rate, keyed) })
				reportUsage(b, cpu, memory, bytes, appends)
			})
		}
	}
}

func runCalls(b *testing.B, c *cluster, rate float64, keyed bool) {
	profile := cvprofile.Profile{Name: "lookup", Weight: 1, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d"}
	if keyed {
		profile = cvprofile.Profile{Name: "order", Weight: 1, Method: "POST", Host: "listings.lanasur.example", Path: "/reservations", Keyed: true}
	}
	load := &cvload.Generator{
		Targets: c.callers(), Rate: rate, Duration: capacityTime, Timeout: 5 * time.Second, Seed: 3, Name: "capacity",
		Profiles: []cvprofile.Profile{profile},
	}
	report, err := load.Run(context.Background())
	require.NoError(b, err)
	b.ReportMetric(quantileMs(report, 0.5), "p50-ms")
	b.ReportMetric(quantileMs(report, 0.99), "p99-ms")
}

// writeServices writes files of services that share one group of upstreams, and returns their directory.
func writeServices(b *testing.B, count int) string {
	directory := b.TempDir()
	for i := range count {
		path := filepath.Join(directory, fmt.Sprintf("service-%d", i))
		require.NoError(b, os.MkdirAll(path, 0o700))
		content := fmt.Sprintf("service: service-%d\nhost: service-%d.example\ngroup: listings\nslots: 4\n", i, i)
		require.NoError(b, os.WriteFile(filepath.Join(path, "comfreyvale.yaml"), []byte(content), 0o600))
	}
	return directory
}
