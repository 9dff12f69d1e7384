// Package cvnode implements a balancer process that reads its routes and upstreams from the platform's directory.
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
	"golang.org/x/sync/errgroup"

	"comfreyvale"
	"comfreyvale/core/cvevacuation"
	"comfreyvale/core/cvfairness"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvfleet"
	"comfreyvale/core/cvheadernames"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvloadcheck"
	"comfreyvale/core/cvquarantine"
	"comfreyvale/core/cvrate"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvterms"
	"comfreyvale/core/cvusage"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/balancers/cvlisteners"
	"comfreyvale/io/balancers/cvstopping"
	"comfreyvale/io/callers/cvhttpserver"
	"comfreyvale/io/operators/cvnodemetrics"
	"comfreyvale/io/operators/cvnodesettings"
	"comfreyvale/io/peers/cvnews"
	"comfreyvale/io/peers/cvrelay"
	"comfreyvale/io/store/cvwatch"
	"comfreyvale/io/upstreams/cvpool"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// tickInterval is the interval between checks for changes that depend on time alone.
	tickInterval = 20 * time.Millisecond
	// sweepInterval is the interval between removals of unused connections and expired entries.
	sweepInterval = 500 * time.Millisecond
	// readHeaderTimeout bounds the time to receive a request header on the ready, peer and admin listeners.
	readHeaderTimeout = 2 * time.Second
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Node is one balancer process on one entry VM. Set the exported fields before Run.
type Node struct {
	Settings *cvnodesettings.Settings
	// SettingsFile is the path of a settings file that is reloaded when it changes. If it is empty, nothing is reloaded.
	SettingsFile string
	HeaderNames  cvheadernames.Names
	// Configuration is the directory that holds the routes under ConfigurationKey.
	Configuration    comfreyvale.Directory
	ConfigurationKey string
	// EvacuationPrefix begins the keys in Configuration that name an evacuated data centre. Without it, none is evacuated.
	EvacuationPrefix string
	ParseRoutes      func(value []byte) (*cvroutes.Table, error)
	// Upstreams is the directory of upstream instances.
	Upstreams comfreyvale.Directory
	// ParseInstance parses the record of an instance.
	ParseInstance func(id string, value []byte) (*cvinstance.Instance, error)
	Logger        log.Interface
	// Tracer may be nil; then no spans are recorded.
	Tracer trace.Tracer
	// BootClock returns the time of a clock that runs while the machine is suspended. It may be nil; then it is that of
	// the machine.
	BootClock func() time.Duration

	// settings are the settings in force: Settings until the settings file changes.
	settings atomic.Pointer[cvnodesettings.Settings]
	// regions holds the regions of data centres by the settings in force.
	regions atomic.Pointer[map[string]string]
	// routes is the configuration in force, nil before the first.
	routes   atomic.Pointer[cvroutes.Table]
	stopping atomic.Bool
	shutdown cvstopping.Stopping

	// The parts of the process, set by build.
	server                      *cvhttpserver.Server
	pool                        *cvpool.Pool
	memory                      *cvbodies.Memory
	metrics                     *cvnodemetrics.Metrics
	news                        *cvnews.News
	relay                       *cvrelay.Relay
	routesWatch, upstreamsWatch *cvwatch.Watch

	lease configurationLease

	durationsMu sync.Mutex
	// durations holds the durations of attempts by route hash, where the balancers of the data centre tell each other.
	durations map[uint32]*routeDurations

	mu sync.Mutex
	// routesRecord is the encoded record of the configuration in force.
	routesRecord []byte
	// The times at which this balancer last read the directories from the platform, and at which its last read failed;
	// readFailedAt is zero after a successful read of either directory.
	routesReadAt, upstreamsReadAt, readFailedAt time.Time
	// eras holds how often each directory had been restored from an older copy when this balancer last read it.
	eras map[string]int64
	// The latest records of the directories, for other balancers.
	recentRoutes, recentUpstreams recentRecords
	// evacuation holds which data centres are evacuated.
	evacuation cvevacuation.Evacuation
	// behindAt is the position in the operator's records at the last poll of other balancers, and wasBehind reports
	// whether another balancer had read further.
	behindAt  comfreyvale.Position
	wasBehind bool
	// upstreamsLoaded reports whether this process has ever read the directory of upstreams.
	upstreamsLoaded bool
	// fleet holds the upstreams by the directory.
	fleet cvfleet.Fleet
	// peerReachedDirectoryAt is when another balancer last read the directories.
	peerReachedDirectoryAt time.Time
	// groups holds the slots of the groups of upstreams by name.
	groups map[string]*cvslots.Slots
	// upstreamsByHash holds the upstreams by the hashes that identify them in messages between balancers.
	upstreamsByHash map[uint32]upstreamEntry
	// drainingByID holds the upstreams last passed to the groups, and whether each is draining.
	drainingByID map[string]bool
	// ignored holds the invalid records of the directories that were logged.
	ignored ignoredRecords
	// invalidLimits holds the last invalid request limit or warm-up time of upstreams by ID, as logged.
	invalidLimits map[string]string
	// splitCredits holds the round-robin credits of nextGroup by route and group.
	splitCredits map[string]map[string]float64
	// The requests on which upstreams crashed, and the time of each recent crash.
	quarantine cvquarantine.Quarantine
	crashes    map[crash]time.Time
	// loadChecks bounds the checks of upstreams right before requests are sent.
	loadChecks cvloadcheck.Budget
	// demand is the rate of the requests that arrive here.
	demand cvrate.Rate

	// usageMu guards usage: the requests of workspaces with a quota. It may be locked while mu is held, not the other way
	// round.
	usageMu sync.Mutex
	// fairness tells which workspaces are above their fair share, by the requests in usage. usageMu guards it too.
	fairness cvfairness.Fairness
	usage    *cvusage.Usage
}

// Run serves requests until ctx is done or a background task fails, then shuts down gracefully. Call it once.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := cvlisteners.Open(n.Settings.ListenAddress(), n.Settings.ReadinessAddress(), n.Settings.PeerAddress())
	if err != nil {
		return err
	}
	callers, checks, peers := listeners[0], listeners[1], listeners[2]
	n.build()
	n.Logger.WithFields(log.Fields{"vm": n.Settings.VM(), "dataCentre": n.Settings.DataCentre(), "listen": n.Settings.ListenAddress()}).Info("started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	tasks := []func(context.Context) error{
		n.routesWatch.Run, n.upstreamsWatch.Run, n.watchSettings, n.news.Run, n.runRelay, n.probe, n.tick,
	}
	for _, run := range tasks {
		group.Go(func() error { return run(background) })
	}
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return cvlisteners.ServeError(ready.Serve(checks)) })
	relay := &http.Server{Handler: n.relay, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return cvlisteners.ServeError(relay.Serve(peers)) })
	admin, err := n.serveAdmin(group)
	if err != nil {
		n.Logger.WithError(err).Error("cannot serve metrics")
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

// serveReady answers the platform's readiness check, which decides whether this VM gets new connections.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.routes.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// terms returns the time bounds and retry budgets of the settings in force.
func (n *Node) terms() cvterms.Terms { return n.settings.Load().Terms() }

// tick grants slots that become free with time, and removes what has expired, until the context ends.
func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var swept time.Time
	for {
		select {
		case now := <-ticker.C:
			n.checkLease(now)
			for _, s := range n.allSlots() {
				s.Tick(now)
			}
			n.tickUsage(now)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				n.sweep(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// allSlots returns the slots of all groups by name.
func (n *Node) allSlots() map[string]*cvslots.Slots {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.groups)
}
