// Package cvrunner implements the attempts of a call, with retries and hedges, up to a response or a refusal.
package cvrunner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/semaphore"

	"comfreyvale"
	"comfreyvale/core/cvcall"
	"comfreyvale/core/cvrefusal"
	"comfreyvale/io/balancers/cvstopping"
	"comfreyvale/io/callers/cvreply"
	"comfreyvale/io/upstreams/cvdispatcher"
)

// Runner runs the calls of all services. It is safe for concurrent use; set the exported fields before the first call.
type Runner struct {
	// Recorder stores the retry and hedge decisions.
	Recorder comfreyvale.Recorder
	Tracer   trace.Tracer
	// ResponseMemory limits the bytes of buffered responses. Responses that exceed it are streamed.
	ResponseMemory *semaphore.Weighted
	// OnDraining is called when a response states that its upstream is draining.
	OnDraining func(service, upstream string)
	// OnConnectionLost is called when a connection breaks while the upstream may be running a call.
	OnConnectionLost func(call *cvcall.Call, upstream string)
	// Quarantined reports whether a call must not be attempted again because upstreams crashed while they ran it.
	Quarantined func(call *cvcall.Call) bool
	// Suspected reports whether an upstream crashed while it ran a call. Other balancers may know of further crashes,
	// so an attempt of such a call waits for their messages.
	Suspected func(call *cvcall.Call) bool
	// AssignUpstream returns which of the upstreams runs the next attempt of a suspected call, or an empty string if
	// any may. If it is nil, the picker chooses the upstream.
	AssignUpstream func(call *cvcall.Call, upstreams []string) string
	// Shutdown tells which calls are still sent. It may be nil.
	Shutdown *cvstopping.Stopping
}

type execution struct {
	runner     *Runner
	call       *cvcall.Call
	dispatcher *cvdispatcher.Dispatcher
	results    chan *attempt
	// done is closed when the call is decided.
	done chan struct{}
	// cancels holds the attempts in progress.
	cancels map[*attempt]context.CancelFunc
	// avoid names the upstreams that the next attempts must not use.
	avoid []string
	// attempts is the number of attempts that were started.
	attempts int
	// ran states whether an upstream may have run the call.
	ran         comfreyvale.Ran
	lastAttempt *attempt
}

// Run sends a call to upstreams until it has a complete response, the header of a streamed response, or a reason to
// refuse the call. The caller must close the reply.
func (r *Runner) Run(ctx context.Context, call *cvcall.Call, dispatcher *cvdispatcher.Dispatcher) (*cvreply.Reply, *cvrefusal.Refusal) {
	return r.run(ctx, call, dispatcher, nil)
}

func (r *Runner) run(ctx context.Context, call *cvcall.Call, dispatcher *cvdispatcher.Dispatcher, avoid []string) (*cvreply.Reply, *cvrefusal.Refusal) {
	dispatcher.RecordCall(time.Now())
	e := &execution{
		runner:     r,
		call:       call,
		dispatcher: dispatcher,
		results:    make(chan *attempt),
		done:       make(chan struct{}),
		cancels:    make(map[*attempt]context.CancelFunc),
		avoid:      avoid,
		ran:        comfreyvale.RanNo,
	}
	defer close(e.done)
	e.startAttempt(ctx)
	return e.wait(ctx)
}

func (e *execution) startAttempt(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{execution: e, avoid: append([]string(nil), e.avoid...), cancel: cancel}
	e.attempts++
	e.cancels[a] = cancel
	go a.run(ctx)
}

// wait receives the results of attempts until one of them decides the call.
func (e *execution) wait(ctx context.Context) (*cvreply.Reply, *cvrefusal.Refusal) {
	hedge := e.hedgeTimer()
	defer hedge.Stop()
	for len(e.cancels) > 0 {
		select {
		case <-hedge.C:
			e.hedge(ctx)
		case a := <-e.results:
			delete(e.cancels, a)
			if a.reply != nil && (!a.failed() || !e.retry(ctx, a)) {
				e.cancelOthers()
				return a.reply, nil
			}
			if a.reply == nil {
				e.handleFailure(ctx, a)
			}
		}
	}
	return nil, e.refusal(ctx)
}

// handleFailure handles an attempt that ended without a response.
func (e *execution) handleFailure(ctx context.Context, a *attempt) {
	if a.sent && a.outcome != notRun {
		e.ran = comfreyvale.RanUnknown
	}
	if e.lastAttempt == nil || a.outcome != cancelled {
		e.lastAttempt = a
	}
	e.retry(ctx, a)
}

