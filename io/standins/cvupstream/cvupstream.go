// Package cvupstream implements a stand-in for an upstream with limited slots, random work times and injectable faults.
package cvupstream

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"comfreyvale/io/standins/cvrun"
)

const (
	// meanWorkTime is the mean of the random work times of requests without the workMs parameter.
	meanWorkTime = 2 * time.Millisecond
	// latencyDivisor is the inverse of the weight of one request in the moving average of the latency.
	latencyDivisor = 8
	// crashDowntime is the time after a crash during which new connections are closed.
	crashDowntime = 300 * time.Millisecond
)

// Upstream serves requests in a limited number of slots and records those that it ran. Set the exported fields before
// the first use. The methods are safe for concurrent use.
type Upstream struct {
	// Name is the name that each response contains.
	Name string
	// Slots is the number of requests that run at a time. Further requests wait.
	Slots int
	// ConnectTime is the simulated connect time, added to the first request of each connection.
	ConnectTime time.Duration
	// OneWayDelay is the simulated network delay before and after each request.
	OneWayDelay time.Duration
	// Seed is the seed of the random work times.
	Seed uint64
	// OnCrash should end the process. If it is nil, a crash closes all connections and, for crashDowntime, new ones.
	OnCrash func()

	mu            sync.Mutex
	slots         *semaphore.Weighted
	random        *rand.Rand
	faults        faults
	runsByKey     map[string]int
	runs          []cvrun.Run
	conns         map[net.Conn]struct{}
	downUntil     time.Time
	inFlight      atomic.Int64
	served        atomic.Int64
	loadReports   atomic.Int64
	acceptedConns atomic.Int64
	latencyMicros atomic.Int64
}

// faults holds the faults in force. POST /control replaces them all or, with the parameter crash, crashes the upstream.
type faults struct {
	// SlowFactor multiplies the work times, if positive.
	SlowFactor float64 `json:"slowFactor"`
	// StallMs delays work until this many milliseconds after the control request.
	StallMs int64 `json:"stallMs"`
	// FailFast responds with status 500 at once.
	FailFast bool `json:"failFast"`
	// Shed rejects requests as not run while all slots are in use.
	Shed bool `json:"shed"`
	// Drain announces in each response that the upstream is draining.
	Drain bool `json:"drain"`
	// RefuseWhileDraining rejects requests as not run while Drain is set.
	RefuseWhileDraining bool `json:"refuseWhileDraining"`
	// BreakAt breaks each response at a place listed in partialResponse.
	BreakAt string `json:"break"`
	// PoisonTagPrefix crashes the upstream on requests whose X-Tag header has this prefix.
	PoisonTagPrefix string `json:"poisonMark"`
	// ReportedLoad replaces the number of requests in flight in load reports, if positive.
	ReportedLoad int `json:"loadLie"`

	stallUntil time.Time
}

// Handler returns the HTTP handler of the upstream, control endpoints included.
func (u *Upstream) Handler() http.Handler {
	u.mu.Lock()
	u.init()
	u.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", u.control)
	mux.HandleFunc("GET /control/runs", u.listRuns)
	mux.HandleFunc("GET /control/counts", u.counts)
	mux.HandleFunc("GET /load", u.load)
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Upstream) init() {
	if u.runsByKey != nil {
		return
	}
	u.slots = semaphore.NewWeighted(int64(max(u.Slots, 1)))
	u.random = rand.New(rand.NewPCG(u.Seed, uint64(len(u.Name))))
	u.runsByKey = make(map[string]int)
	u.conns = make(map[net.Conn]struct{})
}

func (u *Upstream) currentFaults() faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	f := u.currentFaults()
	u.delayFirstRequest(r.Context())
	time.Sleep(u.OneWayDelay)
	defer time.Sleep(u.OneWayDelay)
	if f.PoisonTagPrefix != "" && strings.HasPrefix(r.Header.Get("X-Tag"), f.PoisonTagPrefix) {
		u.recordRun(r, false)
		u.crash()
		panic(http.ErrAbortHandler)
	}
	if f.Drain {
		w.Header().Set("Comfreyvale-Draining", "true")
	}
	if f.Drain && f.RefuseWhileDraining {
		refuse(w, r, "draining")
		return
	}
	if f.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !u.acquireSlot(r.Context(), f) {
		refuse(w, r, "no free slot")
		return
	}
	defer u.releaseSlot()
	u.runRequest(w, r, f)
}

