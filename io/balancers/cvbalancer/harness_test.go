package cvbalancer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/goleak"

	"comfreyvale"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/balancers/cvbalancer"
	"comfreyvale/io/operators/cvlogger"
	"comfreyvale/io/operators/cvpublisher"
	"comfreyvale/io/operators/cvsettings"
	"comfreyvale/io/standins/cvmemlist"
	"comfreyvale/io/standins/cvmemlog"
	"comfreyvale/io/standins/cvsample"
	"comfreyvale/io/standins/cvupstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// system runs balancers and upstreams in the test process.
type system struct {
	t               *testing.T
	log             *cvmemlog.Log
	list            *cvmemlist.List
	group           *cvsample.Group
	balancerLogs    []*disconnectableLog
	callerAddresses []string
	adminAddresses  []string
	stops           []func()
	client          *http.Client
	// settings are appended to the settings file of each balancer.
	settings string
}

// newSystem starts balancers and upstreams for one service, and waits until all balancers are ready.
func newSystem(t *testing.T, balancers, upstreams int, service string) *system {
	return newSystemWith(t, balancers, upstreams, service, "")
}

// newSystemWith is like newSystem with further settings of the balancers.
func newSystemWith(t *testing.T, balancers, upstreams int, service, settings string) *system {
	s := &system{t: t, settings: settings, log: &cvmemlog.Log{}, list: &cvmemlist.List{}, client: &http.Client{Transport: &http.Transport{}}}
	s.group = &cvsample.Group{Name: "g", Count: upstreams, Slots: 4, DataCentres: []string{"dc-1"}, Seed: 1, VMList: s.list}
	require.NoError(t, s.group.Start())
	for i := range balancers {
		s.startBalancer(i)
	}
	s.publish("first", 0, "service: s\nhost: h.example\ngroup: g\n"+service)
	for _, a := range s.adminAddresses {
		s.await("http://" + a + "/ready")
	}
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
		s.client.CloseIdleConnections()
		http.DefaultClient.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.group.Stop(ctx)
	})
	return s
}

func (s *system) startBalancer(i int) {
	addresses := make([]string, 3)
	for j := range addresses {
		addresses[j] = freeAddress(s.t)
	}
	stop := "stop: {lag: 0s, limit: 10s}"
	if strings.Contains(s.settings, "stop:") {
		stop = ""
	}
	content := fmt.Sprintf("vm: entry-%d\ndataCentre: dc-1\nlisten: %s\nadmin: %s\npeer: %s\nlog: {address: \"http://l\"}\nvmList: {address: \"http://l\", poll: 100ms}\n%s\n%s",
		i+1, addresses[0], addresses[1], addresses[2], stop, s.settings)
	settings, err := cvsettings.Parse("settings", []byte(content))
	require.NoError(s.t, err)
	logger := &cvlogger.Options{Out: io.Discard}
	l := &disconnectableLog{Log: s.log}
	s.balancerLogs = append(s.balancerLogs, l)
	b := &cvbalancer.Balancer{Settings: settings, Log: l, VMList: s.list, Logger: logger.New(), Tracer: noop.NewTracerProvider().Tracer("")}
	s.list.Put(comfreyvale.NewVM(settings.VM(), settings.Group(), "dc-1", addresses[1], false))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := b.Run(ctx); err != nil {
			s.t.Error(err)
		}
	}()
	s.callerAddresses = append(s.callerAddresses, addresses[0])
	s.adminAddresses = append(s.adminAddresses, addresses[1])
	s.stops = append(s.stops, func() { cancel(); <-done })
}

// lastPort counts the ports that freeAddress has tried.
var lastPort atomic.Int32

// freeAddress returns an address on which nothing listens. Its port is below those that outgoing connections get, one of
// which could otherwise take it before the balancer listens.
func freeAddress(t *testing.T) string {
	const firstPort, ports, portsPerProcess = 12000, 10000, 100
	for range ports {
		port := firstPort + (os.Getpid()*portsPerProcess+int(lastPort.Add(1)))%ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

func (s *system) publish(id string, base int64, content string) {
	p := &cvpublisher.Publisher{Log: s.log, ID: id, Author: "tester", Revision: "r-" + id, Out: io.Discard}
	publication, err := p.Prepare(context.Background(), time.Now(), []*cvwire.ServiceFile{{Service: "s", Path: "s/comfreyvale.yaml", Content: []byte(content)}}, nil)
	require.NoError(s.t, err)
	_, err = p.Publish(context.Background(), publication)
	require.NoError(s.t, err)
}

func (s *system) await(url string) {
	require.Eventually(s.t, func() bool {
		response, err := s.client.Get(url)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond, url)
}

func (s *system) upstreamAddress(i int) string {
	vms, err := s.list.List(context.Background())
	require.NoError(s.t, err)
	name := fmt.Sprintf("g-%d", i+1)
	for _, v := range vms {
		if v.Name() == name {
			return v.Address()
		}
	}
	s.t.Fatal("the VM list has no upstream " + name)
	return ""
}

// setFault sets the faults of an upstream, given in JSON. An empty object ends all faults.
func (s *system) setFault(i int, fault string) {
	response, err := s.client.Post("http://"+s.upstreamAddress(i)+"/control", "application/json", strings.NewReader(fault))
	require.NoError(s.t, err)
	response.Body.Close()
}

// awaitRunning waits until the upstream with index i runs a request.
func (s *system) awaitRunning(i int) {
	require.Eventually(s.t, func() bool {
		response, err := s.client.Get("http://" + s.upstreamAddress(i) + "/control/counts")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var counts struct {
			InFlight int `json:"inFlight"`
		}
		return json.NewDecoder(response.Body).Decode(&counts) == nil && counts.InFlight > 0
	}, 20*time.Second, time.Millisecond)
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *system) send(balancer int, method, path string, header map[string]string) reply {
	return sendTo(s.client, s.callerAddresses[balancer], method, path, header)
}

func (s *system) sendBody(balancer int, method, path, body string) reply {
	return sendWith(s.client, s.callerAddresses[balancer], method, path, body, nil)
}

func sendTo(client *http.Client, address, method, path string, header map[string]string) reply {
	return sendWith(client, address, method, path, "", header)
}

func sendWith(client *http.Client, address, method, path, content string, header map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(content))
	if err != nil {
		return reply{err: err}
	}
	request.Host = "h.example"
	for name, value := range header {
		request.Header[name] = []string{value}
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// generatedKeys requests two keys that only this balancer grants.
func (s *system) generatedKeys(balancer int) []string {
	r := s.send(balancer, "POST", "/.well-known/comfreyvale/keys?count=2", nil)
	require.NoError(s.t, r.err)
	var keyList struct {
		Keys []string `json:"keys"`
	}
	require.NoError(s.t, json.Unmarshal([]byte(r.body), &keyList))
	return keyList.Keys
}

// runs returns how often the upstreams ran a request with the key.
func (s *system) runs(key string) int {
	count := 0
	for _, u := range s.group.Upstreams() {
		for _, r := range u.Runs() {
			if r.Key == key {
				count++
			}
		}
	}
	return count
}

func content(path string, size int) string { return string(cvupstream.FileContent(path, size)) }
