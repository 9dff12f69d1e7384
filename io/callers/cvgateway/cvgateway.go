// Package cvgateway implements the HTTP handler that answers callers.
package cvgateway

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"comfreyvale"
	"comfreyvale/core/cvcall"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvhost"
	"comfreyvale/core/cvmemory"
	"comfreyvale/core/cvrefusal"
	"comfreyvale/core/cvservice"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/balancers/cvstopping"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/callers/cvreply"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/upstreams/cvdispatcher"
	"comfreyvale/io/upstreams/cvrunner"
)

const (
	// requestIDBytes is the number of random bytes in a request ID, before hex encoding.
	requestIDBytes = 12
	maxKeyBytes    = 255
	// unknownService stands for an unknown service or class in metrics and decisions.
	unknownService = "none"
)

// Gateway is an HTTP handler that dispatches the calls of callers to upstreams. It is safe for concurrent use.
type Gateway struct {
	// FindService returns the service for a host and path, and its dispatcher, or nil and the cause if there is none.
	FindService func(host, path string) (*cvservice.Service, *cvdispatcher.Dispatcher, comfreyvale.Cause)
	// Quarantined reports whether a call is quarantined, with the evidence.
	Quarantined func(now time.Time, call *cvcall.Call) (evidence string, quarantined bool)
	// OnUpstreamSuccess is called for each call to which an upstream responded with a status below 500.
	OnUpstreamSuccess func(call *cvcall.Call)
	// NewKeys returns new idempotency keys that only this balancer grants.
	NewKeys func(count int) []string
	Runner  *cvrunner.Runner
	// Shutdown tells which calls are still sent and when all end. It may be nil.
	Shutdown *cvstopping.Stopping
	// Requests holds the bodies of requests. A request for which it has no room is refused.
	Requests *cvbodies.Memory
	// Claims grants idempotency keys.
	Claims comfreyvale.Claims
	// Recorder stores the decisions to refuse a call.
	Recorder comfreyvale.Recorder
	Metrics  *cvmetrics.Metrics
	Tracer   trace.Tracer

	inFlight atomic.Int64
	stopping atomic.Bool
}

type exchange struct {
	gateway    *Gateway
	writer     http.ResponseWriter
	request    *http.Request
	id         string
	arrived    time.Time
	service    *cvservice.Service
	dispatcher *cvdispatcher.Dispatcher
	call       *cvcall.Call
	// memory holds the request's body.
	memory *cvbodies.Holder
}

// ServeHTTP answers one request. It panics with http.ErrAbortHandler to abort the connection if an upstream's response
// cannot be sent completely.
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
	e := &exchange{gateway: g, writer: w, request: r, id: newRequestID(), arrived: time.Now()}
	e.memory = g.Requests.Holder(e.caller())
	defer e.memory.Close()
	span.SetAttributes(attribute.String("requestId", e.id))
	w.Header().Set(cvheader.RequestID, e.id)
	if refusal := e.serve(ctx); refusal != nil {
		span.SetAttributes(attribute.String("cause", string(refusal.Cause())))
		e.refuse(refusal)
	}
}

// DisableKeepAlives makes each connection close after its next response.
func (g *Gateway) DisableKeepAlives() { g.stopping.Store(true) }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

