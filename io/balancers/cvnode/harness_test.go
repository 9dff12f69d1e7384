package cvnode_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"comfreyvale"
	"comfreyvale/core/cvgroup"
	"comfreyvale/core/cvheadernames"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvlimits"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvsplit"
	"comfreyvale/core/cvworkspace"
	"comfreyvale/core/cvworkspaces"
	"comfreyvale/io/balancers/cvnode"
	"comfreyvale/io/operators/cvnodesettings"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/io/standins/cvmemdirectory"
)

var headerNames = cvheadernames.Names{
	RequestID: "Test-Id", Deadline: "Test-Deadline", Instance: "Test-Instance", NotRun: "Test-Not-Run", Load: "Test-Load", Limit: "Test-Limit", Signature: "Test-Signature",
	APIKey: "Test-Key", Workspace: "Test-Workspace", WarmUp: "Test-Warmup",
	ParseLoad: func(string) (cvloadreport.Report, bool) { return cvloadreport.New(1, 0, 4, 1), true },
	ParseLimit: func(value string) (float64, bool) {
		perSecond, err := strconv.ParseFloat(value, 64)
		return perSecond, err == nil && perSecond > 0
	},
}

// testRoutes is the configuration format of these tests.
type testRoutes struct {
	Version int64
	Routes  []testRoute
	// Keys holds the API keys by workspace. Without any, requests need no key.
	Keys map[string][]string `json:",omitempty"`
	// Quotas holds the quotas of workspaces.
	Quotas map[string]testQuota `json:",omitempty"`
}

type testQuota struct{ RatePerS, Burst float64 }

type testRoute struct {
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	Attempts   int
	Public     bool
	Splits     map[string]float64
	Regions    []string
	// WarmUp and WarmUpPerS are those of the route's groups.
	WarmUp     time.Duration
	WarmUpPerS float64
	// Target is the target latency; 0 means Timeout.
	Target time.Duration
	// LargeRequests is for uploads.
	LargeRequests bool
}

func parseRoutes(value []byte) (*cvroutes.Table, error) {
	var c testRoutes
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, err
	}
	var routes []*cvroute.Route
	groups := map[string]cvgroup.Group{}
	for _, r := range c.Routes {
		var splits []cvsplit.Split
		for group, weight := range r.Splits {
			splits = append(splits, cvsplit.New(group, weight))
			groups[group] = cvgroup.New(group, "/health", 64).WithWarmUp(r.WarmUp, r.WarmUpPerS)
		}
		route := cvroute.New(r.Prefix, "h", r.Prefix, splits...).WithTimes(r.Timeout, cmp.Or(r.Target, r.Timeout)).WithMaxAttempts(r.Attempts).WithPublic(r.Public).WithRegions(r.Regions)
		if r.Idempotent {
			const largeResponses = false
			route = route.WithIdempotent(largeResponses)
		}
		if r.LargeRequests {
			route = route.WithLargeRequests()
		}
		routes = append(routes, route)
	}
	var all []cvgroup.Group
	for _, g := range groups {
		all = append(all, g)
	}
	table := cvroutes.New(c.Version, routes, all, cvlimits.Default())
	if len(c.Keys) == 0 {
		return table, nil
	}
	workspaces := cvworkspaces.New()
	for name, keys := range c.Keys {
		workspaces.Add(cvworkspace.New(name).WithQuota(c.Quotas[name].RatePerS, c.Quotas[name].Burst), keys...)
	}
	return table.WithWorkspaces(workspaces), nil
}

func parseInstance(id string, value []byte) (*cvinstance.Instance, error) {
	var startUnixMilli, sequence int64
	var group, address string
	var draining bool
	if _, err := fmt.Sscan(string(value), &group, &address, &draining, &startUnixMilli, &sequence); err != nil {
		return nil, errors.Wrap(err, "parse instance record")
	}
	dataCentre, warmUpMs := "dc", int64(0)
	// The data centre and the warm-up time are optional; Sscan leaves them as they are if they are missing.
	_, _ = fmt.Sscan(string(value), &group, &address, &draining, &startUnixMilli, &sequence, &dataCentre, &warmUpMs)
	return cvinstance.New(id, group, address, dataCentre, 4).WithState(draining, time.Duration(warmUpMs)*time.Millisecond).
		WithSequence(startUnixMilli, sequence), nil
}

