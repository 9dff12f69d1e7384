// Package cvbalancer implements a balancer process that reads its configuration from the platform's log.
package cvbalancer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"comfreyvale"
	"comfreyvale/core/cvconfiguration"
	"comfreyvale/core/cvdecisions"
	"comfreyvale/core/cvleastoftwo"
	"comfreyvale/core/cvpicker"
	"comfreyvale/core/cvprobing"
	"comfreyvale/core/cvquarantine"
	"comfreyvale/core/cvrandom"
	"comfreyvale/core/cvroundrobin"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvshutdown"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/balancers/cvlisteners"
	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/balancers/cvstopping"
	"comfreyvale/io/callers/cvgateway"
	"comfreyvale/io/operators/cvadmin"
	"comfreyvale/io/operators/cvmetrics"
	"comfreyvale/io/operators/cvsettings"
	"comfreyvale/io/peers/cvclaims"
	"comfreyvale/io/peers/cvgossip"
	"comfreyvale/io/peers/cvhomes"
	"comfreyvale/io/peers/cvpeers"
	"comfreyvale/io/store/cvfollower"
	"comfreyvale/io/store/cvmembership"
	"comfreyvale/io/upstreams/cvrunner"
	"comfreyvale/io/upstreams/cvtable"
)

const (
	// readHeaderTimeout bounds the time to receive a request header from a caller or an operator.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may stay open without a request.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits a request header of a caller.
	maxHeaderBytes = 64 << 10
	// tickInterval is the interval between checks for changes that depend on time alone.
	tickInterval = 20 * time.Millisecond
	// expireInterval is the interval between removals of expired claims and quarantine entries.
	expireInterval = time.Second
	// answerMargin is the end of the stop limit in which requests that have not ended get their answers.
	answerMargin = 200 * time.Millisecond
	// probeInterval is the interval between rounds of probes of the probing policy.
	probeInterval = 2 * time.Millisecond
	// maxDecisions is the maximum number of decisions stored for explain requests.
	maxDecisions = 20000
)

// Balancer is one balancer process on one entry VM. The balancers of a group share in-flight counts, quarantines and
// the claims of idempotency keys. Set the exported fields before Run.
type Balancer struct {
	Settings *cvsettings.Settings
	// Log stores the configuration, the roster and the journals of claims.
	Log comfreyvale.Log
	// VMList lists the upstreams and balancers of the platform.
	VMList comfreyvale.VMList
	Logger log.Interface
	Tracer trace.Tracer

	// The parts of the process, set by build.
	process    string
	metrics    *cvmetrics.Metrics
	recorder   *recorder
	table      *cvtable.Table
	follower   *cvfollower.Follower
	membership *cvmembership.Membership
	peers      *cvpeers.Peers
	homes      *cvhomes.Homes
	gossip     *cvgossip.Gossip
	claims     *cvclaims.Claims
	gateway    *cvgateway.Gateway

	// vmListRead is set once the upstreams of a VM list are in force.
	vmListRead atomic.Bool
	stopping   atomic.Bool
	shutdown   cvstopping.Stopping
	// vmListState is the last logged state of the VM list.
	vmListState string

	// tableUpdate is held while the VMs and the roster are passed on to the table.
	tableUpdate sync.Mutex

	mu         sync.Mutex
	quarantine cvquarantine.Quarantine
	vms        []comfreyvale.VM
}

// recorder stores decisions and counts them in the metrics.
type recorder struct {
	*cvdecisions.History
	metrics *cvmetrics.Metrics
}

func (r *recorder) Record(now time.Time, decision comfreyvale.Decision) {
	r.metrics.DecisionRecorded(decision.Service(), decision.Cause())
	r.History.Record(now, decision)
}

// Run serves requests until ctx is done or a background task fails, then shuts down gracefully. Call it once.
func (b *Balancer) Run(ctx context.Context) error {
	listeners, err := cvlisteners.Open(b.Settings.ListenAddress(), b.Settings.AdminAddress(), b.Settings.PeerAddress())
	if err != nil {
		return err
	}
	callers, operators, peers := listeners[0], listeners[1], listeners[2]
	if err := b.build(peers); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, run := range []func(context.Context) error{
		b.homes.Run, b.follower.Run, b.membership.Run, b.peers.Run, b.gossip.Run, b.pollVMs, b.tick, b.checkpoint, b.probe,
	} {
		group.Go(func() error { return run(background) })
	}
	admin := &http.Server{Handler: b.admin().Handler(), ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return cvlisteners.ServeError(admin.Serve(operators)) })
	server := b.callerServer()
	group.Go(func() error { return cvlisteners.ServeError(b.serve(server, callers)) })
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	b.stop(server)
	admin.Close()
	stop()
	return group.Wait()
}

