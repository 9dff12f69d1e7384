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
	"comfreyvale/io/balancers/cvstopping"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/callers/cvreply"
)

type outcome int

const (
	answered    outcome = iota // complete or streamed, with a status below 500
	serverError                // complete or streamed, with a status of 500 or above
	notRun                     // the upstream states that it did not run the request
	unsent                     // no byte of the request was sent
	broken                     // the exchange failed after the request may have been sent
	unframed                   // the end of the response cannot be distinguished from a broken connection
	cancelled
	noSlot
	quarantined
)

// suspectDelay is how long an attempt of a suspected call waits for crash reports from other balancers. Each of them
// sends two messages in this time. It delays no response that is already available.
const suspectDelay = 20 * time.Millisecond

type attempt struct {
	execution *execution
	avoid     []string
	cancel    context.CancelFunc
	// chosen points to upstream once an upstream is chosen; other goroutines read it.
	chosen   atomic.Pointer[string]
	upstream string
	// sent is false only if no byte of the request was sent.
	sent      bool
	outcome   outcome
	err       error
	reply     *cvreply.Reply
	startedAt time.Time
}

// chosenUpstream returns an empty string if no upstream is chosen yet. It is safe for concurrent use.
func (a *attempt) chosenUpstream() string {
	if name := a.chosen.Load(); name != nil {
		return *name
	}
	return ""
}

// failed reports whether the response is a server error, so that another upstream may answer the call successfully.
func (a *attempt) failed() bool { return a.outcome == serverError }

func (a *attempt) run(ctx context.Context) {
	a.perform(ctx)
	if a.reply == nil {
		a.cancel()
	}
	select {
	case a.execution.results <- a:
	case <-a.execution.done:
		if a.reply != nil {
			a.reply.Close(false)
		}
	}
}

func (a *attempt) perform(ctx context.Context) {
	call := a.execution.call
	if a.execution.runner.Suspected(call) {
		cvpause.For(ctx, suspectDelay)
		if a.execution.runner.Quarantined(call) {
			a.end(quarantined, errors.New("upstreams died while they ran this request"))
			return
		}
		a.isolate(time.Now())
	}
	queued, span := a.execution.runner.Tracer.Start(ctx, "queue")
	ticket, err := a.awaitSlot(queued)
	span.End()
	if err != nil {
		a.end(noSlot, err)
		return
	}
	vm, _ := ticket.Upstream()
	a.upstream = vm.Name()
	a.chosen.Store(&a.upstream)
	a.startedAt = time.Now()
	a.exchange(ctx, ticket, vm)
}

// awaitSlot waits for a slot as long as the call may still be sent.
func (a *attempt) awaitSlot(ctx context.Context) (*cvticket.Ticket, error) {
	call, shutdown := a.execution.call, a.execution.runner.Shutdown
	waiting, cancel := shutdown.WaitContext(ctx, call.Deadline())
	defer cancel()
	ticket, err := a.execution.dispatcher.Acquire(waiting, call.Class(), a.avoid, call.Deadline())
	switch {
	case err != nil && errors.Is(context.Cause(waiting), cvstopping.ErrLate):
		return nil, cvstopping.ErrLate
	case err != nil:
		return nil, err
	case !shutdown.MaySend(time.Now(), call.Deadline()):
		a.execution.dispatcher.Release(ticket, comfreyvale.NewOutcome(comfreyvale.ResultCancelled, 0))
		return nil, cvstopping.ErrLate
	}
	return ticket, nil
}

// isolate restricts the attempt of a suspected call to the upstream that AssignUpstream returns, if any.
func (a *attempt) isolate(now time.Time) {
	if a.execution.runner.AssignUpstream == nil {
		return
	}
	known, ejected, draining := a.execution.dispatcher.Upstreams(now)
	var candidates []string
	for _, v := range known {
		if name := v.Name(); !slices.Contains(ejected, name) && !slices.Contains(draining, name) && !slices.Contains(a.avoid, name) {
			candidates = append(candidates, name)
		}
	}
	assigned := a.execution.runner.AssignUpstream(a.execution.call, candidates)
	if assigned == "" {
		return
	}
	for _, name := range candidates {
		if name != assigned {
			a.avoid = append(a.avoid, name)
		}
	}
}

