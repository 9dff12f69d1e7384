// Package cvdispatcher assigns the slots of one service's upstreams to the calls of one balancer.
package cvdispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvadmitter"
	"comfreyvale/core/cvclass"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvpicker"
	"comfreyvale/core/cvquantile"
	"comfreyvale/core/cvretrybudget"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvticket"
	"comfreyvale/io/balancers/cvboundedbody"
	"comfreyvale/io/upstreams/cvexchanger"
)

const (
	// maxHedgeUtilization is the utilization of the upstreams above which no call is hedged.
	maxHedgeUtilization = 0.8
	// probeTimeout bounds the time of a probe, whose report is useless later.
	probeTimeout = time.Second
	// maxLoadBytes limits the response to a probe, which holds two numbers.
	maxLoadBytes = 4 << 10
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Dispatcher queues the calls to one service, selects an upstream for each attempt, and limits retries and hedges. It
// is safe for concurrent use; set the exported fields before the first Update.
type Dispatcher struct {
	// NewPicker may be nil, for the default policy.
	NewPicker func(*cvservice.Service) comfreyvale.Picker
	// Notify is called when the result of InFlight may have changed. It must not call the Dispatcher and may be nil.
	Notify func()
	// OnEjection is called when failures eject an upstream. It must not call the Dispatcher and may be nil.
	OnEjection func(service *cvservice.Service, upstream string)

	mu          sync.Mutex
	service     *cvservice.Service
	vms         []comfreyvale.VM
	admitter    *cvadmitter.Admitter
	retryBudget *cvretrybudget.Budget
	// The keys are class names.
	latencies map[string]*cvquantile.Quantile
	// waiting holds the channels that are closed when slots are granted.
	waiting   map[*cvticket.Ticket]chan struct{}
	exchanger *cvexchanger.Exchanger
	// The numbers of begun calls and of ended attempts.
	calls    int64
	attempts int64
	changes  atomic.Int64
	// queued is the number of waiting tickets, for Tick to read without the lock.
	queued atomic.Int64
}

// Update sets the service's configuration, its upstreams and the number of live balancers. Call it first.
func (d *Dispatcher) Update(now time.Time, service *cvservice.Service, vms []comfreyvale.VM, balancers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admitter == nil {
		d.init(service)
	}
	d.configure(service)
	d.vms = vms
	d.admitter.Update(now, vms, service.Slots(), balancers)
	d.advance(now)
}

func (d *Dispatcher) init(service *cvservice.Service) {
	newPicker := d.NewPicker
	if newPicker == nil {
		newPicker = func(*cvservice.Service) comfreyvale.Picker { return &cvpicker.Picker{} }
	}
	d.admitter = &cvadmitter.Admitter{Picker: newPicker(service)}
	d.retryBudget = &cvretrybudget.Budget{}
	d.latencies = make(map[string]*cvquantile.Quantile)
	d.waiting = make(map[*cvticket.Ticket]chan struct{})
}

func (d *Dispatcher) configure(service *cvservice.Service) {
	if d.service == nil || d.service.Connections() != service.Connections() {
		d.exchanger = &cvexchanger.Exchanger{MaxConnections: service.Connections()}
	}
	d.service = service
	d.admitter.QueueLimit = service.Queue()
	d.retryBudget.Share = service.RetryShare()
	d.retryBudget.Burst = service.RetryBurst()
	if p, ok := d.admitter.Picker.(*cvpicker.Picker); ok {
		p.EjectFailures = service.EjectFailures()
		p.EjectTime = service.EjectTime()
		p.EjectFloor = service.EjectFloor()
	}
}

// Exchanger returns the pool of connections to the service's upstreams.
func (d *Dispatcher) Exchanger() *cvexchanger.Exchanger {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exchanger
}

// Acquire waits for a slot of an upstream that is not in avoid. The error has KindNotFound if the service has no
// upstreams, KindExhausted if the queue is full or the expected wait too long, and KindTimeout if the context ends.
func (d *Dispatcher) Acquire(ctx context.Context, class cvclass.Class, avoid []string, deadline time.Time) (*cvticket.Ticket, error) {
	ticket := cvticket.New(class, avoid, deadline)
	ready, err := d.enter(time.Now(), ticket)
	if err != nil || ready == nil {
		return ticket, err
	}
	select {
	case <-ready:
		return ticket, nil
	case <-ctx.Done():
	}
	if d.withdraw(ticket) {
		return nil, fail("acquire", comfreyvale.KindTimeout, ctx.Err())
	}
	return ticket, nil
}

// enter returns a nil channel if it granted a slot, else a channel that is closed when a slot is granted.
func (d *Dispatcher) enter(now time.Time, ticket *cvticket.Ticket) (<-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admitter.Upstreams() == 0 {
		return nil, fail("acquire", comfreyvale.KindNotFound, errors.New("the service has no upstreams"))
	}
	if !d.admitter.Enter(now, rand.Uint64(), ticket) {
		return nil, fail("acquire", comfreyvale.KindExhausted, errors.Errorf("%d calls wait already, for another %s", d.admitter.Waiting(), d.admitter.ExpectedWait().Round(time.Millisecond)))
	}
	d.notifyChange()
	if _, granted := ticket.Upstream(); granted {
		return nil, nil
	}
	ready := make(chan struct{})
	d.waiting[ticket] = ready
	d.advance(now)
	return ready, nil
}

// withdraw returns false if the ticket has a slot already.
func (d *Dispatcher) withdraw(ticket *cvticket.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, ticket)
	return d.admitter.Leave(ticket)
}

