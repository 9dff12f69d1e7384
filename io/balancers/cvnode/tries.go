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
	"comfreyvale/io/callers/cvcaller"
)

const (
	// hedgeQuantile is the share of recent tries of a route that were quicker than the time after which a second one is
	// sent beside the first. A quarter of the machines are busy with neighbours at any moment.
	hedgeQuantile = 0.75
	// hedgeBusy is the share of taken slots from which none is spared for a second try beside the first.
	hedgeBusy = 0.7
	// workQuantile is the share of recent tries of a route that were quicker than the work expected of the next.
	workQuantile = 0.35
	// maxTries bounds the tries of one request, those of which no byte left included.
	maxTries = 8
)

// verdict is how one try ended.
type verdict int

const (
	// answered is an answer for the caller.
	answered verdict = iota
	// failed is an upstream's own answer that it failed; the request has run.
	failed
	// refused is an upstream's statement that it did not run the request.
	refused
	// unsent is a try of which no byte left.
	unsent
	// broken is a try that may have run.
	broken
	// expired is a try that the deadline ended.
	expired
	// left is a try that ended because the caller left.
	left
	// overtaken is a try beside which another one was answered.
	overtaken
)

func (v verdict) result() comfreyvale.Result {
	switch v {
	case answered:
		return comfreyvale.ResultAnswered
	case refused:
		return comfreyvale.ResultRefused
	case expired, left, overtaken:
		return comfreyvale.ResultCancelled
	}
	return comfreyvale.ResultFailed
}

// judge says how a try ended.
func (e *exchange) judge(ctx context.Context, answer comfreyvale.Answer, err error) verdict {
	if err != nil {
		switch {
		case ctx.Err() != nil && cvfault.KindOf(err) == comfreyvale.KindTimeout:
			return endedBy(context.Cause(ctx))
		case cvfault.KindOf(err) == comfreyvale.KindUnavailable, cvfault.KindOf(err) == comfreyvale.KindExhausted:
			return unsent
		}
		return broken
	}
	if answer.Header().Get(e.node.HeaderNames.NotRun) != "" || answer.Status() == http.StatusMisdirectedRequest {
		return refused
	}
	if answer.Status() >= http.StatusInternalServerError {
		return failed
	}
	return answered
}

// endedBy says how a try ended whose context ended.
func endedBy(cause error) verdict {
	switch {
	case errors.Is(cause, cvcaller.ErrCallerGone):
		return left
	case errors.Is(cause, context.DeadlineExceeded):
		return expired
	}
	return overtaken
}

// ran says whether the request may have run in a try that ended so.
func (v verdict) ran() bool { return v != refused && v != unsent }

// String names the verdict.
func (v verdict) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "broken", "expired", "callerLeft", "overtaken"}[v]
}

// try is one sending of a request to one upstream.
type try struct {
	waiter *cvwaiter.Waiter
	began  time.Time
	// evidence is what the choice of the upstream rested on, for the log.
	evidence log.Fields
	verdict  verdict
	answer   comfreyvale.Answer
	err      error
}

// upstream is the id of the upstream that was tried.
func (t *try) upstream() string { return t.waiter.Instance().ID() }

// run tries upstreams until there is an answer, or none can be had. A request that may run more than once is sent to a
// second one when the first takes long; what comes first counts.
func (e *exchange) run(ctx context.Context) comfreyvale.Answer {
	ctx, cancel := context.WithDeadline(ctx, e.deadline.Add(-answerTime))
	defer cancel()
	if ctx.Err() != nil {
		return e.over(ctx)
	}
	ended := make(chan *try, maxTries)
	if err := e.send(ctx, ended); err != nil {
		return e.noSlot(err)
	}
	hedge := e.hedgeTime()
	for open := 1; ; {
		select {
		case <-hedge:
			if e.hedge(ctx, ended) {
				open++
			}
		case t := <-ended:
			open--
			e.lastTry = t
			if t.verdict == answered {
				return t.answer
			}
			e.ran = e.ran || t.verdict.ran()
			if t.verdict == failed {
				e.last = t.answer
			}
			e.note(t)
			if open > 0 {
				continue
			}
			if final, ok := e.again(t.verdict); !ok {
				return final
			}
			if ctx.Err() != nil {
				return e.over(ctx)
			}
			if err := e.send(ctx, ended); err != nil {
				return e.noSlot(err)
			}
			open++
		}
	}
}

// need is what the request asks of its next upstream.
func (e *exchange) need() cvrequirements.Requirements {
	// A third of the tries are quicker than this, which is about the work on a machine of usual speed.
	work, _ := e.slots.Usual(time.Now(), e.route.Name(), workQuantile)
	return cvrequirements.New(e.target, e.deadline, e.route.Priority(), e.route.LargeResponses()).WithServiceTime(work).WithAvoid(e.tried)
}

// send waits for a slot and starts a try there.
func (e *exchange) send(ctx context.Context, ended chan<- *try) error {
	waiter, err := e.slots.Acquire(ctx, e.need())
	if err != nil {
		return err
	}
	e.start(ctx, waiter, ended)
	return nil
}

