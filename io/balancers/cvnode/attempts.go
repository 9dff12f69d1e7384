package cvnode

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvrequest"
	"comfreyvale/core/cvrequirements"
	"comfreyvale/core/cvwaiter"
	"comfreyvale/io/balancers/cvstopping"
	"comfreyvale/io/callers/cvhttpserver"
)

const (
	// hedgeQuantile is the quantile of a route's recent attempt durations after which a request is hedged. At any
	// moment a quarter of the machines are slowed down by neighbours.
	hedgeQuantile = 0.75
	// hedgeMaxBusy is the share of taken slots above which no request is hedged.
	hedgeMaxBusy = 0.7
	// workQuantile is the quantile of a route's recent attempt durations that is used as the expected work
	// of the next attempt.
	workQuantile = 0.35
	// initialWorkShare is the expected work as a share of a route's target latency before enough attempts have ended.
	// Operators allow for a machine that is about twice as slow as usual.
	initialWorkShare = 0.4
	// maxLoggedAge is the age that is logged for a report that never arrived.
	maxLoggedAge = time.Hour
	// maxAttempts is the maximum number of attempts of one request, including those that sent no byte.
	maxAttempts = 8
)

type outcome int

const (
	answered   outcome = iota // the upstream returned a response for the caller
	failed                    // the upstream ran the request and returned an error response
	refused                   // the upstream stated that it did not run the request
	unsent                    // no byte of the request was sent
	broken                    // the connection broke and the request may have run
	expired                   // the deadline passed, or the process shuts down
	callerLeft                // the caller closed its connection
	overtaken                 // a concurrent attempt of the same request was answered first
)

func (o outcome) result() comfreyvale.Result {
	switch o {
	case answered:
		return comfreyvale.ResultAnswered
	case refused:
		return comfreyvale.ResultRefused
	case expired, callerLeft, overtaken:
		return comfreyvale.ResultCancelled
	}
	return comfreyvale.ResultFailed
}

func (e *exchange) classify(ctx context.Context, response comfreyvale.Answer, err error) outcome {
	if err != nil {
		switch {
		case ctx.Err() != nil && cvfault.KindOf(err) == comfreyvale.KindTimeout:
			return cancelOutcome(context.Cause(ctx))
		case cvfault.KindOf(err) == comfreyvale.KindUnavailable, cvfault.KindOf(err) == comfreyvale.KindExhausted:
			return unsent
		}
		return broken
	}
	if response.Header().Get(e.node.HeaderNames.NotRun) != "" || response.Status() == http.StatusMisdirectedRequest {
		return refused
	}
	if response.Status() >= http.StatusInternalServerError {
		return failed
	}
	return answered
}

func cancelOutcome(cause error) outcome {
	switch {
	case errors.Is(cause, cvhttpserver.ErrCallerDisconnected):
		return callerLeft
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, cvstopping.ErrEnd):
		return expired
	}
	return overtaken
}

func (o outcome) mayHaveRun() bool { return o != refused && o != unsent }

// String returns the name in logs, metrics and spans.
func (o outcome) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "broken", "expired", "callerLeft", "overtaken"}[o]
}

type attempt struct {
	waiter    *cvwaiter.Waiter
	startedAt time.Time
	// selection holds log fields with the data on which the choice of the upstream was based.
	selection log.Fields
	outcome   outcome
	response  comfreyvale.Answer
	err       error
}

func (a *attempt) upstream() string { return a.waiter.Instance().ID() }

// run tries upstreams until one returns a response or no further attempt is possible. If the route is idempotent and
// the first attempt is slow, it hedges the request; the first response wins.
func (e *exchange) run(ctx context.Context) comfreyvale.Answer {
	ctx, cancel := context.WithDeadline(ctx, e.deadline.Add(-responseMargin))
	defer cancel()
	ctx, detach := e.node.shutdown.RequestContext(ctx)
	defer detach()
	if ctx.Err() != nil {
		return e.finishCancelled(ctx)
	}
	ended := make(chan *attempt, maxAttempts)
	if err := e.send(ctx, ended); err != nil {
		return e.finishWithoutSlot(err)
	}
	hedge := e.hedgeTimer()
	for inFlight := 1; ; {
		select {
		case <-hedge:
			if e.hedge(ctx, ended) {
				inFlight++
			}
			hedge = e.rearmHedge(hedge)
		case a := <-ended:
			inFlight--
			e.lastAttempt = a
			if a.outcome == answered {
				e.recordWinner(a)
				return a.response
			}
			e.mayHaveRun = e.mayHaveRun || a.outcome.mayHaveRun()
			if a.outcome == failed {
				e.lastFailure = a.response
			}
			e.logFailedAttempt(a)
			if inFlight > 0 {
				continue
			}
			if final, ok := e.shouldRetry(a.outcome); !ok {
				return final
			}
			if ctx.Err() != nil {
				return e.finishCancelled(ctx)
			}
			if err := e.send(ctx, ended); err != nil {
				return e.finishWithoutSlot(err)
			}
			inFlight++
			hedge = e.rearmHedge(hedge)
		}
	}
}