func (a *attempt) exchange(ctx context.Context, ticket *cvticket.Ticket, vm comfreyvale.VM) {
	ctx, span := a.execution.runner.Tracer.Start(ctx, "try")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", vm.Name()), attribute.String("dataCentre", vm.DataCentre()))
	response, err := a.execution.dispatcher.Exchanger().Exchange(ctx, vm, a.request(ctx))
	if err == nil {
		a.sent = true
		a.receive(ctx, ticket, response)
	} else {
		a.sent = cvfault.KindOf(err) != comfreyvale.KindUnavailable
		a.fail(ctx, ticket, err)
	}
	if a.err != nil {
		span.SetStatus(codes.Error, a.err.Error())
	}
}

func (a *attempt) request(ctx context.Context) *http.Request {
	call := a.execution.call
	request, err := http.NewRequestWithContext(ctx, call.Method(), "http://upstream"+call.Target(), bytes.NewReader(call.Body()))
	if err != nil {
		// Unreachable: the HTTP server has already parsed the target.
		request = &http.Request{Method: call.Method()}
	}
	request.Header = call.Header().Clone()
	request.Host = call.Header().Get("Host")
	request.Header.Del("Host")
	remaining := time.Until(call.Deadline()).Milliseconds()
	request.Header.Set(cvheader.Timeout, strconv.FormatInt(max(remaining, 1), 10))
	request.Header.Set(cvheader.RequestID, call.ID())
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request
}

func (a *attempt) fail(ctx context.Context, ticket *cvticket.Ticket, err error) {
	switch {
	case ctx.Err() != nil:
		a.release(ticket, comfreyvale.ResultCancelled)
		a.end(cancelled, err)
	case !a.sent:
		a.release(ticket, comfreyvale.ResultFailed)
		a.end(unsent, err)
	default:
		a.release(ticket, comfreyvale.ResultFailed)
		a.end(broken, err)
		a.execution.runner.OnConnectionLost(a.execution.call, a.upstream)
	}
}

func (a *attempt) receive(ctx context.Context, ticket *cvticket.Ticket, response *http.Response) {
	if response.Header.Get(cvheader.Draining) == "true" {
		a.execution.runner.OnDraining(a.execution.call.Service().Name(), a.upstream)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(cvheader.Ran) == string(comfreyvale.RanNo) {
		response.Body.Close()
		a.release(ticket, comfreyvale.ResultRefused)
		a.end(notRun, errors.New("the upstream refused the request unrun"))
		return
	}
	if err := a.execution.dispatcher.Exchanger().CheckFraming(response); err != nil {
		response.Body.Close()
		a.release(ticket, comfreyvale.ResultFailed)
		a.end(unframed, err)
		return
	}
	a.buffer(ctx, ticket, response)
}

// buffer reads the body if it fits into the service's limit and ResponseMemory. Otherwise the response is streamed.
func (a *attempt) buffer(ctx context.Context, ticket *cvticket.Ticket, response *http.Response) {
	limit := a.execution.call.Service().HeldAnswerLimit()
	// A buffer for an unknown length grows by copying, and holds both copies meanwhile.
	reserved := 2 * limit
	if response.ContentLength >= 0 {
		reserved = min(response.ContentLength, limit)
	}
	if response.ContentLength > limit || !a.execution.runner.ResponseMemory.TryAcquire(reserved) {
		a.stream(ticket, response, nil, 0)
		return
	}
	buffered, err := readHeld(response, limit)
	if err != nil {
		a.execution.runner.ResponseMemory.Release(reserved)
		response.Body.Close()
		a.fail(ctx, ticket, err)
		return
	}
	if int64(len(buffered)) > limit {
		a.stream(ticket, response, buffered, reserved)
		return
	}
	response.Body.Close()
	a.release(ticket, a.result(response))
	a.reply = cvreply.New(a.upstream, response, buffered, nil, func(bool) {
		a.execution.runner.ResponseMemory.Release(reserved)
		a.cancel()
	})
}

// readHeld reads a body up to one byte beyond the limit.
func readHeld(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength < 0 || response.Body == http.NoBody {
		return io.ReadAll(io.LimitReader(response.Body, limit+1))
	}
	content := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, content)
	return content, err
}