// retry reports whether it started another attempt.
func (e *execution) retry(ctx context.Context, a *attempt) bool {
	if !e.mayRetry(a) || ctx.Err() != nil || e.attempts >= e.call.Service().TriesPerCall() {
		return false
	}
	now := time.Now()
	if !e.dispatcher.AllowRetry(now) {
		e.record(now, a, comfreyvale.CauseRetryBudget, "retryShare")
		return false
	}
	if a.reply != nil {
		a.reply.Close(true)
	}
	e.avoid = append(e.avoid, a.upstream)
	e.record(now, a, comfreyvale.CauseRetried, "retryShare")
	e.startAttempt(ctx)
	return true
}

// mayRetry reports whether the attempt's outcome allows another one. Only an idempotent call that is not quarantined
// may run twice.
func (e *execution) mayRetry(a *attempt) bool {
	if a.outcome == notRun || a.outcome == unsent {
		return true
	}
	if !e.call.Repeatable() || a.outcome == noSlot || a.outcome == cancelled || a.outcome == quarantined {
		return false
	}
	return !e.runner.Quarantined(e.call)
}

// hedgeTimer returns a timer that does not fire if the call must not be hedged or its hedge delay is unknown.
func (e *execution) hedgeTimer() *time.Timer {
	const never = 24 * time.Hour
	if !e.call.Repeatable() {
		return time.NewTimer(never)
	}
	after, ok := e.dispatcher.HedgeAfter(time.Now(), e.call.Class().Name())
	if !ok {
		return time.NewTimer(never)
	}
	return time.NewTimer(after)
}

// hedge starts an attempt parallel to a slow one, if allowed.
func (e *execution) hedge(ctx context.Context) {
	now := time.Now()
	if e.attempts >= e.call.Service().TriesPerCall() || len(e.cancels) != 1 || e.runner.Quarantined(e.call) {
		return
	}
	for a := range e.cancels {
		upstream := a.chosenUpstream()
		if upstream == "" || !e.dispatcher.AllowHedge(now) {
			return
		}
		e.avoid = append(e.avoid, upstream)
		decision := comfreyvale.NewDecision(now, e.call.ID(), e.call.Service().Name(), comfreyvale.CauseHedged)
		e.runner.Recorder.Record(now, decision.WithUpstream(upstream).WithSetting(e.call.Service().Setting("hedgeQuantile")))
	}
	e.startAttempt(ctx)
}

func (e *execution) cancelOthers() {
	for _, cancel := range e.cancels {
		cancel()
	}
}

func (e *execution) record(now time.Time, a *attempt, cause comfreyvale.Cause, setting string) {
	decision := comfreyvale.NewDecision(now, e.call.ID(), e.call.Service().Name(), cause)
	e.runner.Recorder.Record(now, decision.WithUpstream(a.upstream).WithSetting(e.call.Service().Setting(setting)).WithCondition(a.condition()))
}

func (e *execution) refusal(ctx context.Context) *cvrefusal.Refusal {
	service := e.call.Service()
	if cause := context.Cause(ctx); errors.Is(cause, cvstopping.ErrEnd) {
		return cvrefusal.New(comfreyvale.CauseShutdown, e.ran, cause.Error()).WithUpstream(e.lastAttempt.upstream)
	}
	if ctx.Err() == context.Canceled {
		return cvrefusal.New(comfreyvale.CauseCallerGone, e.ran, "the caller closed the connection").WithUpstream(e.lastAttempt.upstream)
	}
	if ctx.Err() != nil && e.lastAttempt.outcome != noSlot && e.lastAttempt.outcome != quarantined {
		setting := service.AnnotateSetting(e.call.Class().TimeoutSetting())
		return cvrefusal.New(comfreyvale.CauseDeadline, e.ran, "no whole answer in time; "+e.lastAttempt.condition()).WithUpstream(e.lastAttempt.upstream).WithSetting(setting)
	}
	refusal := cvrefusal.New(e.lastAttempt.cause(), e.ran, e.lastAttempt.condition()).WithUpstream(e.lastAttempt.upstream)
	if path := e.lastAttempt.setting(); path != "" {
		return refusal.WithSetting(service.Setting(path))
	}
	return refusal
}
