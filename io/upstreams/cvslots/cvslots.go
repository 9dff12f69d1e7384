// Package cvslots hands the slots of one group of upstreams to the requests of one balancer.
package cvslots

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvadmission"
	"comfreyvale/core/cvbudget"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvpriorwait"
	"comfreyvale/core/cvquantile"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvwaiter"
)

// hedgeSpent is the part of the budget that second tries beside a first one leave to tries after a failure.
const hedgeSpent = 0.75

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Slots makes the decisions about one group one at a time.
type Slots struct {
	// DataCentre is where this balancer runs.
	DataCentre string
	// Budget bounds further tries.
	Budget *cvbudget.Budget
	// Balancers is the number of balancers that share the budget.
	Balancers func() int
	// MayTakeFreeSlot says whether it is this balancer's turn to take one of the free slots of an upstream.
	MayTakeFreeSlot func(now time.Time, id string, free int) bool

	mu        sync.Mutex
	admission *cvadmission.Admission
	took      map[string]*cvquantile.Quantile
	patience  map[string]*cvpriorwait.Estimator
	ready     map[*cvwaiter.Waiter]chan struct{}
	// demanded is when a request for the group came last.
	demanded time.Time
	// near and far are the ids of upstreams whose figures the balancers of this data centre, or all, do not know yet.
	near, far map[string]struct{}
}

// Update takes the group's upstreams.
func (s *Slots) Update(now time.Time, instances []*cvinstance.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.Update(now, instances)
	s.advance(now)
}

func (s *Slots) init() {
	if s.admission == nil {
		s.admission = &cvadmission.Admission{Selector: &cvselector.Selector{DataCentre: s.DataCentre, MayTakeFreeSlot: s.MayTakeFreeSlot}}
		s.near, s.far = make(map[string]struct{}), make(map[string]struct{})
		s.took = make(map[string]*cvquantile.Quantile)
		s.patience = make(map[string]*cvpriorwait.Estimator)
		s.ready = make(map[*cvwaiter.Waiter]chan struct{})
	}
}

// Acquire waits for a slot. The kinds of its errors: KindNotFound without any upstream that takes work, KindExhausted when
// the request cannot be answered in time, KindTimeout when the context ended first.
func (s *Slots) Acquire(ctx context.Context, need cvrequirements.Requirements) (*cvwaiter.Waiter, error) {
	waiter := cvwaiter.New(time.Now(), need)
	ready, err := s.enter(waiter)
	if err != nil || ready == nil {
		return waiter, err
	}
	select {
	case <-ready:
	case <-ctx.Done():
	}
	if waiter, err = s.leave(waiter); err != nil && ctx.Err() != nil {
		return nil, fail("acquire", comfreyvale.KindTimeout, context.Cause(ctx))
	}
	return waiter, err
}

// enter returns a nil channel when the slot was granted at once.
func (s *Slots) enter(waiter *cvwaiter.Waiter) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	now := waiter.EnteredAt()
	if s.admission.Selector.AvailableCount(now) == 0 {
		return nil, fail("acquire", comfreyvale.KindNotFound, errors.New("no upstream of the group takes work"))
	}
	switch s.admission.Enter(now, rand.Uint64(), waiter) {
	case cvadmission.Granted:
		s.changed(waiter.Instance().ID())
		return nil, nil
	case cvadmission.Refused:
		return nil, fail("acquire", comfreyvale.KindExhausted, errors.Errorf("%d requests wait already, for another %s", s.admission.Len(), s.admission.ExpectedWait().Round(time.Millisecond)))
	}
	ready := make(chan struct{})
	s.ready[waiter] = ready
	return ready, nil
}

// leave ends a wait: with a slot, or without hope for one in time.
func (s *Slots) leave(waiter *cvwaiter.Waiter) (*cvwaiter.Waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ready, waiter)
	s.admission.Leave(waiter)
	if waiter.Instance() == nil {
		return nil, fail("acquire", comfreyvale.KindExhausted, errors.Errorf("no slot came free in time, %d requests wait", s.admission.Len()))
	}
	return waiter, nil
}

// advance grants free slots and ends hopeless waits. The caller holds the lock.
func (s *Slots) advance(now time.Time) {
	for s.admission.Len() > 0 {
		w, ok := s.admission.Next(now, rand.Uint64())
		if !ok {
			break
		}
		s.changed(w.Instance().ID())
		s.wake(w)
	}
	for _, w := range s.admission.RemoveExpired(now) {
		s.wake(w)
	}
}

func (s *Slots) wake(w *cvwaiter.Waiter) {
	if ready := s.ready[w]; ready != nil {
		close(ready)
		delete(s.ready, w)
	}
}

// Release ends a try.
func (s *Slots) Release(waiter *cvwaiter.Waiter, result comfreyvale.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.admission.Selector.Done(now, waiter.Instance().ID(), waiter.GrantedAt(), result)
	s.changed(waiter.Instance().ID())
	s.admission.RecordRelease(now)
	s.advance(now)
}

// RecordReport takes an upstream's own report of its load, and how many of the requests that it counts have just ended.
func (s *Slots) RecordReport(now time.Time, id string, load cvloadreport.Report, ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.RecordReport(now, id, load, ended)
	s.changed(id)
}

// Tick lets waiting requests go on that only the passing of time has freed.
func (s *Slots) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admission != nil && s.admission.Len() > 0 {
		s.advance(now)
	}
}

// RecordRequest counts a request against the budget of further tries.
func (s *Slots) RecordRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demanded = now
	s.Budget.RecordRequest(now)
}

// AllowExtraAttempt takes one further try from the budget.
func (s *Slots) AllowExtraAttempt(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Budget.Allow(now, s.Balancers())
}

// RecordDuration takes in how long a try of a route took.
func (s *Slots) RecordDuration(now time.Time, route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	q := s.took[route]
	if q == nil {
		q = cvquantile.New()
		s.took[route] = q
	}
	q.Add(now, took)
}

// ObserveTimeout takes in the time that a caller gives its request, and returns how much of it was gone when the request came.
func (s *Slots) ObserveTimeout(now time.Time, route string, given time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	p := s.patience[route]
	if p == nil {
		p = cvpriorwait.New()
		s.patience[route] = p
	}
	return p.Observe(now, given)
}

// DurationQuantile is the time that a share of a route's recent tries stayed below, or false when too few were seen.
func (s *Slots) DurationQuantile(now time.Time, route string, share float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	q := s.took[route]
	if q == nil {
		return 0, false
	}
	return q.At(now, share)
}

// Hedge takes a free slot for a second try beside a first one, unless others need it or the budget is spent.
func (s *Slots) Hedge(now time.Time, need cvrequirements.Requirements, busy float64) (*cvwaiter.Waiter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admission.Len() > 0 || s.admission.Selector.Utilization(now) > busy || s.Budget.UsedShare(now, s.Balancers()) > hedgeSpent {
		return nil, false
	}
	waiter := cvwaiter.New(now, need)
	instance, ok := s.admission.Selector.Pick(now, rand.Uint64(), need)
	if !ok {
		return nil, false
	}
	waiter.Grant(now, instance)
	s.changed(instance.ID())
	s.Budget.Allow(now, s.Balancers())
	return waiter, true
}

// ExpectedWait is how long a request that enters now is expected to wait for a slot.
func (s *Slots) ExpectedWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.admission.ExpectedWait()
}
