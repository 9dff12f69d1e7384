package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the stand-ins and processes of one case.
type world struct {
	ctx      context.Context
	dir      string
	trouble  bool
	site     site
	store    *store
	servers  []*server
	balancer []*balancer
	version  int

	mu    sync.Mutex
	began time.Time
	lines bytes.Buffer
	sent  map[string]string
	// runs holds what worked on each request, by its id.
	runs map[string][]run
}

// site holds the settings of a site that differ.
type site struct {
	memoryMb, drainMs, configApplyMs, budgetSlack, probesPerS int
}

var (
	lanasurFeria        = site{memoryMb: 804, drainMs: 2000, configApplyMs: 2000, budgetSlack: 60, probesPerS: 60}
	skjalReykjavikGrown = site{memoryMb: 536, drainMs: 2500, configApplyMs: 2500, budgetSlack: 188, probesPerS: 42}
)

// run is one time that a server began to work on a request.
type run struct {
	server, service string
	at              time.Time
}

// balancer is one process of the system.
type balancer struct {
	name, zone, ip, front, ready string
	command                      *exec.Cmd
	ended                        chan struct{}
	log                          *os.File
}

func newWorld(ctx context.Context, dir string, trouble bool) (*world, error) {
	w := &world{site: lanasurFeria, ctx: ctx, dir: dir, trouble: trouble, began: time.Now(), sent: make(map[string]string), runs: make(map[string][]run)}
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	w.store, err = newStore(fmt.Sprintf("127.0.0.1:%d", port))
	return w, err
}

// record adds a line to the record of the case.
func (w *world) record(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.lines, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, values...)...)
}

func (w *world) ran(id string, s *server, request *http.Request) {
	w.record("server %s (%s): runs request %s, %s %s", s.id, s.service, id, request.Method, request.RequestURI)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], run{server: s.id, service: s.service, at: time.Now()})
}

func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs[id]...)
}

// configure writes the next version of the configuration.
func (w *world) configure(routes map[string]any, services ...string) {
	w.version += 3
	all := make(map[string]any)
	for _, name := range services {
		all[name] = map[string]any{"healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false}
	}
	value, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": all,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.store.put("keyed.op", "config", value)
	w.record("operator: version %d is in the store", w.version)
}

func route(prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": timeout.Milliseconds() / 2, "priority": 1, "service": service, "maxAttempts": 2,
	}
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startBalancers starts one process for each address, with the command of the deploy file, and waits until all are ready.
func (w *world) startBalancers(count int) error {
	front, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	ready, _ := freePort("127.0.0.1")
	peer, _ := freePort("127.0.0.1")
	news, _ := freePort("127.0.0.1")
	admin, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	var seeds []string
	for n := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.0.0.%d:%d", n+1, peer)))
	}
	for n := range count {
		b := &balancer{name: fmt.Sprintf("front-%d", n+1), zone: "zone-" + string(rune('a'+n%3)), ip: fmt.Sprintf("127.0.0.%d", n+1)}
		b.front, b.ready = fmt.Sprintf("%s:%d", b.ip, front), fmt.Sprintf("%s:%d", b.ip, ready)
		// These are the lines that deploy/settings.yaml renders for a machine of the site.
		text := fmt.Sprintf(`vm: %q
dataCentre: %q
dataCentres: ["zone-a","zone-b","zone-c"]
regions: ["zone-a=region","zone-b=region","zone-c=region"]
listen: %q
ready: %q
peer: "%s:%d"
news: "%s:%d"
admin: "%s:%d"
seeds: [%s]
directory: %q
memory: %d
terms:
  stop: 6s
  drain: %dms
  apply: %dms
  stable: 3000ms
  retryRatio: 0.2
  retryWindow: 10s
  retrySlack: %d
  probesPerSecond: %d
hedging:
  extraWork: 10%%
  checkLoad: 50%%
`, b.name, b.zone, b.front, b.ready, b.ip, peer, b.ip, news, b.ip, admin, strings.Join(seeds, ","), w.store.address,
			w.site.memoryMb, w.site.drainMs, w.site.configApplyMs, w.site.budgetSlack, w.site.probesPerS)
		file := filepath.Join(w.dir, b.name+".yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		if b.log, err = os.Create(filepath.Join(w.dir, b.name+".log")); err != nil {
			return err
		}
		b.command = exec.Command("target/comfreyvale", "serve")
		b.command.Env = append(os.Environ(), "COMFREYVALE_BOOT="+file)
		b.command.Stdout, b.command.Stderr = b.log, b.log
		b.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := b.command.Start(); err != nil {
			return err
		}
		b.ended = make(chan struct{})
		go func() {
			b.command.Wait()
			close(b.ended)
		}()
		w.balancer = append(w.balancer, b)
	}
	for _, b := range w.balancer {
		if err := b.awaitReady(); err != nil {
			return err
		}
	}
	w.record("%d balancer(s) are ready", count)
	return nil
}

func (b *balancer) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		if response, err := client.Get("http://" + b.ready + "/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s did not become ready", b.name)
}

// close ends all processes and writes the record.
func (w *world) close(verdict string) {
	for _, b := range w.balancer {
		b.command.Process.Kill()
		<-b.ended
		b.log.Close()
	}
	w.record("%s", verdict)
}
