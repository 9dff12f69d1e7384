// Package cvupstream is the stand-in for an upstream: few slots, changing speed, and faults on demand.
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
	// meanWork is the mean time that a request takes when it does not say.
	meanWork = 2 * time.Millisecond
	// latencyGain is how many requests the mean latency of the load endpoint reaches back.
	latencyGain = 8
	// crashTime is how long a crashed upstream accepts no connections.
	crashTime = 300 * time.Millisecond
)

// Upstream serves requests in a limited number of slots and keeps a record of what ran.
type Upstream struct {
	// Name is returned in each answer.
	Name string
	// Slots is how many requests run at a time; further ones wait.
	Slots int
	// ConnectTime is how long a new connection takes beyond the network's own time.
	ConnectTime time.Duration
	// OneWayDelay is the one-way network time to the upstream, added before and after each request.
	OneWayDelay time.Duration
	// Seed makes the times of requests the same in each run.
	Seed uint64
	// OnCrash ends the process when a crash is asked for; nil only breaks all connections for a time.
	OnCrash func()

	mu        sync.Mutex
	slots     *semaphore.Weighted
	random    *rand.Rand
	faults    faults
	ledger    map[string]int
	runs      []cvrun.Run
	conns     map[net.Conn]struct{}
	downUntil time.Time
	inFlight  atomic.Int64
	served    atomic.Int64
	measured  atomic.Int64
	accepted  atomic.Int64
	latency   atomic.Int64
}

// faults are the switches that a test sets.
type faults struct {
	// SlowFactor multiplies all times.
	SlowFactor float64 `json:"slowFactor"`
	// StallUntilMs holds all requests for this long from now.
	StallMs int64 `json:"stallMs"`
	// FailFast answers 500 at once.
	FailFast bool `json:"failFast"`
	// Shed refuses requests unrun while all slots are taken.
	Shed bool `json:"shed"`
	// Drain says in each answer that the upstream is draining.
	Drain bool `json:"drain"`
	// RefuseWhileDraining refuses requests unrun while draining.
	RefuseWhileDraining bool `json:"refuseWhileDraining"`
	// Break ends answers early at the named place.
	Break string `json:"break"`
	// PoisonMark crashes the upstream on requests whose X-Tag has this prefix.
	PoisonMark string `json:"poisonMark"`
	// LoadLie is what the load endpoint says instead of the truth, when positive.
	LoadLie int `json:"loadLie"`

	stallUntil time.Time
}

// Handler returns the upstream's HTTP handler. Its control switches stand below /control.
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
	if u.ledger != nil {
		return
	}
	u.slots = semaphore.NewWeighted(int64(max(u.Slots, 1)))
	u.random = rand.New(rand.NewPCG(u.Seed, uint64(len(u.Name))))
	u.ledger = make(map[string]int)
	u.conns = make(map[net.Conn]struct{})
}

func (u *Upstream) current() faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	f := u.current()
	u.connect(r.Context())
	time.Sleep(u.OneWayDelay)
	defer time.Sleep(u.OneWayDelay)
	if f.PoisonMark != "" && strings.HasPrefix(r.Header.Get("X-Tag"), f.PoisonMark) {
		u.record(r, false)
		u.crash()
		panic(http.ErrAbortHandler)
	}
	if f.Drain {
		w.Header().Set("Comfreyvale-Draining", "true")
	}
	if f.Drain && f.RefuseWhileDraining {
		refuse(w, "draining")
		return
	}
	if f.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !u.enter(r.Context(), f) {
		refuse(w, "no free slot")
		return
	}
	defer u.leave()
	u.run(w, r, f)
}

func (u *Upstream) enter(ctx context.Context, f faults) bool {
	u.inFlight.Add(1)
	entered := u.slots.TryAcquire(1)
	if !entered && !f.Shed {
		entered = u.slots.Acquire(ctx, 1) == nil
	}
	if !entered {
		u.inFlight.Add(-1)
	}
	return entered
}

// InFlight is the number of requests that are being served.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

func (u *Upstream) leave() {
	u.slots.Release(1)
	u.inFlight.Add(-1)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Comfreyvale-Ran", "no")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, f faults) {
	run := u.record(r, true)
	began := time.Now()
	u.work(r, f)
	u.latency.Store(u.latency.Load() + (time.Since(began).Microseconds()-u.latency.Load())/latencyGain)
	if f.Break != "" {
		u.breakOff(w, r, f.Break)
		return
	}
	u.served.Add(1)
	u.answer(w, r, run)
}

// work holds the slot for the request's time. A cancelled idempotent request ends early.
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
	return time.Duration(u.random.ExpFloat64() * float64(meanWork))
}

// record notes that a request runs, and returns which run of its key it is.
func (u *Upstream) record(r *http.Request, ended bool) int {
	key := r.Header.Get("Idempotency-Key")
	u.mu.Lock()
	defer u.mu.Unlock()
	if key != "" {
		u.ledger[key]++
	}
	if r.Method != http.MethodGet || key != "" || !ended {
		u.runs = append(u.runs, cvrun.Run{Key: key, Tag: r.Header.Get("X-Tag"), Method: r.Method, Upstream: u.Name, Completed: ended})
	}
	return u.ledger[key]
}

// Runs returns the record of all requests that ran and were not lookups.
func (u *Upstream) Runs() []cvrun.Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]cvrun.Run(nil), u.runs...)
}

func (u *Upstream) listRuns(w http.ResponseWriter, _ *http.Request) { reply(w, u.Runs()) }

func (u *Upstream) counts(w http.ResponseWriter, _ *http.Request) {
	reply(w, map[string]int64{"served": u.served.Load(), "measured": u.measured.Load(), "accepted": u.accepted.Load(), "inFlight": u.inFlight.Load()})
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.measured.Add(1)
	time.Sleep(u.OneWayDelay)
	load := int(u.inFlight.Load())
	if lie := u.current().LoadLie; lie > 0 {
		load = lie
	}
	reply(w, map[string]int64{"inFlight": int64(load), "latencyUs": u.latency.Load()})
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

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// The status line is out, so that a failed write only concerns the connection.
	_ = json.NewEncoder(w).Encode(answer)
}

// String names the upstream.
func (u *Upstream) String() string { return fmt.Sprintf("upstream %s, %d slots", u.Name, u.Slots) }
