package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	heartbeat    = 1500 * time.Millisecond
	// recordBytes is the longest record of the store.
	recordBytes = 262144
	// smallMachineMB is the memory of a machine of a small deployment.
	smallMachineMB = 674
)

// system is a small deployment: one store, some servers and some balancers, each of these a process of its own.
type system struct {
	directory string
	program   string
	store     *store
	storeAt   string
	version   int
	// machines is the number of machines, and memoryMB the memory of each.
	machines, memoryMB int
	// subnet is the part of the machines' addresses that no other run uses; ports are those for callers, readiness,
	// control and the balancers' datagrams.
	subnet int
	ports  [4]int

	mu        sync.Mutex
	balancers []*balancer
	servers   []*server
}

// balancer is one process of the program under review, started with the command of the deploy file.
type balancer struct {
	name, front, ready string
	command            *exec.Cmd
	exited             chan struct{}
	log                *os.File
}

func newSystem(program string) (*system, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	st, at, err := startStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &system{directory: directory, program: program, store: st, storeAt: at, machines: 1, memoryMB: smallMachineMB, subnet: os.Getpid()}
	if err := s.choosePorts(); err != nil {
		return nil, err
	}
	go s.beat()
	return s, nil
}

// beat writes the entries of the servers anew, as running servers do.
func (s *system) beat() {
	for range time.Tick(heartbeat) {
		s.mu.Lock()
		for _, found := range s.servers {
			s.register(found)
		}
		s.mu.Unlock()
	}
}

// register writes the entry of a server. The caller holds the lock.
func (s *system) register(found *server) {
	found.seq++
	s.store.put("keyed.servers", found.id, map[string]any{
		"address": found.address, "born": found.born,
		"info":   map[string]any{"service": found.service, "zone": "zone-a", "version": "v1", "slots": found.slots},
		"status": map[string]any{"state": "ready", "seq": found.seq, "warmupLeftMs": 0},
	})
}

func (s *system) add(found *server) error {
	listener, err := ethernetListener.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	found.address, found.born = listener.Addr().String(), time.Now().UnixMilli()
	go found.accept(listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, found)
	s.register(found)
	return nil
}

// configure writes the next version of the configuration.
func (s *system) configure(routes map[string]any, services ...string) {
	s.version += 3
	all := make(map[string]any)
	for _, name := range services {
		all[name] = map[string]any{"healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false}
	}
	content := map[string]any{
		"version": s.version, "routes": routes, "services": all,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if encoded, _ := json.Marshal(content); len(encoded) > recordBytes {
		panic(fmt.Sprintf("the configuration has %d bytes", len(encoded)))
	}
	s.store.put("keyed.op", "config", content)
}

// freePort returns a port that is free at an address.
func freePort(network, ip string) (int, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp4", ip+":0")
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		return conn.LocalAddr().(*net.UDPAddr).Port, nil
	}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// address returns the loopback address of a machine.
func (s *system) address(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+s.subnet%128, s.subnet/128%250, 10+machine)
}

// choosePorts chooses the ports, which are the same on all machines.
func (s *system) choosePorts() error {
	for n, network := range []string{"tcp", "tcp", "tcp", "udp"} {
		port, err := freePort(network, s.address(0))
		if err != nil {
			return err
		}
		s.ports[n] = port
	}
	return nil
}

// startBalancer starts the balancer of a machine with the fields that deploy/settings.yaml renders for a small
// deployment, and returns when it is ready.
func (s *system) startBalancer(machine int) (*balancer, error) {
	name, ip := fmt.Sprintf("front-%d", machine), s.address(machine)
	var addresses [4]string
	for n, port := range s.ports {
		addresses[n] = fmt.Sprintf("%s:%d", ip, port)
	}
	var seeds []string
	for n := range s.machines {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", s.address(n), s.ports[2]))
	}
	b := &balancer{name: name, front: addresses[0], ready: addresses[1], exited: make(chan struct{})}
	settings := fmt.Sprintf(`vm: %q
dataCentre: "zone-a"
dataCentres: ["zone-a"]
regions: ["zone-a=region-a"]
listen: %q
ready: %q
peer: %q
news: %q
seeds: [%s]
directory: %q
memory: %d
terms:
  stop: 6s
  drain: 2000ms
  apply: 2000ms
  stable: 3000ms
  retryRatio: 0.2
  retryWindow: 10s
  retrySlack: 60
  probesPerSecond: 60
hedging:
  extraWork: 10%%
  checkLoad: 50%%
`, name, addresses[0], addresses[1], addresses[2], addresses[3], strings.Join(seeds, ", "), s.storeAt, s.memoryMB)
	file := filepath.Join(s.directory, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	var err error
	if b.log, err = os.OpenFile(filepath.Join(s.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	b.command = exec.Command(s.program, "serve")
	b.command.Env = append(os.Environ(), "COMFREYVALE_BOOT="+file)
	b.command.Stdout, b.command.Stderr = b.log, b.log
	b.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(b.command); err != nil {
		return nil, err
	}
	go func() {
		_ = b.command.Wait()
		close(b.exited)
	}()
	s.mu.Lock()
	s.balancers = append(s.balancers, b)
	s.mu.Unlock()
	return b, b.await()
}

// starts takes the commands that startOnThread starts.
var starts = func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range queue {
			start()
		}
	}()
	return queue
}()

// startOnThread starts a command from a thread that lives as long as this process: the command ends with that thread, also
// when this process is killed.
func startOnThread(command *exec.Cmd) error {
	result := make(chan error)
	starts <- func() { result <- command.Start() }
	return <-result
}

// await returns when the balancer says that it is ready.
func (b *balancer) await() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := client.Get("http://" + b.ready + "/v1/readiness"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("balancer %s is not ready after %s", b.name, readyTimeout)
}

// close ends all processes that were started.
func (s *system) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.balancers {
		_ = b.command.Process.Signal(syscall.SIGKILL)
		<-b.exited
		b.log.Close()
	}
	s.balancers = nil
	os.RemoveAll(s.directory)
}
