package cvnode

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvrequest"
	"comfreyvale/core/cvroute"
	"comfreyvale/core/cvworkspace"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/balancers/cvstopping"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/callers/cvhttpserver"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// retryBudgetShare is the used part of the retry budget. The rest is a margin: callers send a request slightly
	// before it arrives, so it may count in another window where the budget is checked.
	retryBudgetShare = 0.9
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 10 * time.Second
	// responseMargin is the part of a request's time that is reserved for sending the balancer's response.
	responseMargin = 5 * time.Millisecond
	// The bounds, before jitter, of the delay after which a refused caller is asked to retry.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = time.Second
	// minSharers is the minimum number of balancers among which an upstream's connections are divided, to leave some
	// for balancers whose messages don't arrive here.
	minSharers = 8
)

// errMayNotSend means that the exchange may not send its request any more; its cause and reason say why.
var errMayNotSend = fail("send", comfreyvale.KindConflict, errors.New("the request may not be sent any more"))

// exchange is one request on its way through this balancer.
type exchange struct {
	node  *Node
	route *cvroute.Route
	// workspace is the workspace that the request belongs to, or nil.
	workspace *cvworkspace.Workspace
	// apiKey is the caller's API key, if any. It must not leave this process.
	apiKey  string
	message *cvrequest.Request
	// memory holds the request and its answers.
	memory  *cvbodies.Holder
	arrived time.Time
	// deadline is when the caller stops waiting or the route's timeout ends, whichever is first.
	deadline time.Time
	// target is when the route's target latency ends, counted from the caller's first attempt.
	target time.Time
	group  string
	slots  *cvslots.Slots
	// tried holds the upstream ids of all attempts.
	tried      []string
	mayHaveRun bool
	// lastFailure is the last error response of an upstream.
	lastFailure comfreyvale.Answer
	hedging     hedging
	// lastAttempt is the attempt that ended last, if any.
	lastAttempt *attempt
	// cause and reason explain why no further upstream is tried.
	cause  comfreyvale.Cause
	reason string
}

func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// repeatable reports whether a request may run concurrently with earlier requests of the same connection.
func (n *Node) repeatable(request *http.Request) bool {
	t := n.routes.Load()
	if t == nil {
		return true
	}
	route, ok := t.Match(request.Host, path(request.RequestURI))
	return !ok || route.Idempotent()
}

func (n *Node) handle(ctx context.Context, request *http.Request, body [][]byte, memory *cvbodies.Holder, arrived time.Time) comfreyvale.Answer {
	id := request.Header.Get(n.HeaderNames.RequestID)
	// The lease is checked before the configuration is loaded, which may be followed by another one in between.
	confirmed := n.configurationConfirmed()
	t := n.routes.Load()
	if t == nil {
		return n.refuse(comfreyvale.CauseNoConfiguration, id, "no configuration is known yet", maxRetryAfter)
	}
	route, ok := t.Match(request.Host, path(request.RequestURI))
	if !ok {
		n.Logger.WithFields(log.Fields{"request": id, "version": t.Version(), "host": request.Host}).Info("no route matches the request")
		return comfreyvale.NewAnswer(http.StatusNotFound, http.Header{n.HeaderNames.RequestID: {id}}, nil)
	}
	workspace, refusal, ok := n.identify(t, confirmed, route, request)
	if !ok {
		n.traceRefusal(ctx, request, id, route, refusal.Status())
		return refusal
	}
	deadline := arrived.Add(n.timeoutFor(request, route))
	if !n.shutdown.MaySend(time.Now(), deadline) {
		refusal := n.refuse(comfreyvale.CauseShutdown, id, cvstopping.ErrLate.Error(), minRetryAfter)
		n.traceRefusal(ctx, request, id, route, refusal.Status())
		return refusal
	}
	header := n.identifiedHeader(t, workspace, cvheader.EndToEnd(request.Header))
	message := cvrequest.New(id, request.Method, request.RequestURI, request.Host, header, body...).
		WithDeadline(deadline).WithNonIdempotent(!route.Idempotent())
	if refusal, ok = n.takeQuota(time.Now(), workspace, id); !ok {
		return refusal
	}
	e := &exchange{node: n, route: route, workspace: workspace, apiKey: request.Header.Get(n.HeaderNames.APIKey), message: message, memory: memory, arrived: arrived, deadline: deadline, group: n.nextGroup(route)}
	response := e.serve(ctx, request, t.Version())
	if !e.mayHaveRun && !e.ran(response) {
		n.returnQuota(time.Now(), workspace)
	}
	return response
}

