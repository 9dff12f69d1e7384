package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/load/cvload"
	"comfreyvale/io/load/cvprofile"
	"comfreyvale/io/load/cvreport"
	"comfreyvale/io/operators/cvadminclient"
)

const (
	// inForceTimeout is the maximum time until a publication is in force at all balancers.
	inForceTimeout = 5 * time.Second
	// maxDrainDelay is the maximum time until no balancer sends requests to a draining upstream.
	maxDrainDelay = 2 * time.Second
)

// serviceFile writes a service file, whose versions differ in the timeout, and returns its directory.
func (c *cluster) serviceFile(name, timeout string) string {
	directory := filepath.Join(c.directory, name)
	require.NoError(c.t, os.MkdirAll(directory, 0o700))
	content := fmt.Sprintf("service: lanasur-listings\nhost: listings.lanasur.example\ngroup: listings\nrequireKey: true\ntimeout: %s\n", timeout)
	require.NoError(c.t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(content), 0o600))
	return directory
}

// generation returns the generation in force at balancer i, or -1 if its status can't be read.
func (c *cluster) generation(i int) int64 {
	s, err := (&cvadminclient.Client{}).Status(context.Background(), c.admin(i))
	if err != nil {
		return -1
	}
	return s.Generation
}

// watchGenerations polls the generation of all balancers until stop is called. stop returns each decrease seen.
func (c *cluster) watchGenerations() (stop func() []string) {
	done, ended := make(chan struct{}), make(chan struct{})
	var decreases []string
	go func() {
		defer close(ended)
		last := make(map[int]int64)
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for i := range balancerCount {
				g := c.generation(i)
				if g > 0 && g < last[i] {
					decreases = append(decreases, fmt.Sprintf("%s went from %d to %d", balancerName(i), last[i], g))
				}
				last[i] = max(last[i], g)
			}
		}
	}()
	return func() []string {
		close(done)
		<-ended
		return decreases
	}
}

// TestTwoOperators guards against a publication that silently overwrites another one for the same service, also while
// the responses of the log are lost. Of two concurrent publications, one must be in force at all balancers within
// inForceTimeout, and the other must be rejected with the differences between them.
func TestTwoOperators(t *testing.T) {
	c := newCluster(t)
	stop := c.watchGenerations()
	for round := range 6 {
		if round == 3 {
			c.setLogFault(map[string]any{"loseAnswers": true})
		}
		var group sync.WaitGroup
		codes := make([]int, 2)
		outputs := make([]string, 2)
		for o := range 2 {
			directory := c.serviceFile(fmt.Sprintf("round-%d-%d", round, o), fmt.Sprintf("%ds", 10+2*round+o))
			group.Go(func() {
				command := exec.Command(filepath.Join(binaries, "comfreyvale"), "publish", "-log", c.logURL(), "-vmList", c.listURL(),
					"-author", fmt.Sprintf("operator-%d", o), "-wait", inForceTimeout.String(), directory)
				output, _ := command.CombinedOutput()
				outputs[o], codes[o] = string(output), command.ProcessState.ExitCode()
			})
		}
		group.Wait()
		// Both are accepted if one of them read the configuration after the other's publication was accepted.
		require.Contains(t, [][]int{{0, 3}, {3, 0}, {0, 0}}, codes, strings.Join(outputs, "\n"))
		for o := range 2 {
			if codes[o] == 3 {
				require.Contains(t, outputs[o], "from theirs to yours")
			}
		}
	}
	require.Empty(t, stop())
}

