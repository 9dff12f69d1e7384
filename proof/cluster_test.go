package proof

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/operators/cvadminclient"
	"comfreyvale/io/standins/cvrun"
	"comfreyvale/io/store/cvhttpvmlist"
)

const (
	balancerCount = 6
	upstreamCount = 8
	readyTime     = 20 * time.Second
	// Each cluster takes the next block of ports, of a few that are used in turn.
	basePort     = 23000
	blockPorts   = 600
	blocks       = 12
	callerPort   = 200
	adminPort    = 300
	linkPort     = 400
	upstreamPort = 500
)

// long runs the proofs with more seeds.
var long = flag.Int("seeds", 1, "number of seeds of each proof")

var binaries string

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	flag.Parse()
	directory, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+"/", "comfreyvale/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	status := m.Run()
	os.RemoveAll(directory)
	os.Exit(status)
}

// cluster is a whole system of processes.
type cluster struct {
	t         testing.TB
	directory string
	port      int
	links     *links
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	logs      map[string]*os.File
	starts    int
	options   options
}

// options change what a cluster is made of.
type options struct {
	policy    string
	balancers int
	upstreams int
	service   string
	retention string
	lag       string
	settings  string
}

var clusters int

// newCluster starts the platform, the upstreams and all balancers, and publishes the examples.
func newCluster(t testing.TB) *cluster {
	return newClusterOf(t, options{})
}

func newClusterOf(t testing.TB, o options) *cluster {
	t.Helper()
	c := &cluster{
		t: t, directory: t.TempDir(), port: basePort + blockPorts*(clusters%blocks),
		processes: make(map[string]*exec.Cmd), logs: make(map[string]*os.File), options: o,
	}
	clusters++
	c.links = newLinks(t, c.port+linkPort, c.count())
	t.Cleanup(c.stopAll)
	c.start("platform", "comfreyvale-standin", "platform", "-log", c.address(0), "-list", c.address(1))
	c.await("http://" + c.address(1) + "/vms")
	if o.upstreams > 0 {
		c.start("group", "comfreyvale-standin", "group", "-name", "listings", "-count", fmt.Sprint(o.upstreams), "-slots", "4",
			"-list", c.listURL())
	} else {
		for i := range upstreamCount {
			c.startUpstream(i)
		}
	}
	c.awaitUpstreams(cmp.Or(o.upstreams, upstreamCount))
	for i := range c.count() {
		c.startBalancer(i)
	}
	c.publish("first", cmp.Or(o.service, "../examples/lanasur"))
	for i := range c.count() {
		c.await("http://" + c.admin(i) + "/ready")
	}
	c.awaitMembers(c.count())
	return c
}

// awaitUpstreams waits until all upstreams stand in the VM list. They cannot where another run has left its processes.
func (c *cluster) awaitUpstreams(count int) {
	require.Eventually(c.t, func() bool {
		vms, err := (&cvhttpvmlist.List{Address: c.listURL()}).List(context.Background())
		return err == nil && len(vms) == count
	}, readyTime, 20*time.Millisecond, "%d upstreams at port %d", count, c.port)
}

// count is the number of balancers.
func (c *cluster) count() int { return cmp.Or(c.options.balancers, balancerCount) }

func (c *cluster) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", c.port+offset) }
func (c *cluster) logURL() string            { return "http://" + c.address(0) }
func (c *cluster) listURL() string           { return "http://" + c.address(1) }
func (c *cluster) caller(i int) string       { return c.address(callerPort + i) }
func (c *cluster) admin(i int) string        { return c.address(adminPort + i) }

func (c *cluster) callers() []string {
	var all []string
	for i := range c.count() {
		all = append(all, c.caller(i))
	}
	return all
}

