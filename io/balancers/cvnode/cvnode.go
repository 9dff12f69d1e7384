// Package cvnode is one balancer process whose routes and upstreams come from the platform's directory.
package cvnode

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"comfreyvale"
	"comfreyvale/core/cvbudget"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvfleet"
	"comfreyvale/core/cvheadernames"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvlimits"
	"comfreyvale/core/cvquarantine"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvterms"
	"comfreyvale/io/balancers/cvlisteners"
	"comfreyvale/io/callers/cvcaller"
	"comfreyvale/io/operators/cvcounters"
	"comfreyvale/io/operators/cvnodesettings"
	"comfreyvale/io/peers/cvnews"
	"comfreyvale/io/peers/cvrelay"
	"comfreyvale/io/store/cvwatch"
	"comfreyvale/io/upstreams/cvpool"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// tickTime is the time between two looks at what only the passing of time changes.
	tickTime = 20 * time.Millisecond
	// sweepTime is the time between two looks for connections and entries that can go.
	sweepTime = 500 * time.Millisecond
	// headTime is how long the platform's check may take to send its request.
	headTime = 2 * time.Second
	// bodyShare is the part of the VM's memory that bodies in progress may take.
	bodyShare = 4
	// megabyte is the unit of the VM's memory.
	megabyte = 1 << 20
	// answerLimit is the size of the largest answer that is passed on.
	answerLimit = 64 << 20
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Node is one balancer process on one entry VM.
type Node struct {
	// Settings are the VM's own.
	Settings *cvnodesettings.Settings
	// SettingsFile is read again when it changes; empty never is.
	SettingsFile string
	// HeaderNames names the headers of the deployment.
	HeaderNames cvheadernames.Names
	// Configuration is the directory that holds the routes under ConfigurationKey.
	Configuration    comfreyvale.Directory
	ConfigurationKey string
	// ParseRoutes reads a record of the configuration.
	ParseRoutes func(value []byte) (*cvroutes.Table, error)
	// Upstreams is the directory of upstream instances.
	Upstreams comfreyvale.Directory
	// ParseInstance reads an instance's record.
	ParseInstance func(id string, value []byte) (*cvinstance.Instance, error)
	// Logger takes lines.
	Logger log.Interface
	// Tracer makes a span for each hop; nil makes none.
	Tracer trace.Tracer

	settings atomic.Pointer[cvnodesettings.Settings]
	routes   atomic.Pointer[cvroutes.Table]
	stopping atomic.Bool
	server   *cvcaller.Server
	pool     *cvpool.Pool
	counters *cvcounters.Counters
	news     *cvnews.News
	relays   *cvrelay.Relay
	// routesWatch and upstreamsWatch follow the directories.
	routesWatch, upstreamsWatch *cvwatch.Watch

	mu sync.Mutex
	// record is the configuration in force as it was read.
	record []byte
	// routesRead and upstreamsRead are when this balancer itself read the directories last, and readFailed is when it
	// failed to, if it has read neither since.
	routesRead, upstreamsRead, readFailed time.Time
	// routesKept and upstreamsKept are the last records of the directories, for other balancers.
	routesKept, upstreamsKept kept
	// upstreamsTaken says that the directory of upstreams was read in this process's life.
	upstreamsTaken bool
	fleet          cvfleet.Fleet
	// othersReached is when another balancer said last that it can read the directory.
	othersReached time.Time
	groups        map[string]*cvslots.Slots
	places        map[uint32]place
	// known are the instances as last handed to the groups, with whether they drain.
	known map[string]bool
	turns map[string]map[string]float64
	// quarantine and deaths are the requests that upstreams crashed on.
	quarantine cvquarantine.Quarantine
	deaths     map[death]time.Time
}

