package cvrunner_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/semaphore"

	"comfreyvale"
	"comfreyvale/core/cvcall"
	"comfreyvale/core/cvdecisions"
	"comfreyvale/core/cvservice"
	"comfreyvale/io/standins/cvmemlist"
	"comfreyvale/io/standins/cvsample"
	"comfreyvale/io/upstreams/cvdispatcher"
	"comfreyvale/io/upstreams/cvrunner"
)

// newRunner returns a runner that traces nothing and is told of deaths.
func newRunner(died func(call *cvcall.Call, upstream string)) *cvrunner.Runner {
	return &cvrunner.Runner{
		Recorder: &cvdecisions.History{Limit: 10}, Tracer: noop.NewTracerProvider().Tracer(""), ResponseMemory: semaphore.NewWeighted(1 << 20),
		OnDraining: func(string, string) {}, OnConnectionLost: died,
	}
}

// poisonous starts a group of upstreams that crash on requests with a mark, and returns it with its service and VMs.
func poisonous(t *testing.T, name string, count, slots int) (*cvsample.Group, *cvservice.Service, []comfreyvale.VM) {
	list := &cvmemlist.List{}
	group := &cvsample.Group{Name: name, Count: count, Slots: slots, DataCentres: []string{"dc"}, Seed: 1, List: list}
	require.NoError(t, group.Start())
	t.Cleanup(func() { group.Stop(context.Background()) })
	vms, err := list.List(context.Background())
	require.NoError(t, err)
	for _, v := range vms {
		response, err := http.Post("http://"+v.Address()+"/control", "application/json", strings.NewReader(`{"poisonMark":"poison"}`))
		require.NoError(t, err)
		response.Body.Close()
	}
	service, err := cvservice.Parse("file", []byte("service: s\nhost: h.example\ngroup: g\n"))
	require.NoError(t, err)
	return group, service, vms
}

// TestSuspectWaits has another balancer's news of a second death come in after the first one here: the call gets no further
// try, and is refused for that cause.
func TestSuspectWaits(t *testing.T) {
	_, service, vms := poisonous(t, "g", 3, 4)
	dispatcher := &cvdispatcher.Dispatcher{}
	dispatcher.Update(time.Now(), service, vms, 1)
	deaths, asked := 0, 0
	runner := newRunner(func(*cvcall.Call, string) { deaths++ })
	runner.Suspected = func(*cvcall.Call) bool { return deaths > 0 }
	runner.Quarantined = func(*cvcall.Call) bool {
		// The news come in after the retry was decided.
		asked++
		return asked > 1
	}
	call := cvcall.New("id", service, service.Class(http.MethodGet, "/a"), time.Now().Add(20*time.Second)).
		WithRequest(http.MethodGet, "/a", http.Header{"X-Tag": {"poison"}, "Host": {"h.example"}}, nil)
	_, refusal := runner.Run(context.Background(), call, dispatcher)
	require.NotNil(t, refusal)
	require.Equal(t, comfreyvale.CauseQuarantined, refusal.Cause())
	require.Equal(t, comfreyvale.RanUnknown, refusal.Ran(), "the first try may have run")
	require.Equal(t, 1, deaths)
}