// TestConfigurationNeverReverts guards against a balancer that goes back to an older configuration when balancers are
// killed, suspended and restarted during publications, while the log drops early records and keeps stale checkpoints.
// One balancer starts while the log is down.
func TestConfigurationNeverReverts(t *testing.T) {
	c := newCluster(t)
	c.setLogFault(map[string]any{"keep": 6})
	stop := c.watchGenerations()
	for round := range 4 {
		switch round {
		case 0:
			c.kill(balancerName(1))
			c.startBalancer(1)
		case 1:
			go c.freeze(balancerName(2), 3*time.Second)
		case 2:
			require.Zero(t, c.stop(balancerName(0)))
			c.startBalancer(0)
		}
		c.publish(fmt.Sprintf("round-%d", round), c.serviceFile(fmt.Sprintf("round-%d", round), fmt.Sprintf("%ds", 20+round)))
	}
	highest := c.generation(3)
	c.setLogFault(map[string]any{"down": true})
	c.kill(balancerName(4))
	c.startBalancer(4)
	time.Sleep(time.Second)
	g := c.generation(4)
	require.Contains(t, []int64{-1, 0, highest}, g, "a balancer that starts while the log is down must have the newest configuration or none")
	c.setLogFault(map[string]any{"down": false})
	c.awaitOK("http://" + c.admin(4) + "/ready")
	require.GreaterOrEqual(t, c.generation(4), highest)
	require.Empty(t, stop())
}

// TestPlannedStops guards against calls that are broken, refused or answered wrongly while every balancer and every
// upstream is replaced in turn under a load of lookups, orders and downloads.
func TestPlannedStops(t *testing.T) {
	c := newClusterWithOptions(t, options{lag: "1500ms"})
	c.publish("documents", c.documentsFile())
	poller := newReadinessPoller(c)
	defer poller.stop()
	load := &cvload.Generator{
		Targets: c.callers(), Rate: 80, Duration: 24 * time.Second, Timeout: 8 * time.Second, Seed: 1, Name: "stops", Live: poller.isReady,
		Profiles: []cvprofile.Profile{
			{Name: "lookup", Weight: 0.6, Method: "GET", Host: "listings.lanasur.example", Path: "/lots/%d", WorkMs: 10},
			{Name: "reserve", Weight: 0.3, Method: "POST", Host: "listings.lanasur.example", Path: "/reservations", Keyed: true, WorkMs: 20},
			{Name: "sheet", Weight: 0.1, Method: "GET", Host: "documents.lanasur.example", Path: "/sheets/%d", Bytes: 3 << 20},
		},
	}
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		time.Sleep(time.Second)
		rollingRestart(c, nil)
		for i := range upstreamCount {
			name := fmt.Sprintf("listings-%d", i+1)
			c.put(c.listURL()+"/vms/"+name, map[string]any{"group": "listings", "dataCentre": "dc-1", "address": c.address(upstreamPortOffset + i), "leaving": true})
			time.Sleep(600 * time.Millisecond)
			c.stop(name)
			c.startUpstream(i)
		}
	}()
	report, err := load.Run(context.Background())
	require.NoError(t, err)
	select {
	case <-replaced:
	default:
		t.Error("the load ended before all processes were replaced")
		<-replaced
	}
	var table bytes.Buffer
	require.NoError(t, report.Write(&table))
	t.Log("\n" + table.String())
	require.Zero(t, report.Count("all", cvreport.Broken)+report.Count("all", cvreport.Wrong)+report.Count("all", cvreport.Refused), table.String())
}

// readinessPoller polls the readiness of each balancer, as the platform's load balancer does. The keys of ready are the
// addresses for callers.
type readinessPoller struct {
	mu    sync.Mutex
	ready map[string]bool
	done  chan struct{}
}