// start runs a try in the background.
func (e *exchange) start(ctx context.Context, waiter *cvwaiter.Waiter, ended chan<- *try) {
	e.tried = append(e.tried, waiter.Instance().ID())
	go func() { ended <- e.try(ctx, waiter) }()
}

// try sends the request to an upstream. The slot is free again before it returns.
func (e *exchange) try(ctx context.Context, waiter *cvwaiter.Waiter) *try {
	t := &try{waiter: waiter, began: time.Now(), evidence: e.evidence(waiter)}
	ctx, span := e.node.Tracer.Start(ctx, "try", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	t.answer, t.err = e.node.pool.Exchange(ctx, waiter.Instance(), e.connections(), e.traced(ctx), e.deadline, !e.route.Idempotent())
	t.verdict = e.judge(ctx, t.answer, t.err)
	span.SetAttributes(attribute.String("upstream", t.upstream()), attribute.String("outcome", t.verdict.String()))
	result := t.verdict.result()
	if ctx.Err() != nil && t.verdict == unsent {
		// The try was given up while its connection was being opened: that says nothing of the upstream.
		result = comfreyvale.ResultCancelled
	}
	e.slots.Release(waiter, result)
	e.learn(t)
	return t
}

// learn hands on what a try showed of its upstream and of its request.
func (e *exchange) learn(t *try) {
	now := time.Now()
	e.report(t.upstream(), t.verdict, t.answer)
	e.node.counters.Tried(e.group, t.verdict.String())
	switch t.verdict {
	case answered:
		e.slots.Took(now, e.route.Name(), now.Sub(t.began))
		e.node.settled(now, e.message)
	case expired:
		e.slots.Took(now, e.route.Name(), now.Sub(t.began))
	case broken:
		go e.node.suspect(t.waiter.Instance(), e.message)
	}
}

// traced is the request as it is sent: with the try's span if it is traced, else as the caller sent it.
func (e *exchange) traced(ctx context.Context) *cvrequest.Request {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return e.message
	}
	header := e.message.Header().Clone()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	return cvrequest.New(e.message.ID(), e.message.Method(), e.message.Target(), e.message.Host(), header, e.message.Body())
}

// evidence is what the choice of an upstream rested on.
func (e *exchange) evidence(waiter *cvwaiter.Waiter) log.Fields {
	inFlight, age, busy, slowness := e.slots.Evidence(waiter.GrantedAt(), waiter.Instance().ID())
	return log.Fields{
		"waitedMs": waiter.GrantedAt().Sub(waiter.EnteredAt()).Milliseconds(), "ownTries": inFlight,
		"reportAgeMs": age.Milliseconds(), "reportBusy": busy, "reportSlowness": slowness,
	}
}

// hedgeTime comes when the first try takes longer than most; a nil channel never does.
func (e *exchange) hedgeTime() <-chan time.Time {
	if !e.route.Idempotent() || e.route.MaxAttempts() <= 1 {
		return nil
	}
	usual, ok := e.slots.Usual(time.Now(), e.route.Name(), hedgeQuantile)
	if !ok {
		return nil
	}
	return time.After(usual)
}

// hedge sends the request to a second upstream beside the first, if a slot is free and the budget allows it.
func (e *exchange) hedge(ctx context.Context, ended chan<- *try) bool {
	if len(e.tried) >= e.route.MaxAttempts() {
		return false
	}
	waiter, ok := e.slots.Hedge(time.Now(), e.need(), hedgeBusy)
	if !ok {
		return false
	}
	e.start(ctx, waiter, ended)
	return true
}

// connections is how many connections this balancer opens to one upstream of the group: its share of what the upstream takes.
func (e *exchange) connections() int {
	t := e.node.routes.Load()
	if g, ok := t.Group(e.group); ok && g.MaxConnections() > 0 {
		return max(g.MaxConnections()/max(leastSharers, e.node.news.Sharers()), 1)
	}
	return leastSharers
}

// report hands the load that came with an answer to the decisions.
func (e *exchange) report(id string, v verdict, answer comfreyvale.Answer) {
	ended := 1
	if v == refused {
		ended = 0
	}
	if text := answer.Header().Get(e.node.HeaderNames.Load); text != "" {
		if load, ok := e.node.HeaderNames.ParseLoad(text); ok {
			e.slots.Report(time.Now(), id, load, ended)
		}
	}
}

// note logs a try that brought no answer.
func (e *exchange) note(t *try) {
	entry := e.node.Logger.WithFields(t.evidence).WithFields(log.Fields{
		"request": e.message.ID(), "route": e.route.Name(), "upstream": t.upstream(), "try": len(e.tried),
		"outcome": t.verdict.String(), "tookMs": time.Since(t.began).Milliseconds(), "status": t.answer.Status(),
	})
	if t.err != nil {
		entry = entry.WithError(t.err)
	}
	entry.Info("try failed")
}
