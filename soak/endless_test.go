package soak

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvsplit"
	"comfreyvale/io/standins/cvmalformed"
	"comfreyvale/io/standins/cvrawserver"
	"comfreyvale/platform/cvformat"
	"comfreyvale/platform/cvtopicserver"
)

const (
	// smallMemoryMB is the memory of the smallest VMs that operators use.
	smallMemoryMB = 184
	// longResponseBytes is the length of the responses that slow callers don't read.
	longResponseBytes = 8 << 20
	slowCallers       = 40
	endlessTime       = 6 * time.Second
)

// peakMemoryMB returns the largest resident size of a process so far.
func peakMemoryMB(t *testing.T, pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			require.NoError(t, err)
			return kilobytes >> 10
		}
	}
	t.Fatalf("process %d tells no peak of its memory", pid)
	return 0
}

// startSmall starts a balancer with smallMemoryMB and a directory at an address, and returns its process.
func (cl *cluster) startSmall(index, subnet int, directory string) (*balancer, *process) {
	cl.storeProxies = append(cl.storeProxies, newProxy(cl.t, directory))
	b := cl.newBalancer(index, subnet)
	file, err := os.OpenFile(b.settingsFile(), os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(cl.t, err)
	_, err = fmt.Fprintf(file, "memory: %d\n", smallMemoryMB)
	require.NoError(cl.t, err)
	require.NoError(cl.t, file.Close())
	cl.balancers = append(cl.balancers, b)
	cl.start(b)
	return b, b.currentProcess()
}

// startEndless starts upstreams of the group "bad", one for each place at which a response may have no end and one that
// sends long ones, and returns their paths. Their health checks have no end either.
func (cl *cluster) startEndless() (paths []string, endless, long *cvrawserver.Server) {
	id := cvformat.HeaderNames().RequestID
	names := slices.Sorted(maps.Keys(cvmalformed.EndlessResponses("")))
	named := func(request *http.Request) cvmalformed.Endless {
		number, _ := strconv.Atoi(strings.Trim(request.URL.Path, "/bad"))
		return cvmalformed.EndlessResponses(fmt.Sprintf("%s: %s\r\n", id, request.Header.Get(id)))[names[number%len(names)]]
	}
	endless = &cvrawserver.Server{
		Respond: func(r *http.Request) string { return named(r).Start },
		Endless: func(r *http.Request) string { return named(r).Part },
	}
	long = &cvrawserver.Server{Respond: func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", id, r.Header.Get(id), longResponseBytes, strings.Repeat("x", longResponseBytes))
	}}
	for group, server := range map[string]*cvrawserver.Server{"bad": endless, "long": long} {
		address, err := server.Start()
		require.NoError(cl.t, err)
		cl.t.Cleanup(server.Stop)
		for n := range 4 {
			name := fmt.Sprint(group, n)
			value, err := cvtopicserver.EncodeInstance(cvinstance.New(name, group, address, "dc-0", 64).WithSequence(1, 1))
			require.NoError(cl.t, err)
			cl.store.Put(cvformat.UpstreamTopic, name, value)
		}
	}
	for n := range names {
		paths = append(paths, fmt.Sprintf("/bad/%d", n))
	}
	return paths, endless, long
}

// newRoute returns a route to one group for requests that may run once.
func newRoute(prefix, group string, timeout time.Duration) *cvroute.Route {
	return cvroute.New(group, "h", prefix, cvsplit.New(group, 1)).WithTimes(timeout, timeout).WithMaxAttempts(1)
}

// publishRoutes publishes the next configuration version with other routes.
func (cl *cluster) publishRoutes(routes ...*cvroute.Route) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.version++
	value, err := cvtopicserver.EncodeConfiguration(cl.version, 10*time.Second, routes...)
	require.NoError(cl.t, err)
	cl.store.Put(cvformat.ConfigurationTopic, cvformat.ConfigurationKey, value)
}

// requestSlowly sends a request and does not read its response for a while.
func requestSlowly(b *balancer, id string) error {
	conn, err := b.dial()
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "POST /long/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", cvformat.HeaderNames().RequestID, id)
	time.Sleep(endlessTime / 2)
	return err
}

// TestEndlessBytes guards against a balancer that takes more memory than its VM has, or fails other callers, while
// upstreams or the platform's directory send bytes without end, in any place of a response, and callers read slowly.
func TestEndlessBytes(t *testing.T) {
	const subnet = 18
	cl := newCluster(t, 1, subnet)
	b, p := cl.startSmall(len(cl.balancers), subnet, cl.storeProxies[0].target)
	paths, endless, long := cl.startEndless()
	cl.publishRoutes(newRoute("/safe/", groups[0], requestTimeout).WithIdempotent(false), newRoute("/bad/", "bad", requestTimeout), newRoute("/long/", "long", requestTimeout))
	cl.await("the small balancer is ready", b.isReady)
	cl.await("sound requests are served", func() bool { return b.getStatus("/safe/x", "sound") == http.StatusOK })
	var callers sync.WaitGroup
	end := time.Now().Add(endlessTime)
	for n, path := range paths {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				if status := b.getStatus(path, fmt.Sprintf("bad-%d-%d", n, i)); status < http.StatusInternalServerError {
					t.Errorf("a response without end to %s came with status %d", path, status)
				}
			}
		})
	}
	for n := range slowCallers {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				if err := requestSlowly(b, fmt.Sprintf("long-%d-%d", n, i)); err != nil {
					t.Errorf("a slow caller: %v", err)
				}
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		if status := b.getStatus("/safe/x", fmt.Sprint("sound-", i)); status != http.StatusOK {
			t.Errorf("a sound request got status %d", status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	require.Same(t, p, b.currentProcess())
	peak := peakMemoryMB(t, p.command.Process.Pid)
	t.Logf("peak of the memory beside %d responses without end and %d long ones: %d of %d MB", endless.Received(), long.Received(), peak, smallMemoryMB)
	require.Greater(t, endless.Received(), int64(len(paths)))
	require.Greater(t, long.Received(), int64(slowCallers))
	require.Less(t, peak, smallMemoryMB)
}

// TestEndlessDirectory is like TestEndlessBytes for a directory that sends bytes without end.
func TestEndlessDirectory(t *testing.T) {
	const subnet = 17
	cl := &cluster{t: t, store: cvtopicserver.New(), publishedAt: make(map[int64]time.Time)}
	t.Cleanup(cl.stopBalancers)
	names := slices.Sorted(maps.Keys(cvmalformed.EndlessResponses("")))
	for n, name := range names {
		c := cvmalformed.EndlessResponses("")[name]
		server := &cvrawserver.Server{Respond: func(*http.Request) string { return c.Start }, Endless: func(*http.Request) string { return c.Part }}
		address, err := server.Start()
		require.NoError(t, err)
		t.Cleanup(server.Stop)
		cl.startSmall(n, subnet, address)
	}
	time.Sleep(endlessTime)
	for n, b := range cl.balancers {
		p := b.currentProcess()
		select {
		case <-p.exited:
			t.Errorf("%s: the process has ended", names[n])
			continue
		default:
		}
		peak := peakMemoryMB(t, p.command.Process.Pid)
		t.Logf("%s: peak of the memory: %d of %d MB", names[n], peak, smallMemoryMB)
		require.Less(t, peak, smallMemoryMB, names[n])
	}
}
