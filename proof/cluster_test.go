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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreyvale/io/operators/cvadminclient"
	"comfreyvale/io/standins/cvrun"
	"comfreyvale/io/store/cvhttpvmlist"
)

const (
	balancerCount = 6
	upstreamCount = 8
	readyTimeout  = 20 * time.Second
	// Each cluster uses the next of portBlocks blocks of ports, so that it doesn't collide with the previous one. The
	// offsets are relative to the start of a block.
	basePort           = 23000
	portsPerCluster    = 600
	portBlocks         = 12
	callerPortOffset   = 200
	adminPortOffset    = 300
	peerPortOffset     = 400
	upstreamPortOffset = 500
)

var seedCount = flag.Int("seeds", 1, "number of seeds for each case of TestOrdersRunAtMostOnce")

var binaries string

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

// cluster runs the platform, the upstreams and the balancers as processes.
type cluster struct {
	t         testing.TB
	directory string
	port      int
	network   *network
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	logs      map[string]*os.File
	starts    int
	options   options
}

// options configure a cluster; zero values select defaults. service is the directory of the service files, retention
// and lag are the settings logRetention and stop.lag, and settings holds further lines of the settings files.
type options struct {
	policy    string
	balancers int
	upstreams int
	service   string
	retention string
	lag       string
	settings  string
}

var clusterCount int

func newCluster(t testing.TB) *cluster {
	return newClusterWithOptions(t, options{})
}

// newClusterWithOptions publishes the service files and waits until all balancers are ready and linked to each other.
func newClusterWithOptions(t testing.TB, o options) *cluster {
	t.Helper()
	c := &cluster{
		t: t, directory: t.TempDir(), port: basePort + portsPerCluster*(clusterCount%portBlocks),
		processes: make(map[string]*exec.Cmd), logs: make(map[string]*os.File), options: o,
	}
	clusterCount++
	c.network = newNetwork(t, c.port+peerPortOffset, c.numBalancers())
	t.Cleanup(c.stopAll)
	c.start("platform", "comfreyvale-standin", "platform", "-log", c.address(0), "-list", c.address(1))
	c.awaitOK("http://" + c.address(1) + "/vms")
	if o.upstreams > 0 {
		c.start("group", "comfreyvale-standin", "group", "-name", "listings", "-count", fmt.Sprint(o.upstreams), "-slots", "4",
			"-list", c.listURL())
	} else {
		for i := range upstreamCount {
			c.startUpstream(i)
		}
	}
	c.awaitUpstreams(cmp.Or(o.upstreams, upstreamCount))
	for i := range c.numBalancers() {
		c.startBalancer(i)
	}
	c.publish("first", cmp.Or(o.service, "../examples/lanasur"))
	for i := range c.numBalancers() {
		c.awaitOK("http://" + c.admin(i) + "/ready")
	}
	c.awaitMembers(c.numBalancers())
	return c
}

// awaitUpstreams waits until the VM list has count entries. It fails if processes left over by another run occupy the
// ports.
func (c *cluster) awaitUpstreams(count int) {
	require.Eventually(c.t, func() bool {
		vms, err := (&cvhttpvmlist.List{Address: c.listURL()}).List(context.Background())
		return err == nil && len(vms) == count
	}, readyTimeout, 20*time.Millisecond, "want %d upstreams in the VM list of the cluster at port %d", count, c.port)
}

func (c *cluster) numBalancers() int { return cmp.Or(c.options.balancers, balancerCount) }

// address returns the address at an offset from the cluster's first port.
func (c *cluster) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", c.port+offset) }
func (c *cluster) logURL() string            { return "http://" + c.address(0) }
func (c *cluster) listURL() string           { return "http://" + c.address(1) }
func (c *cluster) caller(i int) string       { return c.address(callerPortOffset + i) }
func (c *cluster) admin(i int) string        { return c.address(adminPortOffset + i) }

func (c *cluster) callers() []string {
	var all []string
	for i := range c.numBalancers() {
		all = append(all, c.caller(i))
	}
	return all
}

