package cvrunner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvticket"
	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/callers/cvreply"
)

// outcome is how a try ended.
type outcome int

const (
	answered outcome = iota
	serverError
	refusedUnrun
	unsent
	broke
	unframed
	cancelled
	noSlot
	quarantined
)

// suspectDelay is how long a try of a call of which an upstream died waits for what other balancers know of it: two of their
// messages. No caller's answer is ready meanwhile.
const suspectDelay = 20 * time.Millisecond

// try is one attempt at a call.
type try struct {
	race     *race
	avoid    []string
	cancel   context.CancelFunc
	choice   atomic.Pointer[string]
	upstream string
	sent     bool
	outcome  outcome
	err      error
	reply    *cvreply.Reply
	began    time.Time
}

// current is the upstream that the try was sent to so far, or empty.
func (t *try) current() string {
	if name := t.choice.Load(); name != nil {
		return *name
	}
	return ""
}

// failed says whether the answer is one that another upstream may better.
func (t *try) failed() bool { return t.outcome == serverError }

func (t *try) run(ctx context.Context) {
	t.attempt(ctx)
	if t.reply == nil {
		t.cancel()
	}
	select {
	case t.race.results <- t:
	case <-t.race.over:
		if t.reply != nil {
			t.reply.Close(false)
		}
	}
}

func (t *try) attempt(ctx context.Context) {
	call := t.race.call
	if t.race.runner.Suspected(call) {
		cvpause.For(ctx, suspectDelay)
		if t.race.runner.Quarantined(call) {
			t.end(quarantined, errors.New("upstreams died while they ran this request"))
			return
		}
		t.isolate(time.Now())
	}
	queued, span := t.race.runner.Tracer.Start(ctx, "queue")
	ticket, err := t.race.dispatcher.Acquire(queued, call.Class(), t.avoid, call.Deadline())
	span.End()
	if err != nil {
		t.end(noSlot, err)
		return
	}
	vm, _ := ticket.Upstream()
	t.upstream = vm.Name()
	t.choice.Store(&t.upstream)
	t.began = time.Now()
	t.exchange(ctx, ticket, vm)
}

// isolate keeps the try of a suspected call off all upstreams but its own. An upstream that the call may not go to, or that
// gets no tries now, leaves the choice free.
func (t *try) isolate(now time.Time) {
	if t.race.runner.AssignUpstream == nil {
		return
	}
	known, ejected, draining := t.race.dispatcher.Upstreams(now)
	var open []string
	for _, v := range known {
		if name := v.Name(); !slices.Contains(ejected, name) && !slices.Contains(draining, name) && !slices.Contains(t.avoid, name) {
			open = append(open, name)
		}
	}
	place := t.race.runner.AssignUpstream(t.race.call, open)
	if place == "" {
		return
	}
	for _, name := range open {
		if name != place {
			t.avoid = append(t.avoid, name)
		}
	}
}

func (t *try) exchange(ctx context.Context, ticket *cvticket.Ticket, vm comfreyvale.VM) {
	ctx, span := t.race.runner.Tracer.Start(ctx, "try")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", vm.Name()), attribute.String("dataCentre", vm.DataCentre()))
	response, err := t.race.dispatcher.Exchanger().Exchange(ctx, vm, t.request(ctx))
	if err == nil {
		t.sent = true
		t.receive(ctx, ticket, response)
	} else {
		t.sent = cvfault.KindOf(err) != comfreyvale.KindUnavailable
		t.fail(ctx, ticket, err)
	}
	if t.err != nil {
		span.SetStatus(codes.Error, t.err.Error())
	}
}

// request builds the request that goes to the upstream.
func (t *try) request(ctx context.Context) *http.Request {
	call := t.race.call
	request, err := http.NewRequestWithContext(ctx, call.Method(), "http://upstream"+call.Target(), bytes.NewReader(call.Body()))
	if err != nil {
		// The target was parsed by the HTTP server already.
		request = &http.Request{Method: call.Method()}
	}
	request.Header = call.Header().Clone()
	request.Host = call.Header().Get("Host")
	request.Header.Del("Host")
	left := time.Until(call.Deadline()).Milliseconds()
	request.Header.Set(cvheader.Timeout, strconv.FormatInt(max(left, 1), 10))
	request.Header.Set(cvheader.RequestID, call.ID())
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request
}

// fail ends a try without an answer's head.
func (t *try) fail(ctx context.Context, ticket *cvticket.Ticket, err error) {
	switch {
	case ctx.Err() != nil:
		t.release(ticket, comfreyvale.ResultCancelled)
		t.end(cancelled, err)
	case !t.sent:
		t.release(ticket, comfreyvale.ResultFailed)
		t.end(unsent, err)
	default:
		t.release(ticket, comfreyvale.ResultFailed)
		t.end(broke, err)
		t.race.runner.OnConnectionLost(t.race.call, t.upstream)
	}
}

