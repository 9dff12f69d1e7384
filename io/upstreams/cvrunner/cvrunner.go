// Package cvrunner is the way of one call through its tries to a whole answer or a refusal.
package cvrunner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/semaphore"

	"comfreyvale"
	"comfreyvale/core/cvcall"
	"comfreyvale/core/cvrefusal"
	"comfreyvale/io/callers/cvreply"
	"comfreyvale/io/upstreams/cvdispatcher"
)

// Runner runs calls of any service.
type Runner struct {
	// Recorder keeps the decisions that hurt callers.
	Recorder comfreyvale.Recorder
	// Tracer makes a span for each hop.
	Tracer trace.Tracer
	// ResponseMemory bounds the bytes of held answers; answers beyond it stream.
	ResponseMemory *semaphore.Weighted
	// OnDraining is told of upstreams that say that they are draining.
	OnDraining func(service, upstream string)
	// OnConnectionLost is told of upstreams that broke a connection while they ran a call.
	OnConnectionLost func(call *cvcall.Call, upstream string)
	// Quarantined says whether a call must not be tried again, because upstreams died of it.
	Quarantined func(call *cvcall.Call) bool
	// Suspected says whether an upstream died of a call, of which other balancers may know more.
	Suspected func(call *cvcall.Call) bool
	// AssignUpstream returns the one of the upstreams that runs a suspected call's next try, or an empty string where any may. Nil
	// leaves the choice to the picker.
	AssignUpstream func(call *cvcall.Call, upstreams []string) string
}

// race is the state of one call's tries.
type race struct {
	runner     *Runner
	call       *cvcall.Call
	dispatcher *cvdispatcher.Dispatcher
	results    chan *try
	over       chan struct{}
	cancels    map[*try]context.CancelFunc
	avoid      []string
	tries      int
	ran        comfreyvale.Ran
	last       *try
}

// Run tries a call until it has a whole answer, or the head of one that streams, or must be refused.
func (r *Runner) Run(ctx context.Context, call *cvcall.Call, dispatcher *cvdispatcher.Dispatcher) (*cvreply.Reply, *cvrefusal.Refusal) {
	return r.run(ctx, call, dispatcher, nil)
}

func (r *Runner) run(ctx context.Context, call *cvcall.Call, dispatcher *cvdispatcher.Dispatcher, avoid []string) (*cvreply.Reply, *cvrefusal.Refusal) {
	dispatcher.Begin(time.Now())
	a := &race{
		runner:     r,
		call:       call,
		dispatcher: dispatcher,
		results:    make(chan *try),
		over:       make(chan struct{}),
		cancels:    make(map[*try]context.CancelFunc),
		avoid:      avoid,
		ran:        comfreyvale.RanNo,
	}
	defer close(a.over)
	a.launch(ctx)
	return a.wait(ctx)
}

// launch starts one more try.
func (a *race) launch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	t := &try{race: a, avoid: append([]string(nil), a.avoid...), cancel: cancel}
	a.tries++
	a.cancels[t] = cancel
	go t.run(ctx)
}

// wait takes the tries' results until one decides the call.
func (a *race) wait(ctx context.Context) (*cvreply.Reply, *cvrefusal.Refusal) {
	hedge := a.hedgeTimer()
	defer hedge.Stop()
	for len(a.cancels) > 0 {
		select {
		case <-hedge.C:
			a.hedge(ctx)
		case t := <-a.results:
			delete(a.cancels, t)
			if t.reply != nil && (!t.failed() || !a.retry(ctx, t)) {
				a.cancelOthers()
				return t.reply, nil
			}
			if t.reply == nil {
				a.ended(ctx, t)
			}
		}
	}
	return nil, a.refusal(ctx)
}

// ended takes in a try without an answer and starts another one where that is allowed.
func (a *race) ended(ctx context.Context, t *try) {
	if t.sent && t.outcome != refusedUnrun {
		a.ran = comfreyvale.RanUnknown
	}
	if a.last == nil || t.outcome != cancelled {
		a.last = t
	}
	a.retry(ctx, t)
}