// logRecorder keeps the log lines of a balancer.
type logRecorder struct {
	mu      sync.Mutex
	entries []*log.Entry
}

func (l *logRecorder) HandleLog(entry *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
	return nil
}

// messages returns the messages of the lines about a request.
func (l *logRecorder) messages(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, e := range l.entries {
		if e.Fields["request"] == id {
			found = append(found, e.Message)
		}
	}
	return found
}

// fields returns the fields of the lines about a request.
func (l *logRecorder) fields(id string) []log.Fields {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []log.Fields
	for _, e := range l.entries {
		if e.Fields["request"] == id {
			found = append(found, e.Fields)
		}
	}
	return found
}

// deployment is a set of balancers and upstreams on loopback addresses.
type deployment struct {
	t                  *testing.T
	routesDirectory    *cvmemdirectory.Directory
	upstreamsDirectory *cvmemdirectory.Directory
	upstreamsByID      map[string]*cvfaulty.Upstream
	addresses          map[string]string
	nodes              []*runningNode
	// ports holds the request, readiness, peer and gossip ports, which all balancers share.
	ports  []int
	tracer trace.Tracer
	// settingsFile is the settings file of new balancers; if it is empty, they don't reload their settings.
	settingsFile string
	// headerNames are those of new balancers.
	headerNames cvheadernames.Names
	// extraWork is the share of hedges in the settings of new balancers, or "" for none.
	extraWork string
	// memoryMB is the memory setting of new balancers, or 0 for the default.
	memoryMB int
	// terms and moreSettings are added to the terms and to the settings of new balancers.
	terms, moreSettings string
	// stopGrace and stopNotice are the times of a planned stop, or 0 for the defaults.
	stopGrace, stopNotice time.Duration
	// bootClock is the boot clock of new balancers, or nil for that of the machine.
	bootClock func() time.Duration
}

// runningNode is a balancer in the test process.
type runningNode struct {
	address, readyAddress string
	logs                  *logRecorder
	stop                  context.CancelFunc
	done                  chan error
}

func newDeployment(t *testing.T) *deployment {
	return &deployment{
		t: t, routesDirectory: cvmemdirectory.New(), upstreamsDirectory: cvmemdirectory.New(),
		upstreamsByID: make(map[string]*cvfaulty.Upstream), addresses: make(map[string]string),
		headerNames: headerNames,
	}
}

// startServing starts one upstream and one balancer. One route must match /safe/.
func startServing(t *testing.T, routes ...testRoute) (*deployment, *cvfaulty.Upstream, *runningNode) {
	d := newDeployment(t)
	u := d.startUpstream("a", "g")
	d.publish(1, routes...)
	n := d.startNode()
	n.awaitReady(t)
	n.awaitStatus(t, "/safe/warm", http.StatusOK)
	return d, u, n
}

func (d *deployment) publish(version int64, routes ...testRoute) {
	d.publishKeys(d.routesDirectory, version, nil, routes...)
}

// publishKeys writes a configuration with API keys by workspace to a directory.
func (d *deployment) publishKeys(directory *cvmemdirectory.Directory, version int64, keys map[string][]string, routes ...testRoute) {
	value, err := json.Marshal(testRoutes{Version: version, Routes: routes, Keys: keys})
	require.NoError(d.t, err)
	directory.Put("routes", value)
}

func (d *deployment) startUpstream(id, group string) *cvfaulty.Upstream {
	u := &cvfaulty.Upstream{ID: id, HeaderNames: headerNames}
	address, err := u.Start()
	require.NoError(d.t, err)
	d.t.Cleanup(u.Stop)
	d.upstreamsByID[id], d.addresses[id] = u, address
	d.putUpstream(id, group, false, 1)
	return u
}

func (d *deployment) putUpstream(id, group string, draining bool, sequence int64) {
	d.upstreamsDirectory.Put(id, fmt.Appendf(nil, "%s %s %v 1 %d", group, d.addresses[id], draining, sequence))
}

var portCount atomic.Int64

