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

// crowd is calls of as many balancers, all in flight on one upstream when one of them crashes it.
type crowd struct {
	t          *testing.T
	service    *cvservice.Service
	first      *cvupstream.Upstream
	vms        []comfreyvale.VM
	mu         sync.Mutex
	quarantine cvquarantine.Quarantine
	deaths     sync.WaitGroup
}

const crowdSize = 7

// TestSuspectsOnDifferentUpstreams has a request crash the upstream on which those of other balancers run: it crashes one more, and only it
// is quarantined.
func TestSuspectsOnDifferentUpstreams(t *testing.T) {
	for round := range 8 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			c := newCrowd(t, round)
			c.deaths.Add(crowdSize)
			var refused []string
			var group sync.WaitGroup
			for i := range crowdSize {
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

func newCrowd(t *testing.T, round int) *crowd {
	// One upstream crashes under all, the others can take a suspect each.
	group, service, vms := poisonous(t, fmt.Sprintf("g%d", round), 1+crowdSize, crowdSize)
	return &crowd{t: t, service: service, first: group.Upstreams()[0], vms: vms}
}

// awaitInFlight waits until the first upstream runs a number of calls.
func (c *crowd) awaitInFlight(count int64) {
	require.Eventually(c.t, func() bool { return c.first.InFlight() == count }, 30*time.Second, time.Millisecond)
}

// call makes one balancer's call; the first of them is the one that crashes upstreams.
func (c *crowd) call(i int) string {
	dispatcher := &cvdispatcher.Dispatcher{}
	dispatcher.Update(time.Now(), c.service, c.vms[:1], 1)
	name, target, header := fmt.Sprint(i), "/a?workMs=400", http.Header{"Host": {"h.example"}}
	if i == 0 {
		target = "/a"
		header.Set("X-Tag", "poison")
		c.awaitInFlight(crowdSize - 1)
	}
	var once sync.Once
	died := func(_ *cvcall.Call, upstream string) {
		c.mu.Lock()
		c.quarantine.RecordCrash(time.Now(), name, upstream, time.Minute)
		c.mu.Unlock()
		dispatcher.Update(time.Now(), c.service, c.vms, 1)
		once.Do(c.deaths.Done)
	}
	runner := newRunner(died)
	runner.Suspected = func(*cvcall.Call) bool {
		c.mu.Lock()
		suspect := c.quarantine.IsSuspect(name)
		c.mu.Unlock()
		if suspect {
			// All balancers' news are in.
			c.deaths.Wait()
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