// start runs a program as the named process and appends its output to the file name.log.
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
		"-listen", c.address(upstreamPortOffset+i), "-list", c.listURL(), "-seed", fmt.Sprint(i+1))
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
%s`, name, i%3+1, c.caller(i), c.admin(i), c.network.listenAddress(i), c.network.advertisedAddress(i), c.logURL(), c.listURL(), cmp.Or(c.options.retention, "8s"), cmp.Or(c.options.lag, "300ms"), cmp.Or(c.options.policy, "soonest"), c.options.settings)
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

func (c *cluster) setLogFault(fault map[string]any) {
	c.send(http.MethodPost, c.logURL()+"/control", fault)
}

func (c *cluster) publish(id string, directories ...string) {
	args := append([]string{"publish", "-log", c.logURL(), "-vmList", c.listURL(), "-id", id, "-revision", id}, directories...)
	out, err := exec.Command(filepath.Join(binaries, "comfreyvale"), args...).CombinedOutput()
	require.NoError(c.t, err, string(out))
}

func (c *cluster) awaitOK(url string) {
	require.Eventually(c.t, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, readyTimeout, 20*time.Millisecond, url)
}

// awaitMembers waits until every balancer's roster has count members and the balancer is linked to all others. If that
// fails, it logs what each balancer reported last.
func (c *cluster) awaitMembers(count int) {
	operator := &cvadminclient.Client{}
	var mu sync.Mutex
	reports := make([]string, c.numBalancers())
	met := assert.Eventually(c.t, func() bool {
		complete := true
		for i := range c.numBalancers() {
			s, err := operator.Status(context.Background(), c.admin(i))
			mu.Lock()
			reports[i] = fmt.Sprintf("%s: error %v, members %v, linked %v", balancerName(i), err, s.Members, s.Linked)
			mu.Unlock()
			complete = complete && err == nil && len(s.Members) == count && len(s.Linked) == count-1
		}
		return complete
	}, 2*readyTimeout, 50*time.Millisecond, "want %d members at every balancer, all linked", count)
	if !met {
		mu.Lock()
		defer mu.Unlock()
		c.t.Fatalf("the balancers reported:\n%s", strings.Join(reports, "\n"))
	}
}

func (c *cluster) process(name string) *exec.Cmd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func balancerName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func (c *cluster) kill(name string) {
	p := c.process(name)
	require.NoError(c.t, p.Process.Kill())
	_ = p.Wait()
}

func (c *cluster) freeze(name string, d time.Duration) {
	p := c.process(name).Process
	require.NoError(c.t, p.Signal(syscall.SIGSTOP))
	time.Sleep(d)
	require.NoError(c.t, p.Signal(syscall.SIGCONT))
}

// stop shuts a process down gracefully and returns its exit status.
func (c *cluster) stop(name string) int {
	p := c.process(name)
	require.NoError(c.t, p.Process.Signal(syscall.SIGTERM))
	_ = p.Wait()
	return p.ProcessState.ExitCode()
}

// stopAll prints the last log lines of every process if the test failed.
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
			c.logTail(name)
		}
	}
	c.network.close()
}

// maxTailLines is the number of log lines printed for each process. They cover the last seconds.
const maxTailLines = 60

func (c *cluster) logTail(name string) {
	content, err := os.ReadFile(c.logs[name].Name())
	if err != nil {
		c.t.Logf("%s: read log: %v", name, err)
		return
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	c.t.Logf("%s: last of %d log lines:\n%s", name, len(lines), strings.Join(lines[max(0, len(lines)-maxTailLines):], "\n"))
}

func (c *cluster) runs() []cvrun.Run {
	var all []cvrun.Run
	for i := range upstreamCount {
		response, err := http.Get("http://" + c.address(upstreamPortOffset+i) + "/control/runs")
		require.NoError(c.t, err)
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		require.NoError(c.t, err)
		var runs []cvrun.Run
		require.NoError(c.t, json.Unmarshal(body, &runs))
		all = append(all, runs...)
	}
	return all
}
