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
	"comfreyvale/io/callers/cvcaller"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// retryShare is the part of the budget of further tries that is used: the rest covers requests that are counted in
	// another window where they are judged, as callers send them a little before they arrive.
	retryShare = 0.9
	// defaultTime is the time of a request whose caller and route name none.
	defaultTime = 10 * time.Second
	// answerTime is what is left of a request's time for its own answer to be sent.
	answerTime = 5 * time.Millisecond
	// firstReturn and lastReturn bound the time after which a refused caller is asked to come back.
	firstReturn = 30 * time.Millisecond
	lastReturn  = time.Second
	// leastSharers is among how many balancers an upstream's connections are shared out at least, so that some are left
	// for balancers that are not heard.
	leastSharers = 8
)

// exchange is one request's way through this balancer.
type exchange struct {
	node    *Node
	route   *cvroute.Route
	message *cvrequest.Request
	arrived time.Time
	// deadline is until when the caller waits, or the route allows.
	deadline time.Time
	// target is until when the answer is on time, counted from the caller's first try.
	target time.Time
	group  string
	slots  *cvslots.Slots
	tried  []string
	ran    bool
	last   comfreyvale.Answer
	// lastTry is the try that ended last, nil before one did.
	lastTry *try
	// cause and reason say why no further upstream is tried.
	cause  comfreyvale.Cause
	reason string
}

func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// repeatable says whether a request may run beside earlier ones of its connection.
func (n *Node) repeatable(request *http.Request) bool {
	t := n.routes.Load()
	if t == nil {
		return true
	}
	route, ok := t.Match(request.Host, path(request.RequestURI))
	return !ok || route.Idempotent()
}

// handle answers one request.
func (n *Node) handle(ctx context.Context, request *http.Request, body []byte, arrived time.Time) comfreyvale.Answer {
	id := request.Header.Get(n.HeaderNames.RequestID)
	t := n.routes.Load()
	if t == nil {
		return n.refuse(comfreyvale.CauseNoConfiguration, id, "no configuration is known yet", lastReturn)
	}
	route, ok := t.Match(request.Host, path(request.RequestURI))
	if !ok {
		n.Logger.WithFields(log.Fields{"request": id, "version": t.Version(), "host": request.Host}).Info("no route")
		return comfreyvale.NewAnswer(http.StatusNotFound, http.Header{n.HeaderNames.RequestID: {id}}, nil)
	}
	e := &exchange{
		node: n, route: route, arrived: arrived, deadline: arrived.Add(n.timeFor(request, route)),
		message: cvrequest.New(id, request.Method, request.RequestURI, request.Host, cvheader.EndToEnd(request.Header), body),
		group:   n.turn(route),
	}
	if evidence, quarantined := n.quarantined(time.Now(), e.message); quarantined {
		return n.refuse(comfreyvale.CauseQuarantined, id, evidence, lastReturn)
	}
	e.slots = n.slots(e.group)
	spent := e.slots.Spent(arrived, route.Name(), e.deadline.Sub(arrived))
	e.target = arrived.Add(route.TargetLatency() - spent)
	e.slots.Begin(time.Now())
	ctx, span := n.accept(ctx, request, id)
	answer := e.run(ctx)
	span.SetAttributes(attribute.Int("status", answer.Status()), attribute.String("route", route.Name()))
	span.End()
	n.counters.Answered(e.group, answer.Status(), time.Since(arrived))
	e.log(t.Version(), answer)
	return answer
}

// accept starts the span of a request, below the caller's if it sent one.
func (n *Node) accept(ctx context.Context, request *http.Request, id string) (context.Context, trace.Span) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(request.Header))
	return n.Tracer.Start(ctx, "accept", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("requestId", id)))
}

// timeFor is the shorter of the caller's time and the route's.
func (n *Node) timeFor(request *http.Request, route *cvroute.Route) time.Duration {
	limit := defaultTime
	if route.Timeout() > 0 {
		limit = route.Timeout()
	}
	ms, err := strconv.ParseFloat(request.Header.Get(n.HeaderNames.Deadline), 64)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms*float64(time.Millisecond)))
}