func (e *exchange) requirements() cvrequirements.Requirements {
	// About a third of the attempts are faster than this, so it approximates the work on a machine of usual speed.
	work, ok := e.durationQuantile(time.Now(), workQuantile)
	if !ok {
		work = time.Duration(initialWorkShare * float64(e.route.TargetLatency()))
	}
	workspace, route := e.priorities()
	return cvrequirements.New(e.target, e.deadline, route, e.route.LargeResponses()).WithWorkspacePriority(workspace).WithWorkspace(e.workspaceName()).WithServiceTime(work).WithAvoid(e.tried).
		WithRegions(*e.node.regions.Load(), e.route.Regions(), e.workspaceRegions())
}

// workspaceRegions returns the regions that the workspace of the request allows, or none for any.
func (e *exchange) workspaceRegions() []string {
	if e.workspace == nil {
		return nil
	}
	return e.workspace.Regions()
}

func (e *exchange) send(ctx context.Context, ended chan<- *attempt) error {
	for {
		waiter, err := e.awaitSlot(ctx)
		if err != nil {
			return err
		}
		usable := e.checkLoad(ctx, waiter)
		switch {
		case ctx.Err() != nil:
			err = fail("send", comfreyvale.KindTimeout, context.Cause(ctx))
		case !e.mayStillSend():
			err = errMayNotSend
		case usable:
			e.startAttempt(ctx, waiter, ended)
			return nil
		}
		e.slots.Release(waiter, comfreyvale.ResultCancelled)
		if err != nil {
			return err
		}
	}
}

// awaitSlot waits for a slot as long as the request may still be sent.
func (e *exchange) awaitSlot(ctx context.Context) (*cvwaiter.Waiter, error) {
	ctx, cancel := e.node.shutdown.WaitContext(ctx, e.deadline)
	defer cancel()
	return e.slots.Acquire(ctx, e.requirements())
}

func (e *exchange) startAttempt(ctx context.Context, waiter *cvwaiter.Waiter, ended chan<- *attempt) {
	e.tried = append(e.tried, waiter.Instance().ID())
	e.watchAttempt(time.Now(), waiter)
	go func() { ended <- e.attempt(ctx, waiter) }()
}

// attempt sends the request to an upstream, and releases the slot.
func (e *exchange) attempt(ctx context.Context, waiter *cvwaiter.Waiter) *attempt {
	a := &attempt{waiter: waiter, startedAt: time.Now(), selection: e.selectionFields(waiter)}
	e.countLimits(waiter)
	ctx, span := e.node.Tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	a.response, a.err = e.node.pool.Exchange(ctx, waiter.Instance(), e.connectionLimit(), e.tracedMessage(ctx), e.memory)
	a.outcome = e.classify(ctx, a.response, a.err)
	span.SetAttributes(attribute.String("upstream", a.upstream()), attribute.String("outcome", a.outcome.String()))
	result := a.outcome.result()
	if ctx.Err() != nil && a.outcome == unsent {
		// The cancellation while the connection was being opened says nothing about the upstream.
		result = comfreyvale.ResultCancelled
	}
	e.slots.Release(waiter, result)
	e.recordAttempt(a)
	return a
}

func (e *exchange) recordAttempt(a *attempt) {
	now := time.Now()
	e.recordSharedDuration(now, a)
	e.reportLoad(a.upstream(), a.outcome, a.response)
	e.node.recordLimit(e.slots, a.waiter.Instance(), a.response, a.startedAt)
	e.node.metrics.AttemptEnded(e.group, a.outcome.String())
	e.node.metrics.ResponseReceived(a.waiter.Instance().DataCentre() == e.node.Settings.DataCentre(), a.response.Size())
	switch a.outcome {
	case answered:
		e.slots.RecordDuration(now, e.route.Name(), now.Sub(a.startedAt))
		e.node.recordCompletion(now, e.message)
	case expired:
		e.slots.RecordDuration(now, e.route.Name(), now.Sub(a.startedAt))
	case broken:
		go e.node.checkCrash(a.waiter.Instance(), e.message)
	}
}

// tracedMessage adds the span's context to the request if the span is sampled.
func (e *exchange) tracedMessage(ctx context.Context) *cvrequest.Request {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return e.message
	}
	header := e.message.Header().Clone()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	return e.message.WithHeader(header)
}