// stream makes a reply that reads the rest of the body from the upstream and holds the slot until it is closed.
func (a *attempt) stream(ticket *cvticket.Ticket, response *http.Response, buffered []byte, reserved int64) {
	result := a.result(response)
	a.reply = cvreply.New(a.upstream, response, buffered, response.Body, func(complete bool) {
		a.cancel()
		response.Body.Close()
		a.execution.runner.ResponseMemory.Release(reserved)
		if !complete {
			result = comfreyvale.ResultCancelled
		}
		a.release(ticket, result)
	})
}

// result returns the result of a response for the dispatcher, and marks the attempt as failed if the response is a
// server error.
func (a *attempt) result(response *http.Response) comfreyvale.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		a.outcome = serverError
		a.err = errors.New(response.Status)
		return comfreyvale.ResultFailed
	}
	return comfreyvale.ResultAnswered
}

func (a *attempt) release(ticket *cvticket.Ticket, result comfreyvale.Result) {
	now := time.Now()
	latency := now.Sub(a.startedAt)
	a.execution.dispatcher.Release(ticket, comfreyvale.NewOutcome(result, latency))
	if result == comfreyvale.ResultAnswered {
		a.execution.dispatcher.RecordLatency(now, a.execution.call.Class().Name(), latency)
	}
}

func (a *attempt) end(o outcome, err error) {
	a.outcome = o
	a.err = err
}

// condition describes the attempt's failure for operators, or returns an empty string.
func (a *attempt) condition() string {
	if a.err == nil {
		return ""
	}
	if a.upstream == "" {
		return a.err.Error()
	}
	return fmt.Sprintf("upstream %s after %s: %s", a.upstream, time.Since(a.startedAt).Round(time.Microsecond), a.err)
}

func (a *attempt) cause() comfreyvale.Cause {
	switch a.outcome {
	case notRun:
		return comfreyvale.CauseUpstreamRefused
	case unsent:
		return comfreyvale.CauseConnect
	case unframed:
		return comfreyvale.CauseAnswerUnframed
	case noSlot:
		return slotCause(a.err)
	case quarantined:
		return comfreyvale.CauseQuarantined
	case cancelled:
		return comfreyvale.CauseDeadline
	}
	return comfreyvale.CauseUpstreamBroke
}

func slotCause(err error) comfreyvale.Cause {
	if errors.Is(err, cvstopping.ErrLate) {
		return comfreyvale.CauseShutdown
	}
	switch cvfault.KindOf(err) {
	case comfreyvale.KindNotFound:
		return comfreyvale.CauseNoUpstream
	case comfreyvale.KindExhausted:
		return comfreyvale.CauseQueueFull
	}
	return comfreyvale.CauseUpstreamsFull
}

// setting returns the field of the service file that caused the failure, or an empty string.
func (a *attempt) setting() string {
	if a.outcome == quarantined {
		return "quarantineTime"
	}
	if a.outcome != noSlot {
		return ""
	}
	switch slotCause(a.err) {
	case comfreyvale.CauseNoUpstream:
		return "group"
	case comfreyvale.CauseQueueFull:
		return "queue"
	case comfreyvale.CauseShutdown:
		return ""
	}
	return "slots"
}
