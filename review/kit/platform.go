package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// zones are those of the users' small deployment on which the settings are modelled.
var zones = []string{"sur-andino-a", "sur-andino-b", "sur-andino-c"}

const (
	portListen = iota
	portReady
	portPeer
	portNews
	portAdmin
	portCount
)

// machine is one entry machine with its balancer process.
type machine struct {
	world *world
	name  string
	// number counts the machines.
	number int
	zone   string
	ip     string
	base   int
	boot   string
	log    *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
	killing  bool
	inRoute  atomic.Bool
	peakKB   atomic.Int64
	overEnds atomic.Int64
	// calmSince is when the process was started or last got a signal.
	calmSince time.Time
}

// stableWindow is the users' stableWindowMs.
const stableWindow = 3 * time.Second

// inTouch reports whether the process has run without a signal for stableWindow.
func (m *machine) inTouch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.killing && now.Sub(m.calmSince) > stableWindow
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(m.base+port)) }

// freeBase returns the first of portCount ports that are free on all addresses.
func freeBase(ips []string) (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(2000)*5
		if portsFree(ips, base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+portCount; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// settings renders what deploy/settings.yaml renders for a machine of the small deployment.
func (m *machine) settings(seeds []string, storeAddress string, memoryMB int) string {
	quoted := make([]string, len(seeds))
	for n, s := range seeds {
		quoted[n] = strconv.Quote(s)
	}
	return fmt.Sprintf(`vm: %q
dataCentre: %q
dataCentres: ["sur-andino-a","sur-andino-b","sur-andino-c"]
listen: %q
ready: %q
peer: %q
news: %q
admin: %q
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
`, m.name, m.zone, m.address(portListen), m.address(portReady), m.address(portPeer), m.address(portNews), m.address(portAdmin),
		strings.Join(quoted, ","), storeAddress, memoryMB)
}

// start starts the balancer with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	cmd := exec.Command(filepath.Join(m.world.root, "target/comfreyvale"), "serve")
	cmd.Dir = m.world.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "COMFREYVALE_BOOT=" + m.boot}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	// The balancer ends with this program, whatever happens to it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		// Pdeathsig follows the thread that starts the process.
		lockThread()
		if m.world.oneCore {
			useOneCore(m.number)
		}
		started <- cmd.Start()
		cmd.Wait()
		close(ended)
	}()
	if err := <-started; err != nil {
		return err
	}
	m.cmd, m.killing, m.calmSince = cmd, false, time.Now()
	m.world.rec.log("%s: process %d started", m.name, cmd.Process.Pid)
	go m.supervise(cmd, ended)
	return nil
}

// supervise restarts a process that ends, after a short delay, as the platform does.
func (m *machine) supervise(cmd *exec.Cmd, ended <-chan struct{}) {
	<-ended
	m.mu.Lock()
	own := !m.killing && !m.stopped
	stopped := m.stopped
	m.mu.Unlock()
	m.inRoute.Store(false)
	m.world.rec.log("%s: process %d ended (%s)%s", m.name, cmd.Process.Pid, cmd.ProcessState, map[bool]string{true: ", by itself"}[own])
	if stopped {
		return
	}
	time.Sleep(500 * time.Millisecond)
	if err := m.start(); err != nil {
		m.world.rec.log("%s: cannot start: %v", m.name, err)
	}
}

// signal sends a signal to the process; it ends by this and not by itself.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.killing = true
	}
	m.world.rec.log("%s: %s", m.name, s)
	m.calmSince = time.Now()
	m.cmd.Process.Signal(s)
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

func (m *machine) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.cmd != nil {
		m.cmd.Process.Kill()
	}
}

// watchReady asks for readiness each second. Two misses take a machine out of rotation.
func (m *machine) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		response, err := client.Get("http://" + m.address(portReady) + "/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		if ok {
			misses = 0
			m.inRoute.Store(true)
		} else if misses++; misses >= 2 {
			m.inRoute.Store(false)
		}
		pause(ctx, time.Second)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
