package cvrunner_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvcall"
	"comfreyvale/core/cvquarantine"
	"comfreyvale/core/cvservice"
	"comfreyvale/io/standins/cvupstream"
	"comfreyvale/io/upstreams/cvdispatcher"
)

// crashScenario holds one call of each of several balancers, all in flight on one upstream when one of them crashes it.
type crashScenario struct {
	t            *testing.T
	service      *cvservice.Service
	shared       *cvupstream.Upstream
	vms          []comfreyvale.VM
	mu           sync.Mutex
	quarantine   cvquarantine.Quarantine
	crashReports sync.WaitGroup
}

const balancerCount = 7

// TestSuspectsOnDifferentUpstreams guards against quarantining requests that were only in flight on a crashed upstream.
// The request that crashes it crashes one more upstream in its retry; only this request must be quarantined, and all
// others must be answered.
func TestSuspectsOnDifferentUpstreams(t *testing.T) {
	for round := range 8 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			c := newCrashScenario(t, round)
			c.crashReports.Add(balancerCount)
			var refused []string
			var group sync.WaitGroup
			for i := range balancerCount {
				group.Go(func() {
					if refusal := c.call(i); refusal != "" {
						c.mu.Lock()
						refused = append(refused, refusal)
						c.mu.Unlock()
					}
				})
			}
			group.Wait()
			require.Equal(t, []string{"0 " + string(comfreyvale.CauseUpstreamBroke)}, refused)
			require.Equal(t, []string{"0"}, c.quarantine.List(time.Now()))
		})
	}
}

func newCrashScenario(t *testing.T, round int) *crashScenario {
	// All calls run on the first upstream, which crashes. Each suspected call has one further upstream.
	group, service, vms := startCrashingUpstreams(t, fmt.Sprintf("g%d", round), 1+balancerCount, balancerCount)
	return &crashScenario{t: t, service: service, shared: group.Upstreams()[0], vms: vms}
}

func (c *crashScenario) awaitInFlight(count int64) {
	require.Eventually(c.t, func() bool { return c.shared.InFlight() == count }, 30*time.Second, time.Millisecond)
}

// call returns the refusal of balancer i's call, or an empty string. The call of balancer 0 crashes upstreams.
func (c *crashScenario) call(i int) string {
	dispatcher := &cvdispatcher.Dispatcher{}
	dispatcher.Update(time.Now(), c.service, c.vms[:1], 1)
	name, target, header := fmt.Sprint(i), "/a?workMs=400", http.Header{"Host": {"h.example"}}
	if i == 0 {
		target = "/a"
		header.Set("X-Tag", "poison")
		c.awaitInFlight(balancerCount - 1)
	}
	var once sync.Once
	onConnectionLost := func(_ *cvcall.Call, upstream string) {
		c.mu.Lock()
		c.quarantine.RecordCrash(time.Now(), name, upstream, time.Minute)
		c.mu.Unlock()
		dispatcher.Update(time.Now(), c.service, c.vms, 1)
		once.Do(c.crashReports.Done)
	}
	runner := newRunner(onConnectionLost)
	runner.Suspected = func(*cvcall.Call) bool {
		c.mu.Lock()
		suspect := c.quarantine.IsSuspect(name)
		c.mu.Unlock()
		if suspect {
			c.crashReports.Wait()
		}
		return suspect
	}
	runner.Quarantined = func(*cvcall.Call) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, quarantined := c.quarantine.Quarantined(time.Now(), name)
		return quarantined
	}
	runner.AssignUpstream = func(_ *cvcall.Call, upstreams []string) string {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.quarantine.AssignUpstream(name, upstreams)
	}
	call := cvcall.New(name, c.service, c.service.Class(http.MethodGet, "/a"), time.Now().Add(20*time.Second)).
		WithRequest(http.MethodGet, target, header, nil)
	reply, refusal := runner.Run(context.Background(), call, dispatcher)
	if refusal != nil {
		return name + " " + string(refusal.Cause())
	}
	reply.Close(true)
	return ""
}