// retry starts another try after a failed one, and returns whether it did.
func (a *race) retry(ctx context.Context, t *try) bool {
	if !a.mayRepeat(t) || ctx.Err() != nil || a.tries >= a.call.Service().TriesPerCall() {
		return false
	}
	now := time.Now()
	if !a.dispatcher.AllowRetry(now) {
		a.record(now, t, comfreyvale.CauseRetryBudget, "retryShare")
		return false
	}
	if t.reply != nil {
		t.reply.Close(true)
	}
	a.avoid = append(a.avoid, t.upstream)
	a.record(now, t, comfreyvale.CauseRetried, "retryShare")
	a.launch(ctx)
	return true
}

// mayRepeat says whether a try's end leaves room for another try: only an idempotent call may run twice.
func (a *race) mayRepeat(t *try) bool {
	if t.outcome == refusedUnrun || t.outcome == unsent {
		return true
	}
	if !a.call.Repeatable() || t.outcome == noSlot || t.outcome == cancelled || t.outcome == quarantined {
		return false
	}
	return !a.runner.Quarantined(a.call)
}

// hedgeTimer returns the timer of the second try; it never fires for calls that may not be repeated.
func (a *race) hedgeTimer() *time.Timer {
	const never = 24 * time.Hour
	if !a.call.Repeatable() {
		return time.NewTimer(never)
	}
	after, ok := a.dispatcher.HedgeAfter(time.Now(), a.call.Class().Name())
	if !ok {
		return time.NewTimer(never)
	}
	return time.NewTimer(after)
}

// hedge starts a second try beside one that takes long.
func (a *race) hedge(ctx context.Context) {
	now := time.Now()
	if a.tries >= a.call.Service().TriesPerCall() || len(a.cancels) != 1 || a.runner.Quarantined(a.call) {
		return
	}
	for t := range a.cancels {
		upstream := t.current()
		if upstream == "" || !a.dispatcher.AllowHedge(now) {
			return
		}
		a.avoid = append(a.avoid, upstream)
		decision := comfreyvale.NewDecision(now, a.call.ID(), a.call.Service().Name(), comfreyvale.CauseHedged)
		a.runner.Recorder.Record(now, decision.WithUpstream(upstream).WithSetting(a.call.Service().Setting("hedgeQuantile")))
	}
	a.launch(ctx)
}

func (a *race) cancelOthers() {
	for _, cancel := range a.cancels {
		cancel()
	}
}

func (a *race) record(now time.Time, t *try, cause comfreyvale.Cause, setting string) {
	decision := comfreyvale.NewDecision(now, a.call.ID(), a.call.Service().Name(), cause)
	a.runner.Recorder.Record(now, decision.WithUpstream(t.upstream).WithSetting(a.call.Service().Setting(setting)).WithCondition(t.condition()))
}

// refusal says why no try brought an answer.
func (a *race) refusal(ctx context.Context) *cvrefusal.Refusal {
	service := a.call.Service()
	if ctx.Err() == context.Canceled {
		return cvrefusal.New(comfreyvale.CauseCallerGone, a.ran, "the caller closed the connection").WithUpstream(a.last.upstream)
	}
	if ctx.Err() != nil && a.last.outcome != noSlot && a.last.outcome != quarantined {
		setting := service.AnnotateSetting(a.call.Class().TimeoutSetting())
		return cvrefusal.New(comfreyvale.CauseDeadline, a.ran, "no whole answer in time; "+a.last.condition()).WithUpstream(a.last.upstream).WithSetting(setting)
	}
	refusal := cvrefusal.New(a.last.cause(), a.ran, a.last.condition()).WithUpstream(a.last.upstream)
	if path := a.last.setting(); path != "" {
		return refusal.WithSetting(service.Setting(path))
	}
	return refusal
}