// start runs a program under a name.
func (c *cluster) start(name, program string, args ...string) {
	command := exec.Command(filepath.Join(binaries, program), args...)
	out, err := os.OpenFile(filepath.Join(c.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	command.Stderr = out
	command.Stdout = out
	require.NoError(c.t, command.Start())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = command
	c.logs[name] = out
}

func (c *cluster) startUpstream(i int) {
	name := fmt.Sprintf("listings-%d", i+1)
	c.start(name, "comfreyvale-standin", "upstream", "-name", name, "-group", "listings", "-slots", "4",
		"-listen", c.address(upstreamPort+i), "-list", c.listURL(), "-seed", fmt.Sprint(i+1))
}

func (c *cluster) startBalancer(i int) {
	c.mu.Lock()
	c.starts++
	c.mu.Unlock()
	name := fmt.Sprintf("entry-%d", i+1)
	settings := fmt.Sprintf(`vm: %s
dataCentre: dc-%d
listen: %s
admin: %s
peer: %s
peerAdvertise: %s
log: {address: "%s"}
vmList: {address: "%s", poll: 200ms}
logRetention: %s
suspectAfter: 2s
stop: {lag: %s, limit: 20s}
policy: %s
%s`, name, i%3+1, c.caller(i), c.admin(i), c.links.real(i), c.links.advertised(i), c.logURL(), c.listURL(), cmp.Or(c.options.retention, "8s"), cmp.Or(c.options.lag, "300ms"), cmp.Or(c.options.policy, "soonest"), c.options.settings)
	path := filepath.Join(c.directory, name+".yaml")
	require.NoError(c.t, os.WriteFile(path, []byte(settings), 0o600))
	c.put(c.listURL()+"/vms/"+name, map[string]any{"group": "comfreyvale", "dataCentre": "dc-1", "address": c.admin(i)})
	c.start(name, "comfreyvale", "run", "-settings", path)
}

func (c *cluster) put(url string, body any) {
	c.send(http.MethodPut, url, body)
}

func (c *cluster) send(method, url string, body any) {
	content, err := json.Marshal(body)
	require.NoError(c.t, err)
	request, err := http.NewRequest(method, url, bytes.NewReader(content))
	require.NoError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	response.Body.Close()
	require.Less(c.t, response.StatusCode, 300, url)
}

// log switches a fault of the log.
func (c *cluster) log(fault map[string]any) { c.send(http.MethodPost, c.logURL()+"/control", fault) }

func (c *cluster) publish(id string, directories ...string) {
	args := append([]string{"publish", "-log", c.logURL(), "-vmList", c.listURL(), "-id", id, "-revision", id}, directories...)
	out, err := exec.Command(filepath.Join(binaries, "comfreyvale"), args...).CombinedOutput()
	require.NoError(c.t, err, string(out))
}

// await waits until a URL answers with success.
func (c *cluster) await(url string) {
	require.Eventually(c.t, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, readyTime, 20*time.Millisecond, url)
}

// awaitMembers waits until every balancer sees the number of members, all linked.
func (c *cluster) awaitMembers(count int) {
	operator := &cvadminclient.Client{}
	require.Eventually(c.t, func() bool {
		for i := range c.count() {
			s, err := operator.Status(context.Background(), c.admin(i))
			if err != nil || len(s.Members) != count || len(s.Linked) != count-1 {
				return false
			}
		}
		return true
	}, 2*readyTime, 50*time.Millisecond, "%d members", count)
}

func (c *cluster) process(name string) *exec.Cmd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func entry(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// kill ends a process at once.
func (c *cluster) kill(name string) {
	p := c.process(name)
	require.NoError(c.t, p.Process.Kill())
	_ = p.Wait()
}

// freeze stops a process for a time.
func (c *cluster) freeze(name string, d time.Duration) {
	p := c.process(name).Process
	require.NoError(c.t, p.Signal(syscall.SIGSTOP))
	time.Sleep(d)
	require.NoError(c.t, p.Signal(syscall.SIGCONT))
}

// stop ends a process in order and returns its exit status.
func (c *cluster) stop(name string) int {
	p := c.process(name)
	require.NoError(c.t, p.Process.Signal(syscall.SIGTERM))
	_ = p.Wait()
	return p.ProcessState.ExitCode()
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.processes {
		if p.ProcessState == nil {
			_ = p.Process.Signal(syscall.SIGCONT)
			_ = p.Process.Kill()
			_ = p.Wait()
		}
		c.logs[name].Close()
		if c.t.Failed() {
			c.tell(name)
		}
	}
	c.links.close()
}

// toldLines is how many lines of a process are shown when its test failed: those of its last seconds.
const toldLines = 60

// tell shows the last lines of a process.
func (c *cluster) tell(name string) {
	content, err := os.ReadFile(c.logs[name].Name())
	if err != nil {
		c.t.Logf("%s: its lines cannot be read: %v", name, err)
		return
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	c.t.Logf("%s: the last of %d lines:\n%s", name, len(lines), strings.Join(lines[max(0, len(lines)-toldLines):], "\n"))
}

// runs gathers what ran on all upstreams.
func (c *cluster) runs() []cvrun.Run {
	var all []cvrun.Run
	for i := range upstreamCount {
		response, err := http.Get("http://" + c.address(upstreamPort+i) + "/control/runs")
		require.NoError(c.t, err)
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		require.NoError(c.t, err)
		var some []cvrun.Run
		require.NoError(c.t, json.Unmarshal(body, &some))
		all = append(all, some...)
	}
	return all
}