// advance grants free slots to waiting tickets. The caller holds the lock.
func (d *Dispatcher) advance(now time.Time) {
	defer func() { d.queued.Store(int64(d.admitter.Waiting())) }()
	for d.admitter.Waiting() > 0 {
		ticket, ok := d.admitter.Next(now, rand.Uint64())
		if !ok {
			return
		}
		if ready := d.waiting[ticket]; ready != nil {
			close(ready)
			delete(d.waiting, ticket)
		}
	}
}

// Probe starts the probes that a probing policy requests, without waiting for them.
func (d *Dispatcher) Probe(ctx context.Context) {
	d.mu.Lock()
	prober, ok := d.admitter.Picker.(comfreyvale.Prober)
	var vms []comfreyvale.VM
	if ok {
		vms = prober.ProbeTargets()
	}
	d.mu.Unlock()
	for _, v := range vms {
		go d.probe(ctx, v)
	}
}

func (d *Dispatcher) probe(ctx context.Context, vm comfreyvale.VM) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/load", nil)
	if err != nil {
		return
	}
	response, err := d.Exchanger().Exchange(ctx, vm, request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var load struct {
		InFlight  int   `json:"inFlight"`
		LatencyUs int64 `json:"latencyUs"`
	}
	if err := (cvboundedbody.Decoder{Limit: maxLoadBytes}).Decode(response, &load); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.Picker.(comfreyvale.Prober).RecordProbe(time.Now(), vm, load.InFlight, time.Duration(load.LatencyUs)*time.Microsecond)
}

// Tick grants free slots to waiting calls. Call it periodically, because slots also become free with time, as when an
// ejection ends.
func (d *Dispatcher) Tick(now time.Time) {
	if d.queued.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
}

// Release releases the slot of an attempt and records its outcome.
func (d *Dispatcher) Release(ticket *cvticket.Ticket, outcome comfreyvale.Outcome) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts++
	d.notifyChange()
	d.admitter.Done(now, ticket, outcome)
	d.advance(now)
	p, ok := d.admitter.Picker.(*cvpicker.Picker)
	if !ok || d.OnEjection == nil {
		return
	}
	for _, upstream := range p.TakeNewEjections() {
		d.OnEjection(d.service, upstream)
	}
}

// RecordPeerInFlight records a peer's in-flight attempts. If complete is true, the peer has no others.
func (d *Dispatcher) RecordPeerInFlight(now time.Time, peer string, complete bool, counts []comfreyvale.InFlight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.Picker.Observe(now, peer, complete, counts)
	d.advance(now)
}

func (d *Dispatcher) notifyChange() {
	d.changes.Add(1)
	if d.Notify != nil {
		d.Notify()
	}
}

// Changes returns a counter that increases when the result of InFlight may have changed.
func (d *Dispatcher) Changes() int64 { return d.changes.Load() }

// InFlight returns this balancer's in-flight attempts.
func (d *Dispatcher) InFlight() []comfreyvale.InFlight {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admitter.Picker.InFlight()
}

// MarkDraining stops new attempts to an upstream. It returns false if the upstream is unknown or already draining, or
// if the policy is not the default one.
func (d *Dispatcher) MarkDraining(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.admitter.Picker.(*cvpicker.Picker)
	return ok && p.MarkDraining(now, upstream)
}

// RecordCall records a new call, which adds to the retry budget.
func (d *Dispatcher) RecordCall(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	d.retryBudget.Begin(now)
}

// AllowRetry takes a retry from the retry budget, and returns false if the budget is exhausted.
func (d *Dispatcher) AllowRetry(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget.Allow(now)
}

// AllowHedge takes a hedge from the retry budget. It returns false if the budget is exhausted or other calls need the
// slots: calls are waiting or, with the default policy, the utilization is above maxHedgeUtilization.
func (d *Dispatcher) AllowHedge(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admitter.Waiting() > 0 {
		return false
	}
	if p, ok := d.admitter.Picker.(*cvpicker.Picker); ok && p.Utilization(now) > maxHedgeUtilization {
		return false
	}
	return d.retryBudget.Allow(now)
}

// RecordLatency records the latency of a complete response.
func (d *Dispatcher) RecordLatency(now time.Time, class string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.latencies[class]
	if q == nil {
		q = cvquantile.New()
		d.latencies[class] = q
	}
	q.Add(now, latency)
}

// HedgeAfter returns how long after its start a call is hedged, or false if hedging is off or too few latencies are
// known.
func (d *Dispatcher) HedgeAfter(now time.Time, class string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.latencies[class]
	if q == nil || d.service.HedgeQuantile() >= 1 {
		return 0, false
	}
	return q.At(now, d.service.HedgeQuantile())
}

// Service returns the service of the last Update.
func (d *Dispatcher) Service() *cvservice.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service
}

// Counts returns the numbers of begun calls, of ended attempts and of waiting calls.
func (d *Dispatcher) Counts() (calls, attempts int64, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, d.attempts, d.admitter.Waiting()
}

// Upstreams returns the known, the ejected and the draining upstreams. The slices must not be modified.
func (d *Dispatcher) Upstreams(now time.Time) (known []comfreyvale.VM, ejected, draining []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.admitter.Picker.(*cvpicker.Picker); ok {
		ejected = p.Ejected()
		draining = p.Draining(now)
	}
	return d.vms, ejected, draining
}