// freePort returns a free port below those that the system gives to outgoing connections: one of these could take a port
// between this check and the start of the balancer.
func freePort(t *testing.T) int {
	const first, count, step = 20000, 12000, 7919
	for range 100 {
		port := first + (os.Getpid()*step+int(portCount.Add(1)))%count
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
		if err == nil {
			l.Close()
			return port
		}
	}
	require.Fail(t, "no free port")
	return 0
}

func (d *deployment) startNode() *runningNode {
	return d.startNodeWith(d.routesDirectory, d.upstreamsDirectory)
}

// startNodeWith starts a balancer. All balancers use the same ports on different loopback addresses.
func (d *deployment) startNodeWith(routes, upstreams comfreyvale.Directory) *runningNode {
	if d.ports == nil {
		for range 4 {
			d.ports = append(d.ports, freePort(d.t))
		}
	}
	at := func(index, port int) string { return fmt.Sprintf("127.0.1.%d:%d", index+1, d.ports[port]) }
	index := len(d.nodes)
	r := &runningNode{address: at(index, 0), readyAddress: at(index, 1), logs: &logRecorder{}, done: make(chan error, 1)}
	text := d.settings(index, r, at(index, 2), at(index, 3), at(0, 2))
	settings, err := cvnodesettings.Parse("test", []byte(text))
	require.NoError(d.t, err)
	if d.settingsFile != "" {
		require.NoError(d.t, os.WriteFile(d.settingsFile, []byte(text), 0o600))
	}
	n := &cvnode.Node{
		Settings: settings, SettingsFile: d.settingsFile, HeaderNames: d.headerNames, Configuration: routes, ConfigurationKey: "routes", EvacuationPrefix: "evacuate/", ParseRoutes: parseRoutes,
		Upstreams: upstreams, ParseInstance: parseInstance, Logger: &log.Logger{Handler: r.logs, Level: log.InfoLevel}, Tracer: d.tracer,
		BootClock: d.bootClock,
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- n.Run(ctx) }()
	d.t.Cleanup(func() {
		cancel()
		require.NoError(d.t, <-r.done)
	})
	d.nodes = append(d.nodes, r)
	return r
}

// settings returns the settings file of a balancer. The seed is the peer address of the first one.
func (d *deployment) settings(index int, r *runningNode, peer, news, seed string) string {
	text := fmt.Sprintf("vm: v%d\ndataCentre: dc\nlisten: %q\nready: %q\npeer: %q\nnews: %q\nseeds: [%q]\ndirectory: \"127.0.0.1:1\"\n"+
		"terms:\n  stop: %s\n  notice: %s\n  retryRatio: 0.2\n  retrySlack: 240\n", index, r.address, r.readyAddress, peer, news, seed,
		cmp.Or(d.stopGrace, 6*time.Second), cmp.Or(d.stopNotice, 100*time.Millisecond))
	text += d.terms + d.moreSettings
	if d.memoryMB > 0 {
		text += fmt.Sprintf("memory: %d\n", d.memoryMB)
	}
	if d.extraWork != "" {
		text += fmt.Sprintf("hedging:\n  extraWork: %s\n", d.extraWork)
	}
	return text
}

func (r *runningNode) isReady() bool {
	response, err := http.Get("http://" + r.readyAddress + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *runningNode) awaitReady(t *testing.T) {
	require.Eventually(t, r.isReady, 30*time.Second, 5*time.Millisecond)
}

// request sends one request on a new connection.
func (r *runningNode) request(t *testing.T, method, path, id string, milliseconds int) (*http.Response, string) {
	return r.requestWith(t, method, path, id, milliseconds)
}

// requestWith sends one request with further header lines on a new connection.
func (r *runningNode) requestWith(t *testing.T, method, path, id string, milliseconds int, lines ...string) (*http.Response, string) {
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nTest-Id: %s\r\nTest-Deadline: %d\r\nContent-Length: 0\r\n%s\r\n", method, path, id, milliseconds, strings.Join(append(lines, ""), "\r\n"))
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// awaitStatus sends requests until one gets the status.
func (r *runningNode) awaitStatus(t *testing.T, path string, status int) {
	n := 0
	require.Eventually(t, func() bool {
		n++
		response, _ := r.request(t, http.MethodGet, path, fmt.Sprintf("probe-%s-%d", strings.Trim(path, "/"), n), 2000)
		return response.StatusCode == status
	}, 30*time.Second, 5*time.Millisecond)
}
