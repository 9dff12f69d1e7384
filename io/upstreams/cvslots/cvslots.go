// Package cvslots assigns the slots of one group of upstreams to the requests of one balancer.
package cvslots

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvadmission"
	"comfreyvale/core/cvbudget"
	"comfreyvale/core/cvextrawork"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadreport"
	"comfreyvale/core/cvpriorwait"
	"comfreyvale/core/cvquantile"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvselector"
	"comfreyvale/core/cvwaiter"
)

// maxHedgeBudgetShare is the used share of the budget above which no request is hedged, to keep the rest for retries.
const maxHedgeBudgetShare = 0.75

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Slots admits the requests to one group of upstreams and selects the upstream for each attempt. It is safe for
// concurrent use; set the exported fields before the first call.
type Slots struct {
	DataCentre string
	// Budget limits retries and hedges.
	Budget *cvbudget.Budget
	// ExtraWork limits the hedges where the operators accept a share of extra work. It is used by RecordIdempotent,
	// ExtraWorkSpent and HedgeAttempt alone.
	ExtraWork *cvextrawork.Budget
	// Balancers returns the number of balancers that share the budget.
	Balancers func() int
	// MayTakeFreeSlot reports whether this balancer may take one of the free slots of an upstream, near if it is in the
	// same data centre, while other balancers have waiting requests too.
	MayTakeFreeSlot func(now time.Time, id string, near bool, free int) bool
	// OwnsPeriod reports whether a period in which an upstream takes limited requests belongs to this balancer.
	OwnsPeriod func(id string, period int64) bool
	// Connected reports whether there is an idle connection to an upstream; nil means that it does not matter.
	Connected func(id string) bool
	// AboveShare returns how far a workspace is above its fair share: 0 if it is not. nil stands for workspaces that never
	// are.
	AboveShare func(now time.Time, workspace string) int

	mu        sync.Mutex
	admission *cvadmission.Admission
	// The keys are route names.
	durations  map[string]*cvquantile.Quantile
	priorWaits map[string]*cvpriorwait.Estimator
	// ready holds the channels that are closed when the waits end.
	ready         map[*cvwaiter.Waiter]chan struct{}
	lastRequestAt time.Time
	// changed holds the IDs of the upstreams whose state has changed since the last message to the other balancers.
	changed map[string]struct{}
}

// Update replaces the set of upstreams of the group.
func (s *Slots) Update(now time.Time, instances []*cvinstance.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.Update(now, instances)
	s.markLearned()
	s.advance(now)
}

func (s *Slots) init() {
	if s.admission == nil {
		s.admission = &cvadmission.Admission{Selector: &cvselector.Selector{DataCentre: s.DataCentre, MayTakeFreeSlot: s.MayTakeFreeSlot, OwnsPeriod: s.OwnsPeriod, Connected: s.Connected}, AboveShare: s.AboveShare}
		s.changed = make(map[string]struct{})
		s.durations = make(map[string]*cvquantile.Quantile)
		s.priorWaits = make(map[string]*cvpriorwait.Estimator)
		s.ready = make(map[*cvwaiter.Waiter]chan struct{})
	}
}

// SetEvacuated sets the data centres whose upstreams get no requests. Waiting requests without other upstreams end.
func (s *Slots) SetEvacuated(now time.Time, dataCentres []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.SetEvacuated(now, dataCentres)
	s.markLearned()
	s.advance(now)
}

// evacuationFault returns an error if evacuations leave no upstream for a request. The caller holds the lock.
func (s *Slots) evacuationFault(now time.Time, need cvrequirements.Requirements) error {
	dataCentres := s.admission.Selector.Evacuated(now, need)
	if len(dataCentres) == 0 {
		return nil
	}
	return fail("acquire", comfreyvale.KindUnavailable, errors.Errorf("every upstream that could take it is in an evacuated data centre: %s", strings.Join(dataCentres, ", ")))
}

// Acquire waits for a slot. The error has KindNotFound if no upstream accepts the request, KindUnavailable if that is
// because data centres are evacuated, KindExhausted if the request cannot be answered in time, KindLimited if that is
// because the upstreams limit their requests, and KindTimeout if the context ends.
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

// enter returns a nil channel if it granted a slot, else a channel that is closed when the wait ends.
func (s *Slots) enter(waiter *cvwaiter.Waiter) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	now := waiter.EnteredAt()
	if err := s.evacuationFault(now, waiter.Need()); err != nil {
		return nil, err
	}
	if s.admission.Selector.AvailableCount(now, waiter.Need()) == 0 {
		reason := "no upstream of the group accepts requests"
		if waiter.Need().BoundToRegions() {
			reason = "no upstream of the group in the allowed regions accepts requests"
		}
		return nil, fail("acquire", comfreyvale.KindNotFound, errors.New(reason))
	}
	switch s.admission.Enter(now, rand.Uint64(), waiter) {
	case cvadmission.Granted:
		s.markChanged(waiter.Instance().ID())
		return nil, nil
	case cvadmission.Limited:
		return nil, s.limitFault(now, waiter)
	case cvadmission.Refused:
		return nil, fail("acquire", comfreyvale.KindExhausted, errors.Errorf("%d requests are already waiting, for an expected %s%s", s.admission.Len(), s.admission.ExpectedWait().Round(time.Millisecond), s.aboveShare(now, waiter.Need())))
	}
	ready := make(chan struct{})
	s.ready[waiter] = ready
	return ready, nil
}