func newReadinessPoller(c *cluster) *readinessPoller {
	p := &readinessPoller{ready: make(map[string]bool), done: make(chan struct{})}
	go func() {
		for {
			for i := range balancerCount {
				response, err := http.Get("http://" + c.admin(i) + "/ready")
				if err == nil {
					response.Body.Close()
				}
				p.mu.Lock()
				p.ready[c.caller(i)] = err == nil && response.StatusCode == http.StatusOK
				p.mu.Unlock()
			}
			select {
			case <-p.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	time.Sleep(200 * time.Millisecond)
	return p
}

func (p *readinessPoller) isReady(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready[target]
}

func (p *readinessPoller) stop() { close(p.done) }

// documentsFile writes a service file with a small heldAnswerLimit, which makes the balancers stream large responses,
// and returns its directory.
func (c *cluster) documentsFile() string {
	directory := filepath.Join(c.directory, "documents")
	require.NoError(c.t, os.MkdirAll(directory, 0o700))
	content := "service: lanasur-documents\nhost: documents.lanasur.example\ngroup: listings\ntimeout: 30s\nheldAnswerLimit: 64KiB\n"
	require.NoError(c.t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(content), 0o600))
	return directory
}

// TestDrainIsHeard guards against balancers that still send requests to an upstream that announces its drain only in
// responses, not in the VM list. A balancer that gets such a response must inform the others within maxDrainDelay.
func TestDrainIsHeard(t *testing.T) {
	c := newCluster(t)
	c.send(http.MethodPost, "http://"+c.address(upstreamPortOffset)+"/control", map[string]any{"drain": true})
	load := orders(c, 1, "drain")
	load.Duration = maxDrainDelay
	_, err := load.Run(context.Background())
	require.NoError(t, err)
	served := c.served(0)
	load = orders(c, 2, "drain")
	load.Duration = 2 * time.Second
	_, err = load.Run(context.Background())
	require.NoError(t, err)
	require.Equal(t, served, c.served(0), "a draining upstream got new requests")
}

func (c *cluster) served(i int) int64 {
	response, err := http.Get("http://" + c.address(upstreamPortOffset+i) + "/control/counts")
	require.NoError(c.t, err)
	defer response.Body.Close()
	var counts map[string]int64
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&counts))
	return counts["served"]
}

// TestPoisonRequest guards against a request that crashes all upstreams. It is sent several times through every
// balancer. At most two upstreams may crash, all other calls must be answered, and every balancer must list the
// quarantine.
func TestPoisonRequest(t *testing.T) {
	c := newCluster(t)
	for i := range upstreamCount {
		c.send(http.MethodPost, "http://"+c.address(upstreamPortOffset+i)+"/control", map[string]any{"poisonMark": "poison"})
	}
	load := orders(c, 1, "innocent")
	load.Duration = 5 * time.Second
	load.MaxResends = 0
	load.Profiles = load.Profiles[1:]
	done := make(chan *cvreport.Report)
	go func() {
		report, _ := load.Run(context.Background())
		done <- report
	}()
	time.Sleep(500 * time.Millisecond)
	for range 3 {
		for _, target := range c.callers() {
			request, err := http.NewRequest(http.MethodGet, "http://"+target+"/lots/poison", nil)
			require.NoError(t, err)
			request.Host = "listings.lanasur.example"
			request.Header.Set("X-Tag", "poison")
			if response, err := http.DefaultClient.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		}
	}
	report := <-done
	crashed := 0
	for i := range upstreamCount {
		if _, err := http.Get("http://" + c.address(upstreamPortOffset+i) + "/control/counts"); err != nil {
			crashed++
		}
	}
	t.Logf("%d upstreams crashed; other calls: %d of %d answered", crashed, report.Count("all", cvreport.Answered), report.Calls("all"))
	require.LessOrEqual(t, crashed, 2)
	require.Equal(t, report.Calls("all"), report.Count("all", cvreport.Answered))
	c.liftQuarantine(t)
}

// liftQuarantine checks that every balancer lists one quarantine, and then lifts it at the first balancer.
func (c *cluster) liftQuarantine(t *testing.T) {
	operator := &cvadminclient.Client{}
	for i := range balancerCount {
		s, err := operator.Status(context.Background(), c.admin(i))
		require.NoError(t, err)
		require.Len(t, s.Quarantines, 1, balancerName(i))
		if i == 0 {
			defer c.send(http.MethodDelete, "http://"+c.admin(0)+"/quarantines/"+s.Quarantines[0], nil)
		}
	}
}