// receive takes an answer's head and as much of its body as is held.
func (t *try) receive(ctx context.Context, ticket *cvticket.Ticket, response *http.Response) {
	if response.Header.Get(cvheader.Draining) == "true" {
		t.race.runner.OnDraining(t.race.call.Service().Name(), t.upstream)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(cvheader.Ran) == string(comfreyvale.RanNo) {
		response.Body.Close()
		t.release(ticket, comfreyvale.ResultRefused)
		t.end(refusedUnrun, errors.New("the upstream refused the request unrun"))
		return
	}
	if err := t.race.dispatcher.Exchanger().CheckFraming(response); err != nil {
		response.Body.Close()
		t.release(ticket, comfreyvale.ResultFailed)
		t.end(unframed, err)
		return
	}
	t.hold(ctx, ticket, response)
}

// hold reads the body up to the limit of held answers.
func (t *try) hold(ctx context.Context, ticket *cvticket.Ticket, response *http.Response) {
	limit := t.race.call.Service().HeldAnswerLimit()
	reserved := limit
	if response.ContentLength >= 0 {
		reserved = min(response.ContentLength, limit)
	}
	if response.ContentLength > limit || !t.race.runner.ResponseMemory.TryAcquire(reserved) {
		t.stream(ticket, response, nil, 0)
		return
	}
	held, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		t.race.runner.ResponseMemory.Release(reserved)
		response.Body.Close()
		t.fail(ctx, ticket, err)
		return
	}
	if int64(len(held)) > limit {
		t.stream(ticket, response, held, reserved)
		return
	}
	response.Body.Close()
	t.release(ticket, t.result(response))
	t.reply = cvreply.New(t.upstream, response, held, nil, func(bool) {
		t.race.runner.ResponseMemory.Release(reserved)
		t.cancel()
	})
}

// stream hands the rest of the body on; the slot is held until it ends.
func (t *try) stream(ticket *cvticket.Ticket, response *http.Response, held []byte, reserved int64) {
	result := t.result(response)
	t.reply = cvreply.New(t.upstream, response, held, response.Body, func(whole bool) {
		t.cancel()
		response.Body.Close()
		t.race.runner.ResponseMemory.Release(reserved)
		if !whole {
			result = comfreyvale.ResultCancelled
		}
		t.release(ticket, result)
	})
}

// result tells routing how the try went, and notes an answer that another upstream may better.
func (t *try) result(response *http.Response) comfreyvale.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		t.outcome = serverError
		t.err = errors.New(response.Status)
		return comfreyvale.ResultFailed
	}
	return comfreyvale.ResultAnswered
}

func (t *try) release(ticket *cvticket.Ticket, result comfreyvale.Result) {
	now := time.Now()
	latency := now.Sub(t.began)
	t.race.dispatcher.Release(ticket, comfreyvale.NewOutcome(result, latency))
	if result == comfreyvale.ResultAnswered {
		t.race.dispatcher.RecordLatency(now, t.race.call.Class().Name(), latency)
	}
}

func (t *try) end(o outcome, err error) {
	t.outcome = o
	t.err = err
}

// condition says in words how the try ended.
func (t *try) condition() string {
	if t.err == nil {
		return ""
	}
	if t.upstream == "" {
		return t.err.Error()
	}
	return fmt.Sprintf("upstream %s after %s: %s", t.upstream, time.Since(t.began).Round(time.Microsecond), t.err)
}

// cause names the cause of a refusal that this try decides.
func (t *try) cause() comfreyvale.Cause {
	switch t.outcome {
	case refusedUnrun:
		return comfreyvale.CauseUpstreamRefused
	case unsent:
		return comfreyvale.CauseConnect
	case unframed:
		return comfreyvale.CauseAnswerUnframed
	case noSlot:
		return slotCause(t.err)
	case quarantined:
		return comfreyvale.CauseQuarantined
	case cancelled:
		return comfreyvale.CauseDeadline
	}
	return comfreyvale.CauseUpstreamBroke
}

func slotCause(err error) comfreyvale.Cause {
	switch cvfault.KindOf(err) {
	case comfreyvale.KindNotFound:
		return comfreyvale.CauseNoUpstream
	case comfreyvale.KindExhausted:
		return comfreyvale.CauseQueueFull
	}
	return comfreyvale.CauseUpstreamsFull
}

// setting is the field of the service file that decided how the try ended, or empty.
func (t *try) setting() string {
	if t.outcome == quarantined {
		return "quarantineTime"
	}
	if t.outcome != noSlot {
		return ""
	}
	switch slotCause(t.err) {
	case comfreyvale.CauseNoUpstream:
		return "group"
	case comfreyvale.CauseQueueFull:
		return "queue"
	}
	return "slots"
}
