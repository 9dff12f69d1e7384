// Package cvbalancer is one balancer process: it joins the decisions with the network.
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
	"comfreyvale/io/balancers/cvlisteners"
	"comfreyvale/io/balancers/cvpause"
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
	// headerTime is how long a caller may take to send a request's head.
	headerTime = 5 * time.Second
	// idleTime is how long an unused connection of a caller is kept.
	idleTime = 2 * time.Minute
	// maxHeaderBytes is the size of the largest head of a request.
	maxHeaderBytes = 64 << 10
	// tickTime is the time between two looks at what only the passing of time changes.
	tickTime = 20 * time.Millisecond
	// expireTime is the time between two looks for what can be forgotten.
	expireTime = time.Second
	// probeTime is the time between two rounds of measuring requests of a probing policy.
	probeTime = 2 * time.Millisecond
	// rememberedDecisions is how many decisions can be explained.
	rememberedDecisions = 20000
)

// Balancer is one process on one entry VM.
type Balancer struct {
	// Settings are the VM's own.
	Settings *cvsettings.Settings
	// Log is the platform's log.
	Log comfreyvale.Log
	// VMList is the platform's list of VMs.
	VMList comfreyvale.VMList
	// Logger takes lines for changes of state.
	Logger log.Interface
	// Tracer makes spans.
	Tracer     trace.Tracer
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
	listed     atomic.Bool
	stopping   atomic.Bool
	listState  string

	mu         sync.Mutex
	quarantine cvquarantine.Quarantine
	vms        []comfreyvale.VM
}

// recorder keeps decisions and counts them.
type recorder struct {
	*cvdecisions.History
	metrics *cvmetrics.Metrics
}

// Record keeps a decision and counts it.
func (r *recorder) Record(now time.Time, decision comfreyvale.Decision) {
	r.metrics.DecisionRecorded(decision.Service(), decision.Cause())
	r.History.Record(now, decision)
}

// Run serves until the context ends, then stops in order.
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
	admin := &http.Server{Handler: b.admin().Handler(), ReadHeaderTimeout: headerTime}
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
	b.process = newProcess(b.Settings.VM(), time.Now())
	b.metrics = cvmetrics.New()
	b.recorder = &recorder{History: &cvdecisions.History{Limit: rememberedDecisions}, metrics: b.metrics}
	b.table = &cvtable.Table{NewPicker: policy(b.Settings.Policy()), OnEjection: b.ejected}
	b.follower = &cvfollower.Follower{Log: b.Log, Metrics: b.metrics, Logger: b.Logger, OnChange: b.changed}
	if err := b.buildCluster(peers); err != nil {
		return err
	}
	runner := &cvrunner.Runner{
		Recorder: b.recorder, Tracer: b.Tracer, ResponseMemory: semaphore.NewWeighted(b.Settings.AnswerMemory()),
		OnDraining: b.draining, OnConnectionLost: b.died, Quarantined: b.barred, Suspected: b.suspected, AssignUpstream: b.place,
	}
	b.gateway = &cvgateway.Gateway{
		FindService: b.table.Find, Quarantined: b.quarantined, OnUpstreamSuccess: b.settled, NewKeys: b.homes.NewKeys,
		Runner: runner, Claims: b.claims, Recorder: b.recorder, Metrics: b.metrics, Tracer: b.Tracer,
	}
	return nil
}

// probesPerCall is how many measuring requests the probing policy sends for each call.
const probesPerCall = 1

// policy returns what makes the pickers of a policy.
func policy(name string) func(*cvservice.Service) comfreyvale.Picker {
	return func(*cvservice.Service) comfreyvale.Picker {
		switch name {
		case "leastOfTwo":
			return &cvleastoftwo.Picker{}
		case "robin":
			return &cvroundrobin.Picker{}
		case "random":
			return &cvrandom.Picker{}
		case "probing":
			return &cvprobing.Picker{ProbesPerAttempt: probesPerCall}
		}
		return &cvpicker.Picker{}
	}
}

func (b *Balancer) changed(c *cvconfiguration.Configuration) { b.table.SetConfiguration(time.Now(), c) }

func (b *Balancer) callerServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: b.gateway, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
	}
}

func (b *Balancer) serve(server *http.Server, listener net.Listener) error {
	b.Logger.WithFields(log.Fields{"vm": b.Settings.VM(), "process": b.process, "listen": b.Settings.ListenAddress()}).Info("serving")
	if b.Settings.CertificateFile() != "" {
		return server.ServeTLS(listener, b.Settings.CertificateFile(), b.Settings.KeyFile())
	}
	return server.Serve(listener)
}

// pollVMs keeps the list of upstreams and balancers.
func (b *Balancer) pollVMs(ctx context.Context) error {
	for ctx.Err() == nil {
		vms, err := b.VMList.List(ctx)
		if err == nil {
			b.listed.Store(true)
			b.setVMs(vms)
		}
		b.noteList(err)
		cvpause.For(ctx, b.Settings.VMListPollInterval())
	}
	return nil
}

func (b *Balancer) noteList(err error) {
	state := "reading"
	if err != nil {
		state = "unreachable"
	}
	if state != b.listState {
		b.listState = state
		b.metrics.StateChanged("vmList")
		b.Logger.WithField("state", state).Info("VM list")
	}
}

func (b *Balancer) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	var expired time.Time
	for {
		select {
		case now := <-ticker.C:
			b.table.Tick(now)
			if now.Sub(expired) >= expireTime {
				expired = now
				b.expire(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// probe sends the measuring requests of a policy that probes.
func (b *Balancer) probe(ctx context.Context) error {
	if b.Settings.Policy() != "probing" {
		return nil
	}
	ticker := time.NewTicker(probeTime)
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

// stop ends in order: not ready at once, new calls for the lag, then the calls in progress.
func (b *Balancer) stop(server *http.Server) {
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
		b.Logger.WithField("cut", b.gateway.InFlight()).Warn("stop limit used")
		server.Close()
	}
	b.handOver()
	b.Logger.Info("stopped")
}

func (b *Balancer) admin() *cvadmin.Admin {
	return &cvadmin.Admin{
		Ready: b.ready, Status: b.status, Checkpoint: b.follower.Checkpoint, LiftQuarantine: b.lift,
		Recorder: b.recorder, Metrics: b.metrics,
	}
}
