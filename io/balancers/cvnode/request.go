package cvnode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvmessage"
	"comfreyvale/core/cvneed"
	"comfreyvale/core/cvroute"
	"comfreyvale/io/callers/cvheader"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// retryShare is the part of the budget of further tries that is used: the rest covers tries that are counted in
	// another window than here.
	retryShare = 0.8
	// assumedBalancers is how many balancers share the budget's slack while no others are known.
	assumedBalancers = 12
	// defaultTime is the time of a request whose caller and route name none.
	defaultTime = 10 * time.Second
	// answerTime is what is left of a request's time for its own answer to be sent.
	answerTime = 5 * time.Millisecond
	// firstReturn and lastReturn bound the time after which a refused caller is asked to come back.
	firstReturn = 30 * time.Millisecond
	lastReturn  = time.Second
	// connectionShare is the part of an upstream's connections that one balancer opens.
	connectionShare = 8
)

// exchange is one request's way through this balancer.
type exchange struct {
	node    *Node
	route   *cvroute.Route
	message *cvmessage.Message
	arrived time.Time
	// deadline is until when the caller waits, or the route allows.
	deadline time.Time
	group    string
	slots    *cvslots.Slots
	tried    []string
	ran      bool
	last     comfreyvale.Answer
	reason   string
}

func (n *Node) balancers() int { return assumedBalancers }

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
	id := request.Header.Get(n.Signs.RequestID)
	t := n.routes.Load()
	if t == nil {
		return n.refuse(nil, id, "no configuration is known yet", lastReturn)
	}
	route, ok := t.Match(request.Host, path(request.RequestURI))
	if !ok {
		n.Logger.WithFields(log.Fields{"request": id, "version": t.Version(), "host": request.Host}).Info("no route")
		return comfreyvale.NewAnswer(http.StatusNotFound, http.Header{n.Signs.RequestID: {id}}, nil)
	}
	e := &exchange{
		node: n, route: route, arrived: arrived, deadline: arrived.Add(n.timeFor(request, route)),
		message: cvmessage.New(id, request.Method, request.RequestURI, request.Host, cvheader.EndToEnd(request.Header), body),
		group:   n.turn(route),
	}
	e.slots = n.slots(e.group)
	e.slots.Begin(time.Now())
	answer := e.run(ctx)
	e.log(t.Version(), answer)
	return answer
}

// timeFor is the shorter of the caller's time and the route's.
func (n *Node) timeFor(request *http.Request, route *cvroute.Route) time.Duration {
	limit := defaultTime
	if route.Timeout() > 0 {
		limit = route.Timeout()
	}
	ms, err := strconv.ParseFloat(request.Header.Get(n.Signs.Deadline), 64)
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

// run tries upstreams until there is an answer, or none can be had.
func (e *exchange) run(ctx context.Context) comfreyvale.Answer {
	ctx, cancel := context.WithDeadline(ctx, e.deadline.Add(-answerTime))
	defer cancel()
	for {
		need := cvneed.New(e.arrived.Add(e.route.Target()), e.deadline, e.route.Priority(), e.route.Large()).WithAvoid(e.tried)
		waiter, err := e.slots.Acquire(ctx, need)
		if err != nil {
			return e.noSlot(ctx, err)
		}
		began := time.Now()
		id := waiter.Instance().ID()
		answer, err := e.node.pool.Exchange(ctx, waiter.Instance(), e.connections(), e.message, e.deadline, !e.route.Idempotent())
		verdict := e.judge(ctx, answer, err)
		e.slots.Release(waiter, verdict.result())
		e.report(id, verdict, answer)
		e.tried = append(e.tried, id)
		if verdict == answered {
			return answer
		}
		e.note(id, verdict, time.Since(began), answer, err)
		if final, ok := e.again(verdict); !ok {
			return final
		}
	}
}

func (e *exchange) connections() int {
	t := e.node.routes.Load()
	if g, ok := t.Group(e.group); ok && g.Connections() > 0 {
		return max(g.Connections()/connectionShare, 1)
	}
	return connectionShare
}

// report hands the load that came with an answer to the decisions.
func (e *exchange) report(id string, v verdict, answer comfreyvale.Answer) {
	ended := 1
	if v == refused {
		ended = 0
	}
	if text := answer.Header().Get(e.node.Signs.Load); text != "" {
		if load, ok := e.node.Signs.ParseLoad(text); ok {
			e.slots.Report(time.Now(), id, load, ended)
		}
	}
}

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
	// expired is a try that the deadline ended, or the caller.
	expired
)

