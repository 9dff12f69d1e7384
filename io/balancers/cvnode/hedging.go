package cvnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"comfreyvale"
	"comfreyvale/core/cvdurations"
	"comfreyvale/core/cvhedging"
	"comfreyvale/core/cvwaiter"
	"comfreyvale/core/cvwire"
)

// durationsMaxAge is how long the durations of a route are kept without a further attempt: routes are removed, and other
// balancers may name routes that this one does not know.
const durationsMaxAge = 2 * time.Minute

// firstHedgeCheck is the time from the start of an attempt to the first decision about it: that of balancers' messages,
// which may tell that its machine is slow.
const firstHedgeCheck = 20 * time.Millisecond

// routeDurations are the durations of a route's attempts at all balancers of the data centre.
type routeDurations struct {
	cvdurations.Distribution
	// name is empty if this balancer itself has had no attempt.
	name string
}

// hedging is the state of an exchange whose request is hedged within the operators' limit.
type hedging struct {
	// on reports whether the limit applies. Otherwise hedging goes by this balancer's own durations.
	on bool
	// attempt is the attempt in flight that may be hedged, or nil, and upstream where it runs.
	attempt  *cvhedging.Attempt
	upstream string
	// checkAt is when to decide about it, or the zero time for never.
	checkAt time.Time
	// waiter holds the slot of the hedge. The goroutines of the attempts read it.
	waiter atomic.Pointer[cvwaiter.Waiter]
	// result is what the request's log line says: a hedge that was started or won, or why there was none.
	result string
}

// acceptsExtraWork reports whether the configuration is one whose operators accept extra work against slow responses:
// those with workspaces or uploads. The settings say how much.
func (n *Node) acceptsExtraWork() bool {
	t := n.routes.Load()
	return t != nil && (t.Workspaces() != nil || t.LargeRequests())
}

// sharesDurations reports whether the balancers of the data centre tell each other the durations of attempts.
func (n *Node) sharesDurations() bool {
	return n.Settings.HedgingExtraWork() > 0 && n.acceptsExtraWork()
}

func routeHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// durationsOf returns the durations of a route. The caller holds durationsMu.
func (n *Node) durationsOf(route uint32) *routeDurations {
	d := n.durations[route]
	if d == nil {
		d = &routeDurations{}
		n.durations[route] = d
	}
	return d
}

// addDurations adds the durations of this balancer's attempts since its last full-state message to a message.
func (n *Node) addDurations(message *cvwire.News) {
	if !n.sharesDurations() {
		return
	}
	n.durationsMu.Lock()
	defer n.durationsMu.Unlock()
	for route, d := range n.durations {
		if buckets, counts := d.TakeUnreported(); len(buckets) > 0 {
			message.Durations = append(message.Durations, &cvwire.RouteDurations{Route: route, Buckets: buckets, Counts: counts})
		}
	}
}

// receiveDurations adds the durations at another balancer of this data centre.
func (n *Node) receiveDurations(now time.Time, message *cvwire.News) {
	if len(message.GetDurations()) == 0 || message.GetDataCentre() != n.Settings.DataCentre() || !n.sharesDurations() {
		return
	}
	n.durationsMu.Lock()
	defer n.durationsMu.Unlock()
	for _, d := range message.GetDurations() {
		n.durationsOf(d.GetRoute()).Merge(now, d.GetBuckets(), d.GetCounts())
	}
}

// sweepDurations removes the durations of routes without recent attempts, and updates the metrics of the others.
func (n *Node) sweepDurations(now time.Time) {
	if !n.sharesDurations() {
		return
	}
	for group, s := range n.allSlots() {
		n.metrics.SetExtraWorkShare(group, s.ExtraWorkSpent(now))
	}
	n.durationsMu.Lock()
	defer n.durationsMu.Unlock()
	for hash, d := range n.durations {
		age := now.Sub(d.UpdatedAt())
		if d.name != "" {
			n.metrics.SetDurations(d.name, d.Size(now), age)
		}
		if age > durationsMaxAge {
			n.metrics.RemoveDurations(d.name)
			delete(n.durations, hash)
		}
	}
}

// enableHedging determines whether the request's hedges are limited, and counts it towards the limit.
func (e *exchange) enableHedging(now time.Time) {
	e.hedging.on = e.node.sharesDurations()
	if e.hedging.on && e.route.Idempotent() {
		e.slots.RecordIdempotent(now)
	}
}