// selectionFields returns log fields with the data on which the choice of the upstream was based.
func (e *exchange) selectionFields(waiter *cvwaiter.Waiter) log.Fields {
	state := e.slots.UpstreamState(waiter.GrantedAt(), waiter.Instance().ID())
	fields := log.Fields{
		"waitedMs": waiter.GrantedAt().Sub(waiter.EnteredAt()).Milliseconds(), "ownTries": state.InFlight(),
		"reportAgeMs": min(state.LoadAge(), maxLoggedAge).Milliseconds(), "reportBusy": state.Load(), "reportSlowness": state.Slowness(),
	}
	// The limit that held the request back says more about the choice than one of the chosen upstream.
	limitOf := waiter.Instance().ID()
	if heldBackFrom := waiter.HeldBack(); heldBackFrom != "" {
		fields["heldBackFrom"] = heldBackFrom
		limitOf = heldBackFrom
	}
	if warmUp, limit, limited := e.slots.WarmUp(time.Now(), limitOf); limited {
		fields["warmUpPerSecond"], fields["warmUpLeftMs"], fields["warmUpFrom"] = limit.PerSecond(), time.Until(warmUp.Until()).Milliseconds(), warmUp.Source()
	}
	if limit := e.slots.NamedLimit(limitOf); limit.PerSecond() > 0 {
		fields["limitPerSecond"], fields["limitAgeMs"], fields["limitFrom"] = limit.PerSecond(), time.Since(limit.StatedAt()).Milliseconds(), limit.Source()
	}
	return fields
}

// countLimits counts the attempt if its upstream limits its requests, or if the preferred one does.
func (e *exchange) countLimits(waiter *cvwaiter.Waiter) {
	id := waiter.Instance().ID()
	_, _, warmingUp := e.slots.WarmUp(time.Now(), id)
	if limit := e.slots.NamedLimit(id); limit.PerSecond() > 0 || warmingUp {
		e.node.metrics.LimitedAttempt(e.group)
	}
	if waiter.HeldBack() != "" {
		e.node.metrics.LimitHeldBack(e.group)
	}
}

// hedgeTimer fires after the hedgeQuantile of the attempt durations, or when to decide about a hedge within the
// operators' limit. It is nil if the request is not hedged.
func (e *exchange) hedgeTimer() <-chan time.Time {
	if e.hedging.on {
		return e.rearmHedge(nil)
	}
	if !e.route.Idempotent() || e.route.MaxAttempts() <= 1 {
		return nil
	}
	usual, ok := e.slots.DurationQuantile(time.Now(), e.route.Name(), hedgeQuantile)
	if !ok {
		return nil
	}
	return time.After(usual)
}

// hedge reports whether it started an attempt: a slot must be free and the retry budget must allow it.
func (e *exchange) hedge(ctx context.Context, ended chan<- *attempt) bool {
	if e.hedging.on {
		return e.hedgeWithinLimit(ctx, ended)
	}
	if len(e.tried) >= e.route.MaxAttempts() {
		return false
	}
	waiter, ok := e.slots.Hedge(time.Now(), e.requirements(), hedgeMaxBusy)
	if !ok {
		return false
	}
	if !e.mayStillSend() {
		e.slots.Release(waiter, comfreyvale.ResultCancelled)
		return false
	}
	e.startAttempt(ctx, waiter, ended)
	return true
}

// connectionLimit returns this balancer's share of an upstream's connection limit, or minSharers if the group sets no
// limit.
func (e *exchange) connectionLimit() int {
	t := e.node.routes.Load()
	if g, ok := t.Group(e.group); ok && g.MaxConnections() > 0 {
		return max(g.MaxConnections()/max(minSharers, e.node.news.Sharers()), 1)
	}
	return minSharers
}

// reportLoad records the load report in a response. The report still counts the response's request as in progress,
// unless the upstream refused the request.
func (e *exchange) reportLoad(id string, o outcome, response comfreyvale.Answer) {
	ended := 1
	if o == refused {
		ended = 0
	}
	if text := response.Header().Get(e.node.HeaderNames.Load); text != "" {
		if load, ok := e.node.HeaderNames.ParseLoad(text); ok {
			e.slots.RecordReport(time.Now(), id, load, ended)
		}
	}
}

func (e *exchange) logFailedAttempt(a *attempt) {
	entry := e.node.Logger.WithFields(a.selection).WithFields(log.Fields{
		"request": e.message.ID(), "route": e.route.Name(), "upstream": a.upstream(), "try": len(e.tried),
		"outcome": a.outcome.String(), "tookMs": time.Since(a.startedAt).Milliseconds(), "status": a.response.Status(),
	})
	if a.err != nil {
		entry = entry.WithError(a.err)
	}
	entry.Info("attempt failed")
}
