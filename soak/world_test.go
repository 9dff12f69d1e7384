package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvsplit"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/platform/cvformat"
	"comfreyvale/platform/cvtopicserver"
)

const (
	upstreamCount = 6
	// requestTime is what callers give a request, and what routes allow it.
	requestTime = 1500 * time.Millisecond
	// stopTime is what the balancers' settings allow a planned stop.
	stopTime = 6 * time.Second
	// retryRatio and retrySlack are the budget of further tries in any window.
	retryRatio  = 0.1
	retrySlack  = 20
	retryWindow = 10 * time.Second
)

// groups are the upstreams' groups.
var groups = [...]string{"g", "h"}

// world is balancer processes, their platform and their upstreams.
type world struct {
	t         *testing.T
	seed      uint64
	store     *cvtopicserver.Service
	stores    []*proxy
	balancers []*balancer

	mu        sync.Mutex
	version   int64
	next      int
	upstreams []*upstream
	gone      []*upstream
	began     time.Time
}

// balancer is one entry VM, with the process that runs there now.
type balancer struct {
	name, directory, address, ready string

	mu   sync.Mutex
	life *life
}

// life is one process of a balancer.
type life struct {
	command *exec.Cmd
	began   time.Time
	done    chan struct{}

	mu sync.Mutex
	// killed says that the process was killed, cutting what it did, and planned that it was told to stop.
	killed, planned bool
}

// state says whether the process was killed, and whether it was told to stop.
func (l *life) state() (killed, planned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.killed, l.planned
}

// upstream is one server behind a proxy.
type upstream struct {
	*cvfaulty.Upstream
	proxy    *proxy
	group    string
	address  string
	sequence int64
	draining bool
}