// durationQuantile returns a quantile of the route's attempt durations: those at all balancers of the data centre if
// they tell each other, else this balancer's own.
func (e *exchange) durationQuantile(now time.Time, quantile float64) (time.Duration, bool) {
	if !e.hedging.on {
		return e.slots.DurationQuantile(now, e.route.Name(), quantile)
	}
	e.node.durationsMu.Lock()
	defer e.node.durationsMu.Unlock()
	return e.node.durationsOf(routeHash(e.route.Name())).Quantile(now, quantile)
}

// recordSharedDuration records the duration of an attempt that has ended. One that lost against its hedge counts as if it
// had ended by itself, as slow attempts would be missing otherwise; the hedge counts only if it was answered.
func (e *exchange) recordSharedDuration(now time.Time, a *attempt) {
	if !e.hedging.on {
		return
	}
	isHedge := a.waiter == e.hedging.waiter.Load()
	if a.outcome != answered && (isHedge || a.outcome != expired && a.outcome != overtaken) {
		return
	}
	e.node.durationsMu.Lock()
	defer e.node.durationsMu.Unlock()
	d := e.node.durationsOf(routeHash(e.route.Name()))
	d.name = e.route.Name()
	d.Record(now, now.Sub(a.startedAt))
}

// watchAttempt makes an attempt that starts now the one that may be hedged. A request has at most one hedge.
func (e *exchange) watchAttempt(now time.Time, waiter *cvwaiter.Waiter) {
	h := &e.hedging
	h.attempt, h.checkAt = nil, time.Time{}
	if h.on && e.route.Idempotent() && len(e.tried) < e.route.MaxAttempts() && h.waiter.Load() == nil {
		h.attempt, h.upstream = cvhedging.New(now, e.target, e.deadline.Add(-responseMargin)), waiter.Instance().ID()
		h.checkAt = now.Add(firstHedgeCheck)
	}
}

// rearmHedge returns the timer for the next decision about the attempt in flight, which is the given one if hedges are
// not limited.
func (e *exchange) rearmHedge(timer <-chan time.Time) <-chan time.Time {
	switch {
	case !e.hedging.on:
		return timer
	case e.hedging.checkAt.IsZero():
		return nil
	}
	return time.After(time.Until(e.hedging.checkAt))
}

// hedgeWithinLimit decides about the attempt in flight, and reports whether it started another one.
func (e *exchange) hedgeWithinLimit(ctx context.Context, ended chan<- *attempt) bool {
	h, now := &e.hedging, time.Now()
	if h.attempt == nil {
		return false
	}
	if state := e.slots.UpstreamState(now, h.upstream); state.HasSlowness() {
		h.attempt.RecordSlowness(now.Add(-state.SlownessAge()), state.Slowness())
	}
	decision := e.decideHedge(now)
	h.checkAt = decision.CheckAt()
	if !decision.Hedge() {
		return false
	}
	waiter, obstacle := e.slots.HedgeAttempt(now, h.attempt, e.requirements())
	if obstacle != cvhedging.None {
		h.checkAt = h.attempt.RecordObstacle(now, obstacle)
		return false
	}
	h.attempt, h.checkAt = nil, time.Time{}
	if !e.mayStillSend() {
		e.slots.Release(waiter, comfreyvale.ResultCancelled)
		return false
	}
	h.waiter.Store(waiter)
	h.result = "started"
	e.node.metrics.HedgeStarted(e.group)
	e.startAttempt(ctx, waiter, ended)
	return true
}

// decideHedge asks for the decision about the attempt in flight, and counts a request that will not be hedged in time.
func (e *exchange) decideHedge(now time.Time) cvhedging.Decision {
	share, spent := e.node.Settings.HedgingExtraWork(), e.slots.ExtraWorkSpent(now)
	e.node.durationsMu.Lock()
	decision := e.hedging.attempt.Decide(now, &e.node.durationsOf(routeHash(e.route.Name())).Distribution, share, spent)
	e.node.durationsMu.Unlock()
	if reason := decision.GaveUp(); reason != cvhedging.None {
		e.hedging.result = string(reason)
		e.node.metrics.HedgeGivenUp(e.group, string(reason))
	}
	return decision
}

// recordWinner counts a response that a hedge has brought.
func (e *exchange) recordWinner(a *attempt) {
	if a.waiter == e.hedging.waiter.Load() {
		e.hedging.result = "won"
		e.node.metrics.HedgeWon(e.group)
	}
}

// addHedgeFields adds to the fields of a request's log line whether it was hedged or why not, if it took long.
func (e *exchange) addHedgeFields(fields log.Fields) {
	if e.hedging.result == "" {
		return
	}
	fields["hedge"] = e.hedging.result
	fields["extraWorkSpent"] = e.slots.ExtraWorkSpent(time.Now())
}