// ran reports whether a response shows that an upstream has run the request.
func (e *exchange) ran(response comfreyvale.Answer) bool {
	return e.lastAttempt != nil && e.lastAttempt.outcome == answered && response.Status() == e.lastAttempt.response.Status()
}

// serve sends an identified and admitted request to an upstream.
func (e *exchange) serve(ctx context.Context, request *http.Request, version int64) comfreyvale.Answer {
	n, id, route, arrived := e.node, e.message.ID(), e.route, e.arrived
	if evidence, quarantined := n.quarantined(time.Now(), e.message); quarantined {
		return n.refuse(comfreyvale.CauseQuarantined, id, evidence, maxRetryAfter)
	}
	e.slots = n.slots(e.group)
	elapsed := e.slots.ObserveTimeout(arrived, route.Name(), e.deadline.Sub(arrived))
	e.target = arrived.Add(route.TargetLatency() - elapsed)
	e.slots.RecordRequest(time.Now())
	e.enableHedging(time.Now())
	n.recordDemand(time.Now())
	ctx, span := n.startSpan(ctx, request, id)
	response := e.run(ctx)
	span.SetAttributes(attribute.Int("status", response.Status()), attribute.String("route", route.Name()))
	span.SetAttributes(e.identityAttributes()...)
	span.End()
	n.metrics.Answered(e.group, response.Status(), time.Since(arrived))
	e.logRequest(version, response)
	return response
}

// startSpan starts the span of a request, as a child of the caller's span if there is one.
func (n *Node) startSpan(ctx context.Context, request *http.Request, id string) (context.Context, trace.Span) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(request.Header))
	return n.Tracer.Start(ctx, "accept", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("requestId", id)))
}

