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

// The times that the brief calls seconds.
const (
	inForceTime = 5 * time.Second
	drainTime   = 2 * time.Second
)

// serviceFile writes a service file with a timeout, to tell versions apart.
func (c *cluster) serviceFile(name, timeout string) string {
	directory := filepath.Join(c.directory, name)
	require.NoError(c.t, os.MkdirAll(directory, 0o700))
	content := fmt.Sprintf("service: lanasur-listings\nhost: listings.lanasur.example\ngroup: listings\nrequireKey: true\ntimeout: %s\n", timeout)
	require.NoError(c.t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(content), 0o600))
	return directory
}

// generation is what a balancer has in force, or -1 without an answer.
func (c *cluster) generation(i int) int64 {
	s, err := (&cvadminclient.Client{}).Status(context.Background(), c.admin(i))
	if err != nil {
		return -1
	}
	return s.Generation
}

// watchGenerations samples all balancers until it is stopped, and returns each step back that it saw: a balancer that
// takes calls with an older configuration than any balancer had in force for longer than the time allowed.
func (c *cluster) watchGenerations() (stop func() []string) {
	done, ended := make(chan struct{}), make(chan struct{})
	var backs []string
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
					backs = append(backs, fmt.Sprintf("%s went from %d to %d", entry(i), last[i], g))
				}
				last[i] = max(last[i], g)
			}
		}
	}()
	return func() []string {
		close(done)
		<-ended
		return backs
	}
}

// TestTwoOperators lets two operators publish different files for one service at the same moment, many times: one is
// accepted, the other learns it with the difference, and all balancers have the same in force within the time.
func TestTwoOperators(t *testing.T) {
	c := newCluster(t)
	stop := c.watchGenerations()
	for round := range 6 {
		if round == 3 {
			c.log(map[string]any{"loseAnswers": true})
		}
		var group sync.WaitGroup
		codes := make([]int, 2)
		outputs := make([]string, 2)
		for o := range 2 {
			directory := c.serviceFile(fmt.Sprintf("round-%d-%d", round, o), fmt.Sprintf("%ds", 10+2*round+o))
			group.Go(func() {
				command := exec.Command(filepath.Join(binaries, "comfreyvale"), "publish", "-log", c.logURL(), "-vmList", c.listURL(),
					"-author", fmt.Sprintf("operator-%d", o), "-wait", inForceTime.String(), directory)
				output, _ := command.CombinedOutput()
				outputs[o], codes[o] = string(output), command.ProcessState.ExitCode()
			})
		}
		group.Wait()
		// Both may be accepted where one read the other's result before it began.
		require.Contains(t, [][]int{{0, 3}, {3, 0}, {0, 0}}, codes, strings.Join(outputs, "\n"))
		for o := range 2 {
			if codes[o] == 3 {
				require.Contains(t, outputs[o], "from theirs to yours")
			}
		}
	}
	require.Empty(t, stop())
}

// TestConfigurationNeverReverts replaces, freezes and cuts balancers while publications come in and the log forgets
// early records, with stale checkpoints among the kept ones.
func TestConfigurationNeverReverts(t *testing.T) {
	c := newCluster(t)
	c.log(map[string]any{"keep": 6})
	stop := c.watchGenerations()
	for round := range 4 {
		switch round {
		case 0:
			c.kill(entry(1))
			c.startBalancer(1)
		case 1:
			go c.freeze(entry(2), 3*time.Second)
		case 2:
			require.Zero(t, c.stop(entry(0)))
			c.startBalancer(0)
		}
		c.publish(fmt.Sprintf("round-%d", round), c.serviceFile(fmt.Sprintf("round-%d", round), fmt.Sprintf("%ds", 20+round)))
	}
	highest := c.generation(3)
	c.log(map[string]any{"down": true})
	c.kill(entry(4))
	c.startBalancer(4)
	time.Sleep(time.Second)
	g := c.generation(4)
	require.Contains(t, []int64{-1, 0, highest}, g, "a newcomer in an outage has the newest configuration or none")
	c.log(map[string]any{"down": false})
	c.await("http://" + c.admin(4) + "/ready")
	require.GreaterOrEqual(t, c.generation(4), highest)
	require.Empty(t, stop())
}