// Run serves until the context ends, then stops in order.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := cvlisteners.Open(n.Settings.Listen(), n.Settings.Ready(), n.Settings.Peer())
	if err != nil {
		return err
	}
	callers, checks, peers := listeners[0], listeners[1], listeners[2]
	n.build()
	n.Logger.WithFields(log.Fields{"vm": n.Settings.VM(), "dataCentre": n.Settings.DataCentre(), "listen": n.Settings.Listen()}).Info("started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, run := range []func(context.Context) error{n.routesWatch.Run, n.upstreamsWatch.Run, n.watchSettings, n.news.Run, n.relay, n.probe, n.tick} {
		group.Go(func() error { return run(background) })
	}
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headTime}
	group.Go(func() error { return cvlisteners.Ended(ready.Serve(checks)) })
	relay := &http.Server{Handler: n.relays, ReadHeaderTimeout: headTime}
	group.Go(func() error { return cvlisteners.Ended(relay.Serve(peers)) })
	admin, err := n.serveAdmin(group)
	if err != nil {
		n.Logger.WithError(err).Error("metrics cannot be served")
	}
	group.Go(func() error { return n.server.Serve(callers) })
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	n.stop(callers)
	ready.Close()
	relay.Close()
	admin.Close()
	stop()
	return group.Wait()
}

func (n *Node) build() {
	n.settings.Store(n.Settings)
	if n.Tracer == nil {
		n.Tracer = noop.NewTracerProvider().Tracer("")
	}
	n.groups = make(map[string]*cvslots.Slots)
	n.deaths = make(map[death]time.Time)
	n.turns = make(map[string]map[string]float64)
	n.counters = cvcounters.New()
	n.pool = &cvpool.Pool{Signs: n.HeaderNames, AnswerLimit: answerLimit, Opened: func(string) { n.counters.Opened() }, Dropped: n.dropped}
	n.news = n.newNews()
	n.routesWatch, n.upstreamsWatch = n.newWatches()
	n.relays = &cvrelay.Relay{Snapshot: n.snapshot, Records: n.records}
	n.server = &cvcaller.Server{Handle: n.handle, Repeatable: n.repeatable, Limits: n.limits, Refused: n.refusedUnread, BodyMemory: int64(n.Settings.MemoryMB()) * megabyte / bodyShare}
}

func (n *Node) dropped(instance, request, reason string) {
	n.Logger.WithFields(log.Fields{"upstream": instance, "request": request, "reason": reason}).Warn("answer dropped")
}

func (n *Node) refusedUnread(remote string, status int, cause error) {
	n.Logger.WithFields(log.Fields{"caller": remote, "status": status}).WithError(cause).Info("refused unread")
}

func (n *Node) limits() cvlimits.Limits {
	if t := n.routes.Load(); t != nil {
		return t.Limits()
	}
	return cvlimits.Default()
}

// serveReady tells the platform whether this VM takes new connections.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.routes.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// terms are the deployment's bounds in force.
func (n *Node) terms() cvterms.Terms { return n.settings.Load().Terms() }

// slots returns the decisions about a group.
func (n *Node) slots(group string) *cvslots.Slots {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.groups[group]
	if s == nil {
		terms := n.terms()
		s = &cvslots.Slots{
			DataCentre: n.Settings.DataCentre(), Balancers: n.news.Sharers, Turn: n.news.Turn,
			Budget: &cvbudget.Budget{Window: terms.RetryWindow(), Ratio: terms.RetryRatio() * retryShare, Slack: terms.RetrySlack() * retryShare},
		}
		n.groups[group] = s
	}
	return s
}

// tick lets waiting requests go on, and drops what is old.
func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	var swept time.Time
	for {
		select {
		case now := <-ticker.C:
			for _, s := range n.allSlots() {
				s.Tick(now)
			}
			if now.Sub(swept) >= sweepTime {
				swept = now
				n.sweep(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// allSlots returns the decisions about all groups.
func (n *Node) allSlots() map[string]*cvslots.Slots {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.groups)
}