// aboveShare returns the end of a refusal's reason if the request goes behind others because its workspace is above its
// fair share, else an empty string.
func (s *Slots) aboveShare(now time.Time, need cvrequirements.Requirements) string {
	if s.AboveShare == nil || need.Workspace() == "" {
		return ""
	}
	steps := s.AboveShare(now, need.Workspace())
	if steps == 0 {
		return ""
	}
	return fmt.Sprintf("; workspace %s is %d steps above its fair share", need.Workspace(), steps)
}

// leave returns an error if no slot was granted.
func (s *Slots) leave(waiter *cvwaiter.Waiter) (*cvwaiter.Waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ready, waiter)
	s.admission.Leave(waiter)
	if now := time.Now(); waiter.Instance() == nil {
		if err := s.evacuationFault(now, waiter.Need()); err != nil {
			return nil, err
		}
		if _, _, limited := s.admission.Selector.PermitsBefore(now, now, waiter.Need()); limited {
			return nil, s.limitFault(now, waiter)
		}
		return nil, fail("acquire", comfreyvale.KindExhausted, errors.Errorf("no slot became free in time; %d requests are waiting", s.admission.Len()))
	}
	return waiter, nil
}

// advance grants free slots and ends expired waits. The caller holds the lock.
func (s *Slots) advance(now time.Time) {
	for s.admission.Len() > 0 {
		w, ok := s.admission.Next(now, rand.Uint64())
		if !ok {
			break
		}
		s.markChanged(w.Instance().ID())
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

// Release ends an attempt and releases its slot.
func (s *Slots) Release(waiter *cvwaiter.Waiter, result comfreyvale.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.admission.Selector.Done(now, waiter.Instance().ID(), waiter.GrantedAt(), result)
	s.markChanged(waiter.Instance().ID())
	s.admission.RecordRelease(now)
	s.advance(now)
}

// RecordReport records a load report of an upstream. The report still counts some requests that have ended since; ended
// is their number.
func (s *Slots) RecordReport(now time.Time, id string, load cvloadreport.Report, ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.admission.Selector.RecordReport(now, id, load, ended)
	s.markChanged(id)
}

// Tick grants slots and ends expired waits. Call it periodically, because slots also become free with time.
func (s *Slots) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admission != nil && s.admission.Len() > 0 {
		s.advance(now)
	}
}

// RecordRequest records a new request, which adds to the budget.
func (s *Slots) RecordRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequestAt = now
	s.Budget.RecordRequest(now)
}

// AllowExtraAttempt takes a retry or hedge from the budget, and returns false if the budget is exhausted.
func (s *Slots) AllowExtraAttempt(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Budget.Allow(now, s.Balancers())
}

// RecordDuration records the duration of an attempt of a request to a route.
func (s *Slots) RecordDuration(now time.Time, route string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	q := s.durations[route]
	if q == nil {
		q = cvquantile.New()
		s.durations[route] = q
	}
	q.Add(now, duration)
}

// ObserveTimeout records a caller's timeout and estimates the time that the caller spent before the request arrived.
func (s *Slots) ObserveTimeout(now time.Time, route string, timeout time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	p := s.priorWaits[route]
	if p == nil {
		p = cvpriorwait.New()
		s.priorWaits[route] = p
	}
	return p.Observe(now, timeout)
}

// DurationQuantile returns a quantile of a route's recent attempt durations, or false if there are too few.
func (s *Slots) DurationQuantile(now time.Time, route string, quantile float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	q := s.durations[route]
	if q == nil {
		return 0, false
	}
	return q.At(now, quantile)
}

// Hedge takes a free slot and one extra attempt from the budget. It returns false if no slot is free, if requests are
// waiting, if the utilization is above maxUtilization, or if the used share of the budget is above maxHedgeBudgetShare.
func (s *Slots) Hedge(now time.Time, need cvrequirements.Requirements, maxUtilization float64) (*cvwaiter.Waiter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admission.Len() > 0 || s.admission.Selector.Utilization(now) > maxUtilization || s.Budget.UsedShare(now, s.Balancers()) > maxHedgeBudgetShare {
		return nil, false
	}
	waiter := cvwaiter.New(now, need)
	instance, ok := s.admission.Selector.Pick(now, rand.Uint64(), need)
	if !ok {
		return nil, false
	}
	waiter.Grant(now, instance, s.admission.Selector.HeldBack())
	s.markChanged(instance.ID())
	s.Budget.Allow(now, s.Balancers())
	return waiter, true
}

// ExpectedWait returns the expected wait for a slot of a request that arrives now.
func (s *Slots) ExpectedWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return s.admission.ExpectedWait()
}
