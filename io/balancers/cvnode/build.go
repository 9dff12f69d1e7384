package cvnode

import (
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace/noop"

	"comfreyvale/core/cvbudget"
	"comfreyvale/core/cvlimits"
	"comfreyvale/core/cvmemory"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/callers/cvhttpserver"
	"comfreyvale/io/operators/cvnodemetrics"
	"comfreyvale/io/peers/cvrelay"
	"comfreyvale/io/upstreams/cvpool"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// megabyte is the unit in which the settings give the VM's memory.
	megabyte = 1 << 20
	// maxResponseBytes is the maximum size of one response body, which is held in memory until it is complete.
	maxResponseBytes = 64 << 20
)

// build creates the parts of the process.
func (n *Node) build() {
	n.settings.Store(n.Settings)
	if n.Tracer == nil {
		n.Tracer = noop.NewTracerProvider().Tracer("")
	}
	n.groups = make(map[string]*cvslots.Slots)
	n.eras = make(map[string]int64)
	n.invalidLimits = make(map[string]string)
	n.ignored = make(ignoredRecords)
	n.crashes = make(map[crash]time.Time)
	n.splitCredits = make(map[string]map[string]float64)
	n.metrics = cvnodemetrics.New()
	n.memory = &cvbodies.Memory{OnTurnedAway: n.messageTurnedAway}
	n.memory.SetMachineMemory(int64(n.Settings.MemoryMB()) * megabyte)
	n.registerMemoryMetrics()
	n.pool = &cvpool.Pool{
		HeaderNames: n.HeaderNames, MaxResponseBytes: maxResponseBytes,
		OnOpen: func(string) { n.metrics.ConnectionOpened() }, OnDrop: n.responseDropped,
	}
	n.news = n.newNews()
	n.routesWatch, n.upstreamsWatch = n.newWatches()
	n.relay = &cvrelay.Relay{Snapshot: n.snapshot, Records: n.records, Logger: n.Logger}
	n.server = &cvhttpserver.Server{
		Handle: n.handle, Repeatable: n.repeatable, Limits: n.limits, OnRefused: n.requestRefused, Memory: n.memory,
	}
}

// responseDropped logs that the pool discarded bytes which do not belong to the request in flight.
func (n *Node) responseDropped(instance, request, reason string) {
	n.Logger.WithFields(log.Fields{"upstream": instance, "request": request, "reason": reason}).Warn("response dropped")
}

// messageTurnedAway counts and logs that a message was dropped for lack of memory.
func (n *Node) messageTurnedAway(kind, sender string, size int64, cause error) {
	n.metrics.TurnedAway(kind)
	n.Logger.WithFields(log.Fields{"kind": kind, "from": sender, "bytes": size, "limitBytes": n.memory.Limit()}).WithError(cause).Warn("message dropped for lack of memory")
}

// registerMemoryMetrics registers gauges of the memory that messages take.
func (n *Node) registerMemoryMetrics() {
	n.metrics.RegisterGauge("message_memory_limit_bytes", "Memory that all messages together may take.", func() float64 { return float64(n.memory.Limit()) })
	for _, kind := range []string{cvmemory.KindRequest, cvmemory.KindAnswer, cvmemory.KindConnection} {
		n.metrics.RegisterGauge("message_memory_"+kind+"_bytes", "Memory that messages of this kind take.", func() float64 { return float64(n.memory.Used(kind)) })
	}
}

// requestRefused logs that the server refused a request which it could not read, or had no memory for.
func (n *Node) requestRefused(remote string, status int, cause error) {
	n.Logger.WithFields(log.Fields{"caller": remote, "status": status}).WithError(cause).Info("request refused without being handled")
}

// limits returns the limits of the configuration in force, or defaults before the first.
func (n *Node) limits() cvlimits.Limits {
	if t := n.routes.Load(); t != nil {
		return t.Limits()
	}
	return cvlimits.Default()
}

// slots returns the slots of a group, and creates them on first use.
func (n *Node) slots(group string) *cvslots.Slots {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.groups[group]
	if s == nil {
		terms := n.terms()
		budget := &cvbudget.Budget{
			Window: terms.RetryWindow(), Ratio: terms.RetryRatio() * retryBudgetShare, Slack: terms.RetrySlack() * retryBudgetShare,
		}
		s = &cvslots.Slots{
			DataCentre: n.Settings.DataCentre(), Budget: budget, Balancers: n.news.Sharers, MayTakeFreeSlot: n.news.MayTakeFreeSlot,
			OwnsPeriod: n.news.OwnsPeriod,
		}
		n.groups[group] = s
	}
	return s
}