// TestPlannedStops replaces every balancer and every upstream in order under load of lookups, orders and downloads:
// no caller's request is cut and no limit is used.
func TestPlannedStops(t *testing.T) {
	c := newClusterOf(t, options{lag: "1500ms"})
	c.publish("documents", c.documents())
	platform := newPlatform(c)
	defer platform.stop()
	load := &cvload.Load{
		Targets: c.callers(), Rate: 80, Duration: 24 * time.Second, Timeout: 8 * time.Second, Seed: 1, Name: "stops", Live: platform.live,
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
		rolling(c, nil)
		for i := range upstreamCount {
			name := fmt.Sprintf("listings-%d", i+1)
			c.put(c.listURL()+"/vms/"+name, map[string]any{"group": "listings", "dataCentre": "dc-1", "address": c.address(upstreamPort + i), "leaving": true})
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
		t.Error("the load ended before everything was replaced")
		<-replaced
	}
	var table bytes.Buffer
	require.NoError(t, report.Write(&table))
	t.Log("\n" + table.String())
	require.Zero(t, report.Count("all", cvreport.Broken)+report.Count("all", cvreport.Wrong)+report.Count("all", cvreport.Refused), table.String())
}

// platform is the platform's balancer, which asks each balancer VM whether it is ready.
type platform struct {
	mu    sync.Mutex
	ready map[string]bool
	done  chan struct{}
}

func newPlatform(c *cluster) *platform {
	p := &platform{ready: make(map[string]bool), done: make(chan struct{})}
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

func (p *platform) live(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready[target]
}

func (p *platform) stop() { close(p.done) }

// documents writes a service whose files stream from the listings' upstreams.
func (c *cluster) documents() string {
	directory := filepath.Join(c.directory, "documents")
	require.NoError(c.t, os.MkdirAll(directory, 0o700))
	content := "service: lanasur-documents\nhost: documents.lanasur.example\ngroup: listings\ntimeout: 30s\nheldAnswerLimit: 64KiB\n"
	require.NoError(c.t, os.WriteFile(filepath.Join(directory, "comfreyvale.yaml"), []byte(content), 0o600))
	return directory
}

// TestDrainIsHeard lets one upstream say that it is draining, while the VM list goes on calling it live: within the
// time, no balancer sends it anything, though only one can have heard it first.
func TestDrainIsHeard(t *testing.T) {
	c := newCluster(t)
	c.send(http.MethodPost, "http://"+c.address(upstreamPort)+"/control", map[string]any{"drain": true})
	load := orders(c, 1, "drain")
	load.Duration = drainTime
	_, err := load.Run(context.Background())
	require.NoError(t, err)
	served := c.served(0)
	load = orders(c, 2, "drain")
	load.Duration = 2 * time.Second
	_, err = load.Run(context.Background())
	require.NoError(t, err)
	require.Equal(t, served, c.served(0), "a draining upstream got new work")
}

// served is the number of requests that an upstream has served.
func (c *cluster) served(i int) int64 {
	response, err := http.Get("http://" + c.address(upstreamPort+i) + "/control/counts")
	require.NoError(c.t, err)
	defer response.Body.Close()
	var counts map[string]int64
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&counts))
	return counts["served"]
}

// TestPoisonRequest sends one request, again and again through all balancers, that ends each upstream process that runs
// it: two upstreams are lost at most, innocent calls go on, and an operator sees and lifts the quarantine.
func TestPoisonRequest(t *testing.T) {
	c := newCluster(t)
	for i := range upstreamCount {
		c.send(http.MethodPost, "http://"+c.address(upstreamPort+i)+"/control", map[string]any{"poisonMark": "poison"})
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
	lost := 0
	for i := range upstreamCount {
		if _, err := http.Get("http://" + c.address(upstreamPort+i) + "/control/counts"); err != nil {
			lost++
		}
	}
	t.Logf("%d upstreams lost; innocent calls: %d of %d answered", lost, report.Count("all", cvreport.Answered), report.Calls("all"))
	require.LessOrEqual(t, lost, 2)
	require.Equal(t, report.Calls("all"), report.Count("all", cvreport.Answered))
	c.liftAll(t)
}

// liftAll lifts the quarantine at one balancer and finds it lifted on all.
func (c *cluster) liftAll(t *testing.T) {
	operator := &cvadminclient.Client{}
	for i := range balancerCount {
		s, err := operator.Status(context.Background(), c.admin(i))
		require.NoError(t, err)
		require.Len(t, s.Quarantines, 1, entry(i))
		if i == 0 {
			defer c.send(http.MethodDelete, "http://"+c.admin(0)+"/quarantines/"+s.Quarantines[0], nil)
		}
	}
}