func newRequestID() string {
	var id [requestIDBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// serve returns a refusal if it has not answered the request.
func (e *exchange) serve(ctx context.Context) *cvrefusal.Refusal {
	if e.request.Method == http.MethodConnect {
		return cvrefusal.New(comfreyvale.CauseUpgrade, comfreyvale.RanNo, "tunnels are not offered")
	}
	service, dispatcher, cause := e.gateway.FindService(cvhost.Name(e.request.Host), e.request.URL.Path)
	if service == nil {
		return cvrefusal.New(cause, comfreyvale.RanNo, "no service takes host "+cvhost.Name(e.request.Host)+" and this path")
	}
	e.service = service
	e.dispatcher = dispatcher
	class := service.Class(e.request.Method, e.request.URL.Path)
	deadline := e.arrived.Add(e.timeout(class.Timeout()))
	if !class.Idempotent(e.request.Method) {
		// A call that is not idempotent continues after its caller disconnects, so that a resend gets the response.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ctx, detach := e.gateway.Shutdown.RequestContext(ctx)
	defer detach()
	e.call = cvcall.New(e.id, service, class, deadline)
	if refusal := e.readRequest(deadline); refusal != nil {
		return refusal
	}
	if evidence, quarantined := e.gateway.Quarantined(time.Now(), e.call); quarantined {
		return cvrefusal.New(comfreyvale.CauseQuarantined, comfreyvale.RanNo, evidence).WithSetting(service.Setting("quarantineTime"))
	}
	if !e.gateway.Shutdown.MaySend(time.Now(), deadline) {
		return cvrefusal.New(comfreyvale.CauseShutdown, comfreyvale.RanNo, cvstopping.ErrLate.Error())
	}
	if e.call.Repeatable() {
		return e.run(ctx)
	}
	return e.runOnce(ctx)
}

// timeout returns the timeout that the caller sent, but at most limit, or limit if the caller sent no valid one.
func (e *exchange) timeout(limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(e.request.Header.Get(cvheader.Timeout), 10, 32)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

// readRequest stores the complete request in the call. Nothing is sent to an upstream before the request is complete.
func (e *exchange) readRequest(deadline time.Time) *cvrefusal.Refusal {
	limit := e.service.RequestLimit()
	controller := http.NewResponseController(e.writer)
	// Not every connection supports read deadlines; the call's deadline still applies.
	_ = controller.SetReadDeadline(deadline)
	body, err := e.readBody(controller, limit)
	if err != nil {
		// The rest of the body may never arrive: the deadline stays, and the connection is closed after the refusal.
		e.writer.Header().Set("Connection", "close")
	} else {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || cvfault.KindOf(err) == comfreyvale.KindLimited {
		return cvrefusal.New(comfreyvale.CauseRequestTooLarge, comfreyvale.RanNo, err.Error()).WithSetting(e.service.Setting("requestLimit"))
	}
	if cvfault.KindOf(err) == comfreyvale.KindExhausted {
		return cvrefusal.New(comfreyvale.CauseMemoryFull, comfreyvale.RanNo, err.Error())
	}
	if err != nil {
		return cvrefusal.New(comfreyvale.CauseRequestBroken, comfreyvale.RanNo, "the request's body did not arrive whole: "+err.Error())
	}
	header := cvheader.EndToEnd(e.request.Header)
	header["Host"] = []string{e.request.Host}
	e.call.WithRequest(e.request.Method, e.request.URL.RequestURI(), header, body).WithKey(e.request.Header.Get(cvheader.Key))
	return nil
}

// readBody reads the complete body into the memory for requests.
func (e *exchange) readBody(controller *http.ResponseController, limit int64) ([]byte, error) {
	source := http.MaxBytesReader(e.writer, e.request.Body, limit)
	// If the connection supports no deadlines, an evicted body is noticed when more of it arrives.
	abort := func() { _ = controller.SetReadDeadline(time.Now()) }
	// One byte more than the limit lets the source report that the body is too long.
	parts, err := e.memory.Receive(source, cvmemory.KindRequest, e.caller(), e.request.ContentLength, limit+1, abort)
	if err != nil {
		return nil, err
	}
	if len(parts) == 1 {
		return parts[0], nil
	}
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	if err := e.memory.Reserve(cvmemory.KindRequest, e.caller(), int64(size)); err != nil {
		return nil, err
	}
	return bytes.Join(parts, nil), nil
}

// caller returns the host of the caller's address.
func (e *exchange) caller() string {
	host, _, err := net.SplitHostPort(e.request.RemoteAddr)
	if err != nil {
		return e.request.RemoteAddr
	}
	return host
}

// run sends a call to an upstream without a claim.
func (e *exchange) run(ctx context.Context) *cvrefusal.Refusal {
	reply, refusal := e.gateway.Runner.Run(ctx, e.call, e.dispatcher)
	if refusal != nil {
		return refusal
	}
	e.respond(ctx, reply)
	return nil
}

// runOnce runs a call that must not run more than once, under a claim of its key if it has one.
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
	result := e.gateway.Claims.Claim(claimCtx, e.claimKey())
	span.End()
	if result.State() != comfreyvale.ClaimGranted {
		return e.answerResend(result)
	}
	return e.runClaimed(ctx, result.Grant())
}

// claimKey combines the name of the service and the caller's idempotency key, with a digest of the request.
func (e *exchange) claimKey() comfreyvale.Key {
	digest := sha256.New()
	for _, part := range []string{e.call.Method(), e.call.Target(), e.request.Header.Get("Content-Type")} {
		fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	digest.Write(e.call.Body())
	return comfreyvale.NewKey(e.service.Name()+"/"+e.call.Key(), digest.Sum(nil), e.service.ClaimWindow())
}

// answerResend answers a call whose key was not granted, usually a resend, with the stored response to the earlier call
// or a refusal.
func (e *exchange) answerResend(result comfreyvale.ClaimResult) *cvrefusal.Refusal {
	switch result.State() {
	case comfreyvale.ClaimAnswered:
		e.replayResponse(result.Answer())
		return nil
	case comfreyvale.ClaimInProgress:
		return cvrefusal.New(comfreyvale.CauseInProgress, comfreyvale.RanUnknown, result.Condition())
	case comfreyvale.ClaimReused:
		return cvrefusal.New(comfreyvale.CauseKeyReused, comfreyvale.RanNo, result.Condition())
	case comfreyvale.ClaimRefused:
		return cvrefusal.New(comfreyvale.CauseClaimUnavailable, comfreyvale.RanNo, result.Condition())
	case comfreyvale.ClaimUnknown:
		return cvrefusal.New(comfreyvale.CauseClaimHolderGone, comfreyvale.RanUnknown, result.Condition())
	}
	return cvrefusal.New(comfreyvale.CauseClaimUnavailable, comfreyvale.RanUnknown, result.Condition())
}

// runClaimed runs a call whose key was granted, and ends the grant: it releases the key if the call did not run, stores
// a complete response, or otherwise marks the key as lost.
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
	e.respond(ctx, reply)
	return nil
}

// respond sends an upstream's response to the caller, and aborts the connection if it cannot send all of it.
func (e *exchange) respond(ctx context.Context, reply *cvreply.Reply) {
	if reply.Status() < http.StatusInternalServerError {
		e.gateway.OnUpstreamSuccess(e.call)
	}
	complete := e.writeResponse(ctx, reply)
	if !complete {
		e.gateway.Metrics.Broken(e.service.Name(), e.call.Class().Name())
		panic(http.ErrAbortHandler)
	}
	e.gateway.Metrics.Answered(e.service.Name(), e.call.Class().Name(), time.Since(e.arrived))
}