func newWorld(t *testing.T, seed uint64, subnet int) *world {
	w := &world{t: t, seed: seed, store: cvtopicserver.New(), began: time.Now()}
	server := httptest.NewServer(w.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	for range upstreamCount {
		w.addUpstream()
	}
	w.publish()
	for i := range *balancers {
		w.stores = append(w.stores, newProxy(t, strings.TrimPrefix(server.URL, "http://")))
		w.balancers = append(w.balancers, w.newBalancer(i, subnet))
	}
	t.Cleanup(w.end)
	for _, b := range w.balancers {
		w.start(b)
	}
	w.await("all balancers are ready", func() bool {
		for _, b := range w.balancers {
			if !b.isReady() {
				return false
			}
		}
		return true
	})
	return w
}

// await waits for something that must come about by itself; the time only ends a test that has failed.
func (w *world) await(what string, is func() bool) {
	require.Eventually(w.t, is, time.Minute, 20*time.Millisecond, "seed %d: %s", w.seed, what)
}

func (w *world) newBalancer(i, subnet int) *balancer {
	ip := fmt.Sprintf("127.%d.0.%d", subnet, 10+i)
	b := &balancer{name: fmt.Sprintf("v%d", i), directory: w.t.TempDir(), address: ip + ":18080", ready: ip + ":18081"}
	text := fmt.Sprintf("vm: %s\ndataCentre: dc-%d\nlisten: %q\nready: %q\npeer: \"%s:18082\"\nnews: \"%s:18083\"\nseeds: [\"127.%d.0.10:18082\"]\ndirectory: %q\n"+
		"terms:\n  stop: %s\n  notice: 300ms\n  retryRatio: %v\n  retryWindow: %s\n  retrySlack: %v\n",
		b.name, i%2, b.address, b.ready, ip, ip, subnet, w.stores[i].address(), stopTime, retryRatio, retryWindow, retrySlack)
	require.NoError(w.t, os.WriteFile(b.settings(), []byte(text), 0o600))
	return b
}

func (b *balancer) settings() string { return filepath.Join(b.directory, "settings.yaml") }
func (b *balancer) lines() string    { return filepath.Join(b.directory, "lines") }

// start starts a balancer's process, and waits for its end beside.
func (w *world) start(b *balancer) {
	out, err := os.OpenFile(b.lines(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	command := exec.Command(binary, "serve", "-settings", b.settings())
	command.Stdout, command.Stderr = out, out
	require.NoError(w.t, command.Start())
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &life{command: command, began: time.Now(), done: make(chan struct{})}
	b.life = l
	go func() {
		_ = command.Wait()
		out.Close()
		close(l.done)
	}()
}

// signal sends a signal to the process that runs now.
func (b *balancer) signal(s syscall.Signal) {
	l := b.now()
	l.mu.Lock()
	l.killed, l.planned = l.killed || s == syscall.SIGKILL, l.planned || s == syscall.SIGTERM
	l.mu.Unlock()
	// A process that has ended by itself is found out by what it was to do.
	_ = l.command.Process.Signal(s)
}

// ended waits for the end of the process, and returns how it ended.
func (b *balancer) ended() *os.ProcessState {
	l := b.now()
	<-l.done
	return l.command.ProcessState
}

// now is the process that runs now, or did last.
func (b *balancer) now() *life {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life
}

// listens says whether the process takes connections.
func (b *balancer) listens() bool {
	conn, err := b.dial()
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (b *balancer) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + b.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end stops what runs, and shows the balancers' last lines when a promise was broken.
func (w *world) end() {
	for _, b := range w.balancers {
		if b.now() == nil {
			continue
		}
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGKILL)
		b.ended()
		if *keep || w.t.Failed() {
			w.keep(b)
		}
	}
}

// keep keeps the lines of a failed play beside the others.
func (w *world) keep(b *balancer) {
	content, err := os.ReadFile(b.lines())
	if err != nil {
		w.t.Logf("lines of %s cannot be read: %v", b.name, err)
		return
	}
	file := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%s.log", w.seed, b.name))
	if err := os.WriteFile(file, content, 0o600); err != nil {
		w.t.Logf("lines of %s cannot be kept: %v", b.name, err)
		return
	}
	w.t.Logf("lines of %s: %s", b.name, file)
}

// addUpstream starts an upstream behind a proxy and enters it.
func (w *world) addUpstream() {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := fmt.Sprintf("u%d", w.next)
	u := &upstream{Upstream: &cvfaulty.Upstream{ID: id, HeaderNames: cvformat.HeaderNames(), WorkTime: 5 * time.Millisecond}, group: groups[w.next%len(groups)]}
	w.next++
	address, err := u.Start()
	if err != nil {
		w.t.Errorf("upstream %s: %v", id, err)
		return
	}
	w.t.Cleanup(u.Stop)
	u.proxy = newProxy(w.t, address)
	u.address = u.proxy.address()
	w.upstreams = append(w.upstreams, u)
	w.enter(u)
}

// enter writes an upstream's entry. The caller holds the lock.
func (w *world) enter(u *upstream) {
	u.sequence++
	i := cvinstance.New(u.ID, u.group, u.address, "dc-0", 8).WithState(u.draining, 0).WithSequence(1, u.sequence)
	value, err := cvtopicserver.EncodeInstance(i)
	if err != nil {
		w.t.Errorf("entry of %s: %v", u.ID, err)
		return
	}
	w.store.Put(cvformat.UpstreamTopic, u.ID, value)
}

// remove takes an upstream's entry away.
func (w *world) remove(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put(cvformat.UpstreamTopic, u.ID, nil)
	for n, other := range w.upstreams {
		if other == u {
			w.gone = append(w.gone, u)
			w.upstreams = append(w.upstreams[:n:n], w.upstreams[n+1:]...)
			return
		}
	}
}

// everyUpstream are those that are there and those that were.
func (w *world) everyUpstream() []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(append([]*upstream(nil), w.upstreams...), w.gone...)
}

// upstream is one of those that are there.
func (w *world) upstream(draw int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[draw%len(w.upstreams)]
}

// publish brings out the next version: two routes that stay, and one of this version alone.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, prefix, group string) *cvroute.Route {
		return cvroute.New(name, "h", prefix, cvsplit.New(group, 1)).WithTimes(requestTime, requestTime).WithMaxAttempts(2)
	}
	value, err := cvtopicserver.EncodeConfiguration(w.version, 10*time.Second,
		route("safe", "/safe/", groups[0]).WithIdempotent(false), route("once", "/once/", groups[1]),
		route("version", only(w.version), groups[0]).WithIdempotent(false))
	if err != nil {
		w.t.Errorf("configuration %d: %v", w.version, err)
		return
	}
	w.store.Put(cvformat.ConfigurationTopic, cvformat.ConfigurationKey, value)
}

// only is the path that a version alone serves.
func only(version int64) string { return fmt.Sprintf("/only-%d/", version) }

func (w *world) newest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// ran is how often a request ran, on all upstreams.
func (w *world) ran(id string) int {
	count := 0
	for _, u := range w.everyUpstream() {
		count += u.RunCount(id)
	}
	return count
}

// dial opens a connection to a balancer.
func (b *balancer) dial() (net.Conn, error) { return net.DialTimeout("tcp", b.address, requestTime) }
