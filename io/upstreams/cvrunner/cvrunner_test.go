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

func newRunner(onConnectionLost func(call *cvcall.Call, upstream string)) *cvrunner.Runner {
	return &cvrunner.Runner{
		Recorder: &cvdecisions.History{Limit: 10}, Tracer: noop.NewTracerProvider().Tracer(""), ResponseMemory: semaphore.NewWeighted(1 << 20),
		OnDraining: func(string, string) {}, OnConnectionLost: onConnectionLost,
	}
}

// startCrashingUpstreams starts upstreams that crash on requests with the tag "poison".
func startCrashingUpstreams(t *testing.T, name string, count, slots int) (*cvsample.Group, *cvservice.Service, []comfreyvale.VM) {
	list := &cvmemlist.List{}
	group := &cvsample.Group{Name: name, Count: count, Slots: slots, DataCentres: []string{"dc"}, Seed: 1, VMList: list}
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

// TestSuspectWaits guards against running a quarantined call again: the report of a second crash arrives after this
// balancer has decided to retry. The call must get no further attempt and be refused as quarantined.
func TestSuspectWaits(t *testing.T) {
	_, service, vms := startCrashingUpstreams(t, "g", 3, 4)
	dispatcher := &cvdispatcher.Dispatcher{}
	dispatcher.Update(time.Now(), service, vms, 1)
	crashes, checks := 0, 0
	runner := newRunner(func(*cvcall.Call, string) { crashes++ })
	runner.Suspected = func(*cvcall.Call) bool { return crashes > 0 }
	runner.Quarantined = func(*cvcall.Call) bool {
		checks++
		return checks > 1
	}
	call := cvcall.New("id", service, service.Class(http.MethodGet, "/a"), time.Now().Add(20*time.Second)).
		WithRequest(http.MethodGet, "/a", http.Header{"X-Tag": {"poison"}, "Host": {"h.example"}}, nil)
	_, refusal := runner.Run(context.Background(), call, dispatcher)
	require.NotNil(t, refusal)
	require.Equal(t, comfreyvale.CauseQuarantined, refusal.Cause())
	require.Equal(t, comfreyvale.RanUnknown, refusal.Ran(), "the first attempt may have run")
	require.Equal(t, 1, crashes)
}