func (v verdict) result() comfreyvale.Result {
	switch v {
	case answered:
		return comfreyvale.ResultAnswered
	case refused:
		return comfreyvale.ResultRefused
	case expired:
		return comfreyvale.ResultCancelled
	}
	return comfreyvale.ResultFailed
}

// judge says how a try ended.
func (e *exchange) judge(ctx context.Context, answer comfreyvale.Answer, err error) verdict {
	if err != nil {
		switch {
		case ctx.Err() != nil && cvfault.KindOf(err) == comfreyvale.KindTimeout:
			e.ran = true
			return expired
		case cvfault.KindOf(err) == comfreyvale.KindUnavailable, cvfault.KindOf(err) == comfreyvale.KindExhausted:
			return unsent
		}
		e.ran = true
		return broken
	}
	if answer.Header().Get(e.node.Signs.NotRun) != "" || answer.Status() == http.StatusMisdirectedRequest {
		return refused
	}
	e.ran = true
	if answer.Status() >= http.StatusInternalServerError {
		e.last = answer
		return failed
	}
	return answered
}

// again says whether another upstream may be tried, and gives the final answer if not.
func (e *exchange) again(v verdict) (comfreyvale.Answer, bool) {
	if v == expired || (e.ran && !e.route.Idempotent()) {
		return e.final(), false
	}
	if len(e.tried) >= e.route.Attempts() && e.ran {
		return e.final(), false
	}
	if v != unsent && !e.slots.AllowFurther(time.Now()) {
		e.reason = "the budget of further tries is spent"
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
		return e.node.refuse(e, e.message.ID(), e.reason, e.slots.Wait())
	case !time.Now().Before(e.deadline.Add(-answerTime)):
		return e.own(http.StatusGatewayTimeout)
	}
	return e.own(http.StatusBadGateway)
}

func (e *exchange) own(status int) comfreyvale.Answer {
	return comfreyvale.NewAnswer(status, http.Header{e.node.Signs.RequestID: {e.message.ID()}}, nil)
}

// noSlot ends a request for which there is no slot.
func (e *exchange) noSlot(ctx context.Context, err error) comfreyvale.Answer {
	e.reason = err.Error()
	return e.final()
}

// refuse tells a caller that its request was not run and when to come back.
func (n *Node) refuse(_ *exchange, id, reason string, after time.Duration) comfreyvale.Answer {
	after = min(max(after, firstReturn), lastReturn)
	// Half of the time is drawn by chance, so that callers who were refused together do not come back together.
	after = after/2 + rand.N(after)
	header := http.Header{
		n.Signs.RequestID: {id},
		"Retry-After":     {strconv.FormatFloat(after.Seconds(), 'f', 3, 64)},
	}
	n.Logger.WithFields(log.Fields{"request": id, "reason": reason, "returnMs": after.Milliseconds()}).Info("refused")
	return comfreyvale.NewAnswer(http.StatusServiceUnavailable, header, nil)
}

// note logs a try that brought no answer.
func (e *exchange) note(id string, v verdict, took time.Duration, answer comfreyvale.Answer, err error) {
	entry := e.node.Logger.WithFields(log.Fields{
		"request": e.message.ID(), "route": e.route.Name(), "upstream": id, "try": len(e.tried),
		"outcome": v.String(), "tookMs": took.Milliseconds(), "status": answer.Status(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("try failed")
}

// String names the verdict.
func (v verdict) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "broken", "expired"}[v]
}

// log writes the line of a request's end.
func (e *exchange) log(version int64, answer comfreyvale.Answer) {
	upstream := ""
	if len(e.tried) > 0 {
		upstream = e.tried[len(e.tried)-1]
	}
	e.node.Logger.WithFields(log.Fields{
		"request": e.message.ID(), "route": e.route.Name(), "group": e.group, "version": version, "upstream": upstream,
		"tries": len(e.tried), "status": answer.Status(), "tookMs": time.Since(e.arrived).Milliseconds(),
		"load": answer.Header().Get(e.node.Signs.Load),
	}).Info("request")
}