// timeoutFor returns the shorter of the caller's and the route's timeout.
func (n *Node) timeoutFor(request *http.Request, route *cvroute.Route) time.Duration {
	limit := defaultTimeout
	if route.Timeout() > 0 {
		limit = route.Timeout()
	}
	ms, err := strconv.ParseFloat(request.Header.Get(n.HeaderNames.Deadline), 64)
	// The comparison in milliseconds also rules out numbers that a duration cannot hold.
	if err != nil || !(ms > 0 && ms < float64(limit/time.Millisecond)) {
		return limit
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// nextGroup returns the group for the route's next request by smooth weighted round-robin: the group that is furthest
// behind its share.
func (n *Node) nextGroup(route *cvroute.Route) string {
	splits := route.Splits()
	if len(splits) == 1 {
		return splits[0].Group()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	credits := n.splitCredits[route.Name()]
	if credits == nil {
		credits = make(map[string]float64)
		n.splitCredits[route.Name()] = credits
	}
	total, next := 0.0, ""
	for _, s := range splits {
		credits[s.Group()] += s.Weight()
		total += s.Weight()
		if next == "" || credits[s.Group()] > credits[next] {
			next = s.Group()
		}
	}
	credits[next] -= total
	return next
}

// shouldRetry reports whether another upstream may be tried. If not, it returns the final response.
func (e *exchange) shouldRetry(o outcome) (comfreyvale.Answer, bool) {
	if o == expired || o == callerLeft || (e.mayHaveRun && !e.route.Idempotent()) {
		return e.finalResponse(), false
	}
	e.cause, e.reason = comfreyvale.CauseUpstreamRefused, "the upstreams that were tried did not run it"
	if len(e.tried) >= maxAttempts || (len(e.tried) >= e.route.MaxAttempts() && e.mayHaveRun) {
		return e.finalResponse(), false
	}
	if o != unsent && !e.slots.AllowExtraAttempt(time.Now()) {
		e.cause, e.reason = comfreyvale.CauseRetryBudget, "the budget of further tries is spent"
		return e.finalResponse(), false
	}
	return comfreyvale.Answer{}, true
}

// finalResponse returns an upstream's error response if there is one, otherwise a response that depends on whether the
// request may have run.
func (e *exchange) finalResponse() comfreyvale.Answer {
	switch {
	case e.lastFailure.Status() != 0:
		return e.lastFailure
	case !e.mayHaveRun:
		return e.refuseUnsent()
	case !time.Now().Before(e.deadline.Add(-responseMargin)):
		return e.localResponse(http.StatusGatewayTimeout)
	}
	return e.localResponse(http.StatusBadGateway)
}

func (e *exchange) localResponse(status int) comfreyvale.Answer {
	return comfreyvale.NewAnswer(status, http.Header{e.node.HeaderNames.RequestID: {e.message.ID()}}, nil)
}

// finishCancelled ends a request whose time is up or whose caller left.
func (e *exchange) finishCancelled(ctx context.Context) comfreyvale.Answer {
	e.cause, e.reason = comfreyvale.CauseDeadline, "its time was up before it could be sent"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, cvhttpserver.ErrCallerDisconnected):
		e.cause, e.reason = comfreyvale.CauseCallerGone, "its caller left before it could be sent"
	case errors.Is(cause, cvstopping.ErrEnd):
		e.cause, e.reason = comfreyvale.CauseShutdown, cause.Error()
	}
	return e.finalResponse()
}

func (e *exchange) finishWithoutSlot(err error) comfreyvale.Answer {
	switch {
	case errors.Is(err, cvstopping.ErrLate), errors.Is(err, cvstopping.ErrEnd):
		e.cause, e.reason = comfreyvale.CauseShutdown, err.Error()
	case !errors.Is(err, errMayNotSend):
		e.reason, e.cause = err.Error(), slotCause(err)
	}
	return e.finalResponse()
}

func slotCause(err error) comfreyvale.Cause {
	switch cvfault.KindOf(err) {
	case comfreyvale.KindNotFound:
		return comfreyvale.CauseNoUpstream
	case comfreyvale.KindUnavailable:
		return comfreyvale.CauseEvacuated
	case comfreyvale.KindLimited:
		return comfreyvale.CauseUpstreamLimit
	case comfreyvale.KindTimeout:
		return comfreyvale.CauseDeadline
	}
	return comfreyvale.CauseUpstreamsFull
}

// refuse tells the caller that its request was not run and when to retry.
func (n *Node) refuse(cause comfreyvale.Cause, id, reason string, retryAfter time.Duration) comfreyvale.Answer {
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	// Jitter of half to one and a half times the delay keeps callers that were refused together from retrying together.
	retryAfter = retryAfter/2 + rand.N(retryAfter)
	header := http.Header{
		n.HeaderNames.RequestID: {id},
		"Retry-After":           {strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)},
	}
	n.metrics.Refused(string(cause))
	n.Logger.WithFields(log.Fields{"request": id, "cause": cause, "reason": reason, "returnMs": retryAfter.Milliseconds()}).Info("refused")
	return comfreyvale.NewAnswer(http.StatusServiceUnavailable, header, nil)
}

func (e *exchange) logRequest(version int64, response comfreyvale.Answer) {
	fields := log.Fields{
		"request": e.message.ID(), "route": e.route.Name(), "group": e.group, "version": version,
		"tries": len(e.tried), "status": response.Status(), "tookMs": time.Since(e.arrived).Milliseconds(),
		"leftMs": time.Until(e.deadline).Milliseconds(), "load": response.Header().Get(e.node.HeaderNames.Load),
	}
	if e.workspace != nil {
		fields["workspace"] = e.workspace.Name()
	}
	if e.lastAttempt != nil {
		maps.Copy(fields, e.lastAttempt.selection)
		fields["upstream"] = e.lastAttempt.upstream()
	}
	e.addHedgeFields(fields)
	e.node.Logger.WithFields(fields).Info("request")
}
