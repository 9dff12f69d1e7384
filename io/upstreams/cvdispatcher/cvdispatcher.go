// Package cvdispatcher hands the slots of one service's upstreams to the calls of one balancer.
package cvdispatcher

import (
	"context"
	"encoding/json"
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
	"comfreyvale/io/upstreams/cvexchanger"
)

// hedgeBusy is the share of taken slots above which no call is hedged.
const hedgeBusy = 0.8

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Dispatcher owns the decisions about one service's upstreams and makes them one at a time.
type Dispatcher struct {
	// NewPicker makes the picker; nil takes the default policy.
	NewPicker func(*cvservice.Service) comfreyvale.Picker
	// Notify is told whenever the own tries in flight may have changed; nil tells nobody.
	Notify func()
	// OnEjection is told of each upstream that gets no calls because of its failures; nil tells nobody.
	OnEjection func(service *cvservice.Service, upstream string)

	mu        sync.Mutex
	service   *cvservice.Service
	vms       []comfreyvale.VM
	admitter  *cvadmitter.Admitter
	retrier   *cvretrybudget.Budget
	latencies map[string]*cvquantile.Quantile
	waiting   map[*cvticket.Ticket]chan struct{}
	exchanger *cvexchanger.Exchanger
	calls     int64
	tries     int64
	changes   atomic.Int64
	queued    atomic.Int64
}

// Update takes a new description of the service, its upstreams, and the number of live balancers.
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
	policy := d.NewPicker
	if policy == nil {
		policy = func(*cvservice.Service) comfreyvale.Picker { return &cvpicker.Picker{} }
	}
	d.admitter = &cvadmitter.Admitter{Picker: policy(service)}
	d.retrier = &cvretrybudget.Budget{}
	d.latencies = make(map[string]*cvquantile.Quantile)
	d.waiting = make(map[*cvticket.Ticket]chan struct{})
}

// configure applies the settings that the service file holds.
func (d *Dispatcher) configure(service *cvservice.Service) {
	if d.service == nil || d.service.Connections() != service.Connections() {
		d.exchanger = &cvexchanger.Exchanger{MaxConnections: service.Connections()}
	}
	d.service = service
	d.admitter.QueueLimit = service.Queue()
	d.retrier.Share = service.RetryShare()
	d.retrier.Burst = service.RetryBurst()
	if p, ok := d.admitter.Picker.(*cvpicker.Picker); ok {
		p.EjectFailures = service.EjectFailures()
		p.EjectTime = service.EjectTime()
		p.EjectFloor = service.EjectFloor()
	}
}

// Exchanger is the pool of connections to the service's upstreams.
func (d *Dispatcher) Exchanger() *cvexchanger.Exchanger {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exchanger
}

// Acquire waits for an upstream's slot. The errors' kinds are: KindNotFound without any upstream,
// KindExhausted when the queue is full, KindTimeout when the context ended first.
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

// enter returns a nil channel when the slot was granted at once.
func (d *Dispatcher) enter(now time.Time, ticket *cvticket.Ticket) (<-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admitter.Upstreams() == 0 {
		return nil, fail("acquire", comfreyvale.KindNotFound, errors.New("the service has no upstreams"))
	}
	if !d.admitter.Enter(now, rand.Uint64(), ticket) {
		return nil, fail("acquire", comfreyvale.KindExhausted, errors.Errorf("%d calls wait already, for another %s", d.admitter.Waiting(), d.admitter.ExpectedWait().Round(time.Millisecond)))
	}
	d.changed()
	if _, granted := ticket.Upstream(); granted {
		return nil, nil
	}
	ready := make(chan struct{})
	d.waiting[ticket] = ready
	d.advance(now)
	return ready, nil
}

// withdraw takes a ticket out of the queue, unless it was granted meanwhile.
func (d *Dispatcher) withdraw(ticket *cvticket.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, ticket)
	return d.admitter.Leave(ticket)
}

// advance grants free slots to waiting tickets.
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

// Probe sends the measuring requests that a probing policy asks for.
func (d *Dispatcher) Probe(ctx context.Context) {
	d.mu.Lock()
	p, ok := d.admitter.Picker.(comfreyvale.Prober)
	var vms []comfreyvale.VM
	if ok {
		vms = p.ProbeTargets()
	}
	d.mu.Unlock()
	for _, v := range vms {
		go d.probe(ctx, v)
	}
}

func (d *Dispatcher) probe(ctx context.Context, vm comfreyvale.VM) {
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
	if json.NewDecoder(response.Body).Decode(&load) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.Picker.(comfreyvale.Prober).RecordProbe(time.Now(), vm, load.InFlight, time.Duration(load.LatencyUs)*time.Microsecond)
}

// Tick lets waiting calls go on that only the passing of time has freed.
func (d *Dispatcher) Tick(now time.Time) {
	if d.queued.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
}

// Release gives a slot back with the outcome of its try.
func (d *Dispatcher) Release(ticket *cvticket.Ticket, outcome comfreyvale.Outcome) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tries++
	d.changed()
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

// Observe takes what a peer says of its own tries in flight.
func (d *Dispatcher) Observe(now time.Time, peer string, whole bool, counts []comfreyvale.InFlight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitter.Picker.Observe(now, peer, whole, counts)
	d.advance(now)
}

func (d *Dispatcher) changed() {
	d.changes.Add(1)
	if d.Notify != nil {
		d.Notify()
	}
}

// Changes grows whenever the own tries in flight may have changed.
func (d *Dispatcher) Changes() int64 { return d.changes.Load() }

// InFlight returns the own tries in flight, for the peers.
func (d *Dispatcher) InFlight() []comfreyvale.InFlight {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admitter.Picker.InFlight()
}

// MarkDraining stops new calls to an upstream and returns whether that is news.
func (d *Dispatcher) MarkDraining(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.admitter.Picker.(*cvpicker.Picker)
	return ok && p.MarkDraining(now, upstream)
}

// Begin counts a call against the budget of further tries.
func (d *Dispatcher) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	d.retrier.Begin(now)
}

// AllowRetry takes one further try from the budget.
func (d *Dispatcher) AllowRetry(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retrier.Allow(now)
}

// AllowHedge takes one further try from the budget, unless the slots are needed for calls that have none yet.
func (d *Dispatcher) AllowHedge(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admitter.Waiting() > 0 {
		return false
	}
	if p, ok := d.admitter.Picker.(*cvpicker.Picker); ok && p.Utilization(now) > hedgeBusy {
		return false
	}
	return d.retrier.Allow(now)
}

// RecordLatency takes in the latency of a whole answer.
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

// HedgeAfter returns the time after which a call of a class is sent a second time, or false for never.
func (d *Dispatcher) HedgeAfter(now time.Time, class string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.latencies[class]
	if q == nil || d.service.HedgeQuantile() >= 1 {
		return 0, false
	}
	return q.At(now, d.service.HedgeQuantile())
}

// Service is the service as last configured.
func (d *Dispatcher) Service() *cvservice.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service
}

// Counts returns the numbers of calls begun, tries ended and calls waiting.
func (d *Dispatcher) Counts() (calls, tries int64, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, d.tries, d.admitter.Waiting()
}

// Upstreams returns the upstreams known, and the names of the ejected and the draining ones.
func (d *Dispatcher) Upstreams(now time.Time) (known []comfreyvale.VM, ejected, draining []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.admitter.Picker.(*cvpicker.Picker); ok {
		ejected = p.Ejected()
		draining = p.Draining(now)
	}
	return d.vms, ejected, draining
}