func (u *Upstream) acquireSlot(ctx context.Context, f faults) bool {
	u.inFlight.Add(1)
	acquired := u.slots.TryAcquire(1)
	if !acquired && !f.Shed {
		acquired = u.slots.Acquire(ctx, 1) == nil
	}
	if !acquired {
		u.inFlight.Add(-1)
	}
	return acquired
}

// InFlight returns the number of requests in flight, waiting ones included.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

func (u *Upstream) releaseSlot() {
	u.slots.Release(1)
	u.inFlight.Add(-1)
}

// refuse rejects a request. The ID tells the balancer that this is no copy of an earlier rejection.
func refuse(w http.ResponseWriter, r *http.Request, reason string) {
	w.Header().Set("Comfreyvale-Request-Id", r.Header.Get("Comfreyvale-Request-Id"))
	w.Header().Set("Comfreyvale-Ran", "no")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (u *Upstream) runRequest(w http.ResponseWriter, r *http.Request, f faults) {
	run := u.recordRun(r, true)
	start := time.Now()
	u.work(r, f)
	u.latencyMicros.Store(u.latencyMicros.Load() + (time.Since(start).Microseconds()-u.latencyMicros.Load())/latencyDivisor)
	if f.BreakAt != "" {
		u.breakResponse(w, r, f.BreakAt)
		return
	}
	u.served.Add(1)
	u.writeResponse(w, r, run)
}

// work waits for the end of a stall and then for the work time, which ends early for a cancelled GET.
func (u *Upstream) work(r *http.Request, f faults) {
	time.Sleep(time.Until(f.stallUntil))
	d := u.workTime(r)
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if r.Method != http.MethodGet {
		time.Sleep(d)
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

func (u *Upstream) workTime(r *http.Request) time.Duration {
	if ms, err := strconv.ParseFloat(r.URL.Query().Get("workMs"), 64); err == nil {
		return time.Duration(ms * float64(time.Millisecond))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.random.ExpFloat64() * float64(meanWorkTime))
}

// recordRun returns how often the request's key has run, this run included, or 0 without a key. completed is false if
// the upstream crashes on the request.
func (u *Upstream) recordRun(r *http.Request, completed bool) int {
	key := r.Header.Get("Idempotency-Key")
	u.mu.Lock()
	defer u.mu.Unlock()
	if key != "" {
		u.runsByKey[key]++
	}
	if r.Method != http.MethodGet || key != "" || !completed {
		u.runs = append(u.runs, cvrun.Run{Key: key, Tag: r.Header.Get("X-Tag"), Method: r.Method, Upstream: u.Name, Completed: completed})
	}
	return u.runsByKey[key]
}

// Runs returns the requests that ran, in order. GET requests without a key are included only if the upstream crashed on
// them.
func (u *Upstream) Runs() []cvrun.Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]cvrun.Run(nil), u.runs...)
}

func (u *Upstream) listRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, u.Runs()) }

func (u *Upstream) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]int64{"served": u.served.Load(), "measured": u.loadReports.Load(), "accepted": u.acceptedConns.Load(), "inFlight": u.inFlight.Load()})
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.loadReports.Add(1)
	time.Sleep(u.OneWayDelay)
	load := int(u.inFlight.Load())
	if reported := u.currentFaults().ReportedLoad; reported > 0 {
		load = reported
	}
	writeJSON(w, map[string]int64{"inFlight": int64(load), "latencyUs": u.latencyMicros.Load()})
}

func (u *Upstream) control(w http.ResponseWriter, r *http.Request) {
	var f faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Query().Get("crash") != "" {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	f.stallUntil = time.Now().Add(time.Duration(f.StallMs) * time.Millisecond)
	u.mu.Lock()
	u.faults = f
	u.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The status has been sent, so a failed write affects this connection only.
	_ = json.NewEncoder(w).Encode(value)
}

// String returns the name and the number of slots.
func (u *Upstream) String() string { return fmt.Sprintf("upstream %s, %d slots", u.Name, u.Slots) }
