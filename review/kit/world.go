package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// world is one small deployment: store, machines with balancers, servers, and what was run.
type world struct {
	root  string
	dir   string
	rec   *recorder
	store *store
	// storeAddress is where the balancers find the store.
	storeAddress string
	machines     []*machine
	servers      []*server
	trouble      bool
	// oneCore gives each machine one core.
	oneCore bool
	ctx     context.Context
	cancel  context.CancelFunc
	// readBody, if set, reads the body of a request for a server.
	readBody func(s *server, c *serverConn, request *http.Request) ([]byte, error)

	mu   sync.Mutex
	runs map[string][]string
}

// newWorld makes a deployment with machines, which start not before startMachines.
func newWorld(root, record string, trouble bool) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, rec: rec, trouble: trouble, runs: make(map[string][]string)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.store, err = newStore(); err == nil {
		w.storeAddress = w.store.address
	}
	return w, err
}

// ran notes that a server has begun to work on a request.
func (w *world) ran(s *server, c *call) {
	w.mu.Lock()
	w.runs[c.id] = append(w.runs[c.id], s.id)
	w.mu.Unlock()
	w.rec.log("server %s runs %s", s.id, c.id)
}

func (w *world) runsOf(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.runs[id]...)
}

// addServers starts servers of a service, spread over the zones.
func (w *world) addServers(service string, count, slots, queue int, work func(c *call) time.Duration, change func(s *server)) error {
	for n := range count {
		s := newServer(w, fmt.Sprintf("i-%08x", rand.Uint32()), service, zones[n%len(zones)], slots, queue)
		s.work = work
		if change != nil {
			change(s)
		}
		if err := s.start(); err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		go s.beats(w.ctx)
	}
	return nil
}

// startMachines starts as many machines, two in a zone, and waits until all are ready.
func (w *world) startMachines(count, memoryMB int) error {
	net := 16 + rand.IntN(200)
	var ips []string
	for n := range count {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", net, n%len(zones)+1, n/len(zones)+10))
	}
	base, err := freeBase(ips)
	if err != nil {
		return err
	}
	var seeds []string
	for n, ip := range ips {
		zone := zones[n%len(zones)]
		m := &machine{world: w, number: n, name: "front-" + zone + "-" + strconv.Itoa(n/len(zones)+1), zone: zone, ip: ip, base: base}
		w.machines = append(w.machines, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.address(portPeer))
		}
	}
	for _, m := range w.machines {
		m.boot = filepath.Join(w.dir, m.name+".yaml")
		if err := os.WriteFile(m.boot, []byte(m.settings(seeds, w.storeAddress, memoryMB)), 0o600); err != nil {
			return err
		}
		if m.log, err = os.Create(filepath.Join(w.dir, m.name+".log")); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		go m.watchReady(w.ctx)
	}
	return w.awaitReady(10 * time.Second)
}

func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range w.machines {
			all = all && m.inRoute.Load()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("not all machines were ready after %s", limit)
}

// close ends all processes that were started.
func (w *world) close() {
	w.cancel()
	for _, m := range w.machines {
		m.stop()
	}
	time.Sleep(100 * time.Millisecond)
	w.rec.close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
		return
	}
	fmt.Println("kept:", w.dir)
}

type route struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs               int
	priority, maxAttempts             int
}

// configure writes a configuration in the operator's form.
func (w *world) configure(version int, routes ...route) {
	table, services := map[string]any{}, map[string]any{}
	for _, r := range routes {
		table[r.name] = map[string]any{
			"host": r.host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs,
			"priority": r.priority, "service": r.service, "maxAttempts": r.maxAttempts,
		}
		services[r.service] = map[string]any{"healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false}
	}
	w.store.putJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": table, "services": services, "baseVersion": 0,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// subastaServers is how many servers the service subasta of the small deployment has.
const subastaServers = 27

// The routes of the users' small deployment.
var (
	lotPrice   = route{"lot-price", "feria.example", "/price/", "safe", "subasta", 1000, 300, 2, 2}
	lotReserve = route{"lot-reserve", "feria.example", "/reserve/", "unsafe", "subasta", 1200, 400, 1, 2}
)
