package cvnode

import (
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace/noop"

	"comfreyvale/core/cvbudget"
	"comfreyvale/core/cvextrawork"
	"comfreyvale/core/cvlimits"
	"comfreyvale/core/cvusage"
	"comfreyvale/io/balancers/cvbootclock"
	"comfreyvale/io/callers/cvhttpserver"
	"comfreyvale/io/operators/cvnodemetrics"
	"comfreyvale/io/peers/cvrelay"
	"comfreyvale/io/upstreams/cvpool"
	"comfreyvale/io/upstreams/cvslots"
)

// maxResponseBytes is the maximum size of one response body, which is held in memory until it is complete.
const maxResponseBytes = 64 << 20

// build creates the parts of the process.
func (n *Node) build() {
	n.storeSettings(n.Settings)
	if n.Tracer == nil {
		n.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if n.BootClock == nil {
		n.BootClock = cvbootclock.Now
	}
	n.makeMaps()
	n.evacuation.Prefix = n.EvacuationPrefix
	n.usage = cvusage.New(time.Now(), n.Settings.GossipAddress())
	n.usage.OnAdmitted = func(workspace string, requests int) { n.fairness.Record(time.Now(), workspace, requests) }
	n.metrics = cvnodemetrics.New()
	n.buildMemory()
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

func (n *Node) makeMaps() {
	n.groups = make(map[string]*cvslots.Slots)
	n.durations = make(map[uint32]*routeDurations)
	n.eras = make(map[string]int64)
	n.invalidLimits = make(map[string]string)
	n.ignored = make(ignoredRecords)
	n.crashes = make(map[crash]time.Time)
	n.splitCredits = make(map[string]map[string]float64)
}

// responseDropped logs that the pool discarded bytes which do not belong to the request in flight.
func (n *Node) responseDropped(instance, request, reason string) {
	n.Logger.WithFields(log.Fields{"upstream": instance, "request": request, "reason": reason}).Warn("response dropped")
}

// requestRefused logs that the server refused a request which it could not read or had no memory for, or closed a new
// connection for lack of memory.
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
			OwnsPeriod: n.news.OwnsPeriod, AboveShare: n.aboveShare, Connected: n.connected, ExtraWork: &cvextrawork.Budget{Share: n.Settings.HedgingExtraWork()},
		}
		now := time.Now()
		s.SetEvacuated(now, n.evacuation.DataCentres())
		n.setWarmUp(now, n.routes.Load(), group, s)
		n.groups[group] = s
	}
	return s
}
