// Package cvgateway is the HTTP surface toward callers.
package cvgateway

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"comfreyvale"
	"comfreyvale/core/cvcall"
	"comfreyvale/core/cvhost"
	"comfreyvale/core/cvrefusal"
	"comfreyvale/core/cvservice"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/callers/cvreply"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/upstreams/cvdispatcher"
	"comfreyvale/io/upstreams/cvrunner"
)

const (
	// requestIDBytes is the size of the random part of a request id.
	requestIDBytes = 12
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 255
	// unknownService is the label of calls that belong to no service.
	unknownService = "none"
)

// Gateway answers callers.
type Gateway struct {
	// FindService returns the service of a call under the configuration in force, and its dispatcher.
	FindService func(host, path string) (*cvservice.Service, *cvdispatcher.Dispatcher, comfreyvale.Cause)
	// Quarantined says whether a call must not be run, with the evidence.
	Quarantined func(now time.Time, call *cvcall.Call) (evidence string, quarantined bool)
	// OnUpstreamSuccess is told of calls that got a whole answer.
	OnUpstreamSuccess func(call *cvcall.Call)
	// NewKeys returns keys that only this balancer grants.
	NewKeys func(count int) []string
	// Runner tries calls.
	Runner *cvrunner.Runner
	// Claims grants keys.
	Claims comfreyvale.Claims
	// Recorder keeps decisions that hurt callers.
	Recorder comfreyvale.Recorder
	// Metrics counts.
	Metrics *cvmetrics.Metrics
	// Tracer makes a span for each hop.
	Tracer trace.Tracer

	inFlight atomic.Int64
	stopping atomic.Bool
}

// exchange is one call's way through the gateway.
type exchange struct {
	gateway    *Gateway
	w          http.ResponseWriter
	r          *http.Request
	id         string
	began      time.Time
	service    *cvservice.Service
	dispatcher *cvdispatcher.Dispatcher
	call       *cvcall.Call
}