// turn chooses the group of a route's next request, so that each gets its weight's share: the one that is furthest behind.
func (n *Node) turn(route *cvroute.Route) string {
	splits := route.Splits()
	if len(splits) == 1 {
		return splits[0].Group()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	credits := n.turns[route.Name()]
	if credits == nil {
		credits = make(map[string]float64)
		n.turns[route.Name()] = credits
	}
	total, best := 0.0, ""
	for _, s := range splits {
		credits[s.Group()] += s.Weight()
		total += s.Weight()
		if best == "" || credits[s.Group()] > credits[best] {
			best = s.Group()
		}
	}
	credits[best] -= total
	return best
}

// again says whether another upstream may be tried, and gives the final answer if not.
func (e *exchange) again(v verdict) (comfreyvale.Answer, bool) {
	if v == expired || v == left || (e.ran && !e.route.Idempotent()) {
		return e.final(), false
	}
	e.cause, e.reason = comfreyvale.CauseUpstreamRefused, "the upstreams that were tried did not run it"
	if len(e.tried) >= maxTries || (len(e.tried) >= e.route.MaxAttempts() && e.ran) {
		return e.final(), false
	}
	if v != unsent && !e.slots.AllowFurther(time.Now()) {
		e.cause, e.reason = comfreyvale.CauseRetryBudget, "the budget of further tries is spent"
		return e.final(), false
	}
	return comfreyvale.Answer{}, true
}

// final is the answer of a request that is given up: the upstream's own failure, or what is known of whether it ran.
func (e *exchange) final() comfreyvale.Answer {
	switch {
	case e.last.Status() != 0:
		return e.last
	case !e.ran:
		return e.node.refuse(e.cause, e.message.ID(), e.reason, e.slots.Wait())
	case !time.Now().Before(e.deadline.Add(-answerTime)):
		return e.own(http.StatusGatewayTimeout)
	}
	return e.own(http.StatusBadGateway)
}

func (e *exchange) own(status int) comfreyvale.Answer {
	return comfreyvale.NewAnswer(status, http.Header{e.node.HeaderNames.RequestID: {e.message.ID()}}, nil)
}

// over ends a request whose time is up, or whose caller has left, before an upstream got it.
func (e *exchange) over(ctx context.Context) comfreyvale.Answer {
	e.cause, e.reason = comfreyvale.CauseDeadline, "its time was up before it could be sent"
	if errors.Is(context.Cause(ctx), cvcaller.ErrCallerGone) {
		e.cause, e.reason = comfreyvale.CauseCallerGone, "its caller left before it could be sent"
	}
	return e.final()
}

// noSlot ends a request for which there is no slot.
func (e *exchange) noSlot(err error) comfreyvale.Answer {
	e.reason, e.cause = err.Error(), slotCause(err)
	return e.final()
}

// slotCause names why there was no slot.
func slotCause(err error) comfreyvale.Cause {
	switch cvfault.KindOf(err) {
	case comfreyvale.KindNotFound:
		return comfreyvale.CauseNoUpstream
	case comfreyvale.KindTimeout:
		return comfreyvale.CauseDeadline
	}
	return comfreyvale.CauseUpstreamsFull
}

// refuse tells a caller that its request was not run and when to come back.
func (n *Node) refuse(cause comfreyvale.Cause, id, reason string, after time.Duration) comfreyvale.Answer {
	after = min(max(after, firstReturn), lastReturn)
	// Half of the time is drawn by chance, so that callers who were refused together do not come back together.
	after = after/2 + rand.N(after)
	header := http.Header{
		n.HeaderNames.RequestID: {id},
		"Retry-After":           {strconv.FormatFloat(after.Seconds(), 'f', 3, 64)},
	}
	n.counters.Refused(string(cause))
	n.Logger.WithFields(log.Fields{"request": id, "cause": cause, "reason": reason, "returnMs": after.Milliseconds()}).Info("refused")
	return comfreyvale.NewAnswer(http.StatusServiceUnavailable, header, nil)
}

// log writes the line of a request's end.
func (e *exchange) log(version int64, answer comfreyvale.Answer) {
	fields := log.Fields{
		"request": e.message.ID(), "route": e.route.Name(), "group": e.group, "version": version,
		"tries": len(e.tried), "status": answer.Status(), "tookMs": time.Since(e.arrived).Milliseconds(),
		"leftMs": time.Until(e.deadline).Milliseconds(), "load": answer.Header().Get(e.node.HeaderNames.Load),
	}
	if e.lastTry != nil {
		maps.Copy(fields, e.lastTry.evidence)
		fields["upstream"] = e.lastTry.upstream()
	}
	e.node.Logger.WithFields(fields).Info("request")
}