func (b *Balancer) build(peers net.Listener) error {
	b.process = newProcessName(b.Settings.VM(), time.Now())
	b.metrics = cvmetrics.New()
	b.recorder = &recorder{History: &cvdecisions.History{Limit: maxDecisions}, metrics: b.metrics}
	b.table = &cvtable.Table{NewPicker: pickerFactory(b.Settings.Policy()), OnEjection: b.upstreamEjected}
	b.follower = &cvfollower.Follower{Log: b.Log, Metrics: b.metrics, Logger: b.Logger, OnChange: b.configurationChanged}
	if err := b.buildCluster(peers); err != nil {
		return err
	}
	runner := &cvrunner.Runner{
		Recorder: b.recorder, Tracer: b.Tracer, ResponseMemory: semaphore.NewWeighted(b.Settings.AnswerMemory()),
		OnDraining: b.upstreamDraining, OnConnectionLost: b.upstreamCrashed, Quarantined: b.retryBlocked, Suspected: b.isSuspect, AssignUpstream: b.assignUpstream,
		Shutdown: &b.shutdown,
	}
	requests := &cvbodies.Memory{OnDropped: b.requestDropped}
	requests.SetLimit(b.Settings.RequestMemory())
	b.gateway = &cvgateway.Gateway{
		Requests:    requests,
		FindService: b.table.Find, Quarantined: b.quarantined, OnUpstreamSuccess: b.requestCompleted, NewKeys: b.homes.NewKeys,
		Runner: runner, Shutdown: &b.shutdown, Claims: b.claims, Recorder: b.recorder, Metrics: b.metrics, Tracer: b.Tracer,
	}
	return nil
}

// requestDropped logs that a request was dropped for lack of memory.
func (b *Balancer) requestDropped(_, caller string, size int64, cause error) {
	b.Logger.WithFields(log.Fields{"caller": caller, "bytes": size}).WithError(cause).Warn("request dropped for lack of memory")
}

// probesPerAttempt is the number of probes that the probing policy requests for each attempt.
const probesPerAttempt = 1

func pickerFactory(name string) func(*cvservice.Service) comfreyvale.Picker {
	return func(*cvservice.Service) comfreyvale.Picker {
		switch name {
		case "leastOfTwo":
			return &cvleastoftwo.Picker{}
		case "robin":
			return &cvroundrobin.Picker{}
		case "random":
			return &cvrandom.Picker{}
		case "probing":
			return &cvprobing.Picker{ProbesPerAttempt: probesPerAttempt}
		}
		return &cvpicker.Picker{}
	}
}

func (b *Balancer) configurationChanged(c *cvconfiguration.Configuration) {
	b.table.SetConfiguration(time.Now(), c)
}

func (b *Balancer) callerServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: b.gateway, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
	}
}

func (b *Balancer) serve(server *http.Server, listener net.Listener) error {
	b.Logger.WithFields(log.Fields{"vm": b.Settings.VM(), "process": b.process, "listen": b.Settings.ListenAddress()}).Info("serving")
	if b.Settings.CertificateFile() != "" {
		return server.ServeTLS(listener, b.Settings.CertificateFile(), b.Settings.KeyFile())
	}
	return server.Serve(listener)
}

func (b *Balancer) pollVMs(ctx context.Context) error {
	for ctx.Err() == nil {
		vms, err := b.VMList.List(ctx)
		if err == nil {
			b.setVMs(vms)
			// Without its upstreams this balancer must not report ready.
			b.vmListRead.Store(true)
		}
		b.recordVMListState(err)
		cvpause.For(ctx, b.Settings.VMListPollInterval())
	}
	return nil
}

func (b *Balancer) recordVMListState(err error) {
	state := "reading"
	if err != nil {
		state = "unreachable"
	}
	if state != b.vmListState {
		b.vmListState = state
		b.metrics.StateChanged("vmList")
		b.Logger.WithField("state", state).Info("VM list state changed")
	}
}

func (b *Balancer) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastExpire time.Time
	for {
		select {
		case now := <-ticker.C:
			b.table.Tick(now)
			if now.Sub(lastExpire) >= expireInterval {
				lastExpire = now
				b.expire(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// probe sends the probes of the probing policy until the context ends. Other policies send none.
func (b *Balancer) probe(ctx context.Context) error {
	if b.Settings.Policy() != "probing" {
		return nil
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.table.Probe(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// stop reports not ready, leaves the roster, and accepts new requests during the stop lag. It then waits for the
// requests in flight until the stop limit, answers the remaining ones shortly before it, closes the connections of those
// that are left, and hands stored responses over to other balancers.
func (b *Balancer) stop(server *http.Server) {
	startedAt := time.Now()
	b.shutdown.Begin(startedAt, cvshutdown.New(startedAt, startedAt.Add(b.Settings.StopLag()+b.Settings.StopLimit()-answerMargin)))
	b.stopping.Store(true)
	b.gateway.DisableKeepAlives()
	b.Logger.WithField("inFlight", b.gateway.InFlight()).Info("stopping")
	b.leave()
	time.Sleep(b.Settings.StopLag())
	ctx, cancel := context.WithTimeout(context.Background(), b.Settings.StopLimit())
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		for range b.gateway.InFlight() {
			b.metrics.StopLimitReached()
		}
		b.Logger.WithField("cut", b.gateway.InFlight()).Warn("stop limit reached; closing the connections of requests in flight")
		server.Close()
	}
	b.handOver()
	b.Logger.Info("stopped")
}

func (b *Balancer) admin() *cvadmin.Admin {
	return &cvadmin.Admin{
		Ready: b.ready, Status: b.status, Checkpoint: b.follower.Checkpoint, LiftQuarantine: b.liftQuarantine,
		Recorder: b.recorder, Metrics: b.metrics,
	}
}