// ServeHTTP answers one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	g.Metrics.AddInFlight(1)
	defer g.Metrics.AddInFlight(-1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodPost && r.URL.Path == keysPath {
		g.serveKeys(w, r)
		return
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.Tracer.Start(ctx, "accept", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	e := &exchange{gateway: g, w: w, r: r, id: newRequestID(), began: time.Now()}
	span.SetAttributes(attribute.String("requestId", e.id))
	w.Header().Set(cvheader.RequestID, e.id)
	if refusal := e.serve(ctx); refusal != nil {
		span.SetAttributes(attribute.String("cause", string(refusal.Cause())))
		e.refuse(refusal)
	}
}

// DisableKeepAlives makes callers close their connections after the next answer.
func (g *Gateway) DisableKeepAlives() { g.stopping.Store(true) }

// InFlight is the number of calls in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

func newRequestID() string {
	var id [requestIDBytes]byte
	// The reader of crypto/rand never fails.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// serve answers the call, or returns why it is refused.
func (e *exchange) serve(ctx context.Context) *cvrefusal.Refusal {
	if e.r.Method == http.MethodConnect {
		return cvrefusal.New(comfreyvale.CauseUpgrade, comfreyvale.RanNo, "tunnels are not offered")
	}
	service, dispatcher, cause := e.gateway.FindService(cvhost.Name(e.r.Host), e.r.URL.Path)
	if service == nil {
		return cvrefusal.New(cause, comfreyvale.RanNo, "no service takes host "+cvhost.Name(e.r.Host)+" and this path")
	}
	e.service = service
	e.dispatcher = dispatcher
	class := service.Class(e.r.Method, e.r.URL.Path)
	deadline := e.began.Add(e.timeout(class.Timeout()))
	if !class.Idempotent(e.r.Method) {
		// An order goes on when its caller has gone, so that a resend finds its answer.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	e.call = cvcall.New(e.id, service, class, deadline)
	if refusal := e.read(deadline); refusal != nil {
		return refusal
	}
	if evidence, quarantined := e.gateway.Quarantined(time.Now(), e.call); quarantined {
		return cvrefusal.New(comfreyvale.CauseQuarantined, comfreyvale.RanNo, evidence).WithSetting(service.Setting("quarantineTime"))
	}
	if e.call.Repeatable() {
		return e.run(ctx)
	}
	return e.runOnce(ctx)
}

// timeout is the time for the call: the class's, or the caller's where that is shorter.
func (e *exchange) timeout(longest time.Duration) time.Duration {
	ms, err := strconv.ParseInt(e.r.Header.Get(cvheader.Timeout), 10, 32)
	if err != nil || ms <= 0 {
		return longest
	}
	return min(longest, time.Duration(ms)*time.Millisecond)
}

// read reads the whole request before anything is sent on.
func (e *exchange) read(deadline time.Time) *cvrefusal.Refusal {
	limit := e.service.RequestLimit()
	controller := http.NewResponseController(e.w)
	// Not every connection has read deadlines; without one, the call's own deadline still holds.
	_ = controller.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, limit))
	if err != nil {
		// The rest of the body may never come: the deadline stays, and the connection ends with the refusal.
		e.w.Header().Set("Connection", "close")
	} else {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return cvrefusal.New(comfreyvale.CauseRequestTooLarge, comfreyvale.RanNo, err.Error()).WithSetting(e.service.Setting("requestLimit"))
	}
	if err != nil {
		return cvrefusal.New(comfreyvale.CauseRequestBroken, comfreyvale.RanNo, "the request's body did not arrive whole: "+err.Error())
	}
	header := cvheader.EndToEnd(e.r.Header)
	header["Host"] = []string{e.r.Host}
	e.call.WithRequest(e.r.Method, e.r.URL.RequestURI(), header, body).WithKey(e.r.Header.Get(cvheader.Key))
	return nil
}

// run tries an idempotent call.
func (e *exchange) run(ctx context.Context) *cvrefusal.Refusal {
	reply, refusal := e.gateway.Runner.Run(ctx, e.call, e.dispatcher)
	if refusal != nil {
		return refusal
	}
	e.answer(ctx, reply)
	return nil
}

// runOnce tries a call that may run once: under its key's claim, or once without a key.
func (e *exchange) runOnce(ctx context.Context) *cvrefusal.Refusal {
	if e.call.Key() == "" {
		if e.service.RequireKey() {
			return cvrefusal.New(comfreyvale.CauseKeyRequired, comfreyvale.RanNo, "the call carries no Idempotency-Key").WithSetting(e.service.Setting("requireKey"))
		}
		return e.run(ctx)
	}
	if len(e.call.Key()) > maxKeyBytes {
		return cvrefusal.New(comfreyvale.CauseRequestBroken, comfreyvale.RanNo, fmt.Sprintf("the Idempotency-Key is longer than %d bytes", maxKeyBytes))
	}
	claimCtx, span := e.gateway.Tracer.Start(ctx, "claim")
	claimed := e.gateway.Claims.Claim(claimCtx, e.key())
	span.End()
	if claimed.State() != comfreyvale.ClaimGranted {
		return e.resend(claimed)
	}
	return e.runClaimed(ctx, claimed.Grant())
}

// key makes a key unique by its service, with the digest of the request.
func (e *exchange) key() comfreyvale.Key {
	digest := sha256.New()
	for _, part := range []string{e.call.Method(), e.call.Target(), e.r.Header.Get("Content-Type")} {
		fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	digest.Write(e.call.Body())
	return comfreyvale.NewKey(e.service.Name()+"/"+e.call.Key(), digest.Sum(nil), e.service.ClaimWindow())
}

// resend answers a call whose key was not granted to it.
func (e *exchange) resend(claimed comfreyvale.ClaimResult) *cvrefusal.Refusal {
	switch claimed.State() {
	case comfreyvale.ClaimAnswered:
		e.replay(claimed.Answer())
		return nil
	case comfreyvale.ClaimInProgress:
		return cvrefusal.New(comfreyvale.CauseInProgress, comfreyvale.RanUnknown, claimed.Condition())
	case comfreyvale.ClaimReused:
		return cvrefusal.New(comfreyvale.CauseKeyReused, comfreyvale.RanNo, claimed.Condition())
	case comfreyvale.ClaimRefused:
		return cvrefusal.New(comfreyvale.CauseClaimUnavailable, comfreyvale.RanNo, claimed.Condition())
	case comfreyvale.ClaimUnknown:
		return cvrefusal.New(comfreyvale.CauseClaimHolderGone, comfreyvale.RanUnknown, claimed.Condition())
	}
	return cvrefusal.New(comfreyvale.CauseClaimUnavailable, comfreyvale.RanUnknown, claimed.Condition())
}

// runClaimed dispatches a call that holds its key's grant, and settles the grant whatever happens.
func (e *exchange) runClaimed(ctx context.Context, grant string) *cvrefusal.Refusal {
	reply, refusal := e.gateway.Runner.Run(ctx, e.call, e.dispatcher)
	if refusal != nil && refusal.Ran() == comfreyvale.RanNo {
		e.gateway.Claims.Release(grant)
		return refusal
	}
	if refusal != nil {
		e.gateway.Claims.MarkLost(grant)
		return refusal
	}
	if reply.Complete() {
		e.gateway.Claims.Finish(grant, comfreyvale.NewAnswer(reply.Status(), cvheader.EndToEnd(reply.Header()), reply.Buffered()))
	} else {
		e.gateway.Claims.MarkLost(grant)
	}
	e.answer(ctx, reply)
	return nil
}

func (e *exchange) answer(ctx context.Context, reply *cvreply.Reply) {
	if reply.Status() < http.StatusInternalServerError {
		e.gateway.OnUpstreamSuccess(e.call)
	}
	whole := e.write(ctx, reply)
	if !whole {
		e.gateway.Metrics.Broken(e.service.Name(), e.call.Class().Name())
		panic(http.ErrAbortHandler)
	}
	e.gateway.Metrics.Answered(e.service.Name(), e.call.Class().Name(), time.Since(e.began))
}
