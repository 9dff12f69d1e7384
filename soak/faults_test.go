package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/platform/cvformat"
)

type faultInjector struct {
	cluster *cluster
	results *results
	// idle holds a channel for each balancer, with a token while no worker uses the balancer's process.
	idle []chan struct{}
}

type faultParams struct {
	random   *rand.Rand
	duration time.Duration
}

func newFaultInjector(cl *cluster, r *results) *faultInjector {
	fi := &faultInjector{cluster: cl, results: r}
	for range cl.balancers {
		token := make(chan struct{}, 1)
		token <- struct{}{}
		fi.idle = append(fi.idle, token)
	}
	return fi
}

// faults maps the name of each fault to the method that injects it. The method returns when the fault has ended; only
// broken upstream records stay until the end of the test.
var faults = map[string]func(fi *faultInjector, ctx context.Context, p faultParams){
	"kill":            (*faultInjector).kill,
	"kill all":        (*faultInjector).killAll,
	"planned stop":    (*faultInjector).stopGracefully,
	"pause":           (*faultInjector).pause,
	"reload":          (*faultInjector).reload,
	"store link":      (*faultInjector).disturbStoreLink,
	"store away":      (*faultInjector).failStore,
	"history lost":    (*faultInjector).loseStoreHistory,
	"broken records":  (*faultInjector).putBrokenRecords,
	"configurations":  (*faultInjector).publishConfigurations,
	"upstream link":   (*faultInjector).disturbUpstreamLink,
	"upstream mode":   (*faultInjector).setUpstreamMode,
	"upstream crash":  (*faultInjector).crashUpstream,
	"upstream leaves": (*faultInjector).drainUpstream,
}

// injectRandomFaults injects faults one after another until ctx is done.
func (fi *faultInjector) injectRandomFaults(ctx context.Context, names []string, random *rand.Rand) {
	for ctx.Err() == nil {
		name := names[random.IntN(len(names))]
		p := faultParams{random: random, duration: 100*time.Millisecond + time.Duration(random.IntN(2500))*time.Millisecond}
		fi.cluster.t.Logf("seed %d, %5.2f s: %s for %s", fi.cluster.seed, time.Since(fi.cluster.startedAt).Seconds(), name, p.duration)
		faults[name](fi, ctx, p)
		cvpause.For(ctx, time.Duration(random.IntN(600))*time.Millisecond)
	}
}

// acquireBalancer returns a balancer and its release function, or nil if another worker uses its process.
func (fi *faultInjector) acquireBalancer(index int) (*balancer, func()) {
	i := index % len(fi.idle)
	select {
	case <-fi.idle[i]:
		return fi.cluster.balancers[i], func() { fi.idle[i] <- struct{}{} }
	default:
		return nil, nil
	}
}

// withBalancer calls do with a random balancer, unless another worker uses its process.
func (fi *faultInjector) withBalancer(p faultParams, do func(b *balancer)) {
	if b, release := fi.acquireBalancer(p.random.IntN(*balancerCount)); b != nil {
		defer release()
		do(b)
	}
}

func (fi *faultInjector) kill(ctx context.Context, p faultParams) {
	fi.withBalancer(p, func(b *balancer) {
		b.signal(syscall.SIGKILL)
		b.awaitExit()
		cvpause.For(ctx, p.duration)
		fi.cluster.start(b)
	})
}

func (fi *faultInjector) killAll(ctx context.Context, p faultParams) {
	var acquired []*balancer
	for i := range fi.cluster.balancers {
		if b, release := fi.acquireBalancer(i); b != nil {
			defer release()
			acquired = append(acquired, b)
		}
	}
	for _, b := range acquired {
		b.signal(syscall.SIGKILL)
	}
	for _, b := range acquired {
		b.awaitExit()
	}
	cvpause.For(ctx, p.duration/2)
	for _, b := range acquired {
		fi.cluster.start(b)
	}
}

// stopGracefully sends further signals during the shutdown, and then starts a new process.
func (fi *faultInjector) stopGracefully(ctx context.Context, p faultParams) {
	fi.withBalancer(p, func(b *balancer) {
		// A process that does not listen yet may not handle signals yet either. SIGTERM then ends the process at once,
		// which breaks no connection.
		listens := b.listens()
		signalledAt := time.Now()
		b.signal(syscall.SIGTERM)
		for range p.random.IntN(3) {
			cvpause.For(ctx, time.Duration(p.random.IntN(200))*time.Millisecond)
			b.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[p.random.IntN(2)])
		}
		if state := b.awaitExit(); !state.Success() && (listens || state.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM) {
			fi.results.addViolation("%s: graceful shutdown at %.2f s, %s after the process start, ended with %s", b.name, time.Since(fi.cluster.startedAt).Seconds(), signalledAt.Sub(b.currentProcess().startedAt), state)
		}
		fi.cluster.start(b)
	})
}

func (fi *faultInjector) pause(ctx context.Context, p faultParams) {
	fi.withBalancer(p, func(b *balancer) {
		b.signal(syscall.SIGSTOP)
		cvpause.For(ctx, p.duration)
		b.signal(syscall.SIGCONT)
	})
}

func (fi *faultInjector) reload(ctx context.Context, p faultParams) {
	fi.withBalancer(p, func(b *balancer) {
		for range 1 + p.random.IntN(3) {
			b.signal(syscall.SIGHUP)
			cvpause.For(ctx, p.duration/10)
		}
	})
}

// disturb puts a link into a random faulty state for the duration of the fault.
func disturb(ctx context.Context, link *proxy, p faultParams) {
	link.setState([]linkState{linkDelayed, linkReset, linkStalled, linkStalledToTarget, linkStalledFromTarget}[p.random.IntN(5)])
	cvpause.For(ctx, p.duration)
	link.setState(linkNormal)
}

func (fi *faultInjector) disturbStoreLink(ctx context.Context, p faultParams) {
	disturb(ctx, fi.cluster.storeProxies[p.random.IntN(*balancerCount)], p)
}

func (fi *faultInjector) failStore(ctx context.Context, p faultParams) {
	fi.cluster.store.FailWith(http.StatusServiceUnavailable)
	cvpause.For(ctx, p.duration)
	fi.cluster.store.FailWith(0)
}

func (fi *faultInjector) loseStoreHistory(_ context.Context, p faultParams) {
	fi.cluster.store.LoseHistory([]string{cvformat.ConfigurationTopic, cvformat.UpstreamTopic}[p.random.IntN(2)])
}

// brokenEntries are records of another writer among those of the upstreams.
var brokenEntries = []string{
	`{"address":7}`,
	"\xff\x00",
	strings.Repeat("[", 50_000),
	`{"address":"127.0.0.1:99999","born":1,"info":{"service":"g","zone":"z","slots":4},"status":{"state":"ready","seq":1}}`,
	`{"address":"127.0.0.1:9","born":1,"info":{"service":"g","zone":"z","slots":4611686018427387904},"status":{"state":"ready","seq":1}}`,
	`{"address":"127.0.0.1:9","born":9223372036854775807,"info":{"service":"g","zone":"z","slots":4},"status":{"state":"ready","seq":1}}`,
}

// putBrokenRecords writes records that name no upstream, under keys of their own or of an upstream, and an invalid
// configuration.
func (fi *faultInjector) putBrokenRecords(ctx context.Context, p faultParams) {
	u := fi.cluster.pickUpstream(p.random.IntN(100))
	keys := []string{"broken0", "broken1", "broken\xff", u.ID}
	fi.cluster.store.Put(cvformat.UpstreamTopic, keys[p.random.IntN(len(keys))], []byte(brokenEntries[p.random.IntN(len(brokenEntries))]))
	fi.cluster.store.Put(cvformat.ConfigurationTopic, cvformat.ConfigurationKey, []byte(`{"version":`))
	// The newest record must be valid, or a new process could not determine the configuration in force.
	fi.cluster.publish()
	cvpause.For(ctx, p.duration)
	fi.cluster.reportAgain(u)
}

func (fi *faultInjector) publishConfigurations(ctx context.Context, p faultParams) {
	for range 1 + p.random.IntN(6) {
		fi.cluster.publish()
		cvpause.For(ctx, p.duration/6)
	}
}

func (fi *faultInjector) disturbUpstreamLink(ctx context.Context, p faultParams) {
	disturb(ctx, fi.cluster.pickUpstream(p.random.IntN(100)).proxy, p)
}

func (fi *faultInjector) setUpstreamMode(ctx context.Context, p faultParams) {
	modes := []string{
		cvfaulty.ModeDuplicate, cvfaulty.ModePreviousFirst, cvfaulty.ModeTruncate, cvfaulty.ModeNoResponse, cvfaulty.ModeMalformed, cvfaulty.ModeNoLength, cvfaulty.ModeWrongID,
		cvfaulty.ModeHang, cvfaulty.ModeNotRun, cvfaulty.ModeNotRunRepeated, cvfaulty.ModeMisdirectedRepeated, cvfaulty.ModeServerError, cvfaulty.ModeCloseAfterResponse,
	}
	u := fi.cluster.pickUpstream(p.random.IntN(100))
	u.SetMode(modes[p.random.IntN(len(modes))], false)
	cvpause.For(ctx, p.duration)
	u.SetMode(cvfaulty.ModeNormal, false)
}

// crashUpstream adds an upstream and stops another one, whose record is removed some time later.
func (fi *faultInjector) crashUpstream(ctx context.Context, p faultParams) {
	u := fi.cluster.pickUpstream(p.random.IntN(100))
	fi.cluster.addUpstream()
	u.Stop()
	cvpause.For(ctx, p.duration)
	fi.cluster.removeUpstream(u)
}

// drainUpstream adds an upstream and drains another one, which is removed and stopped some time later.
func (fi *faultInjector) drainUpstream(ctx context.Context, p faultParams) {
	u := fi.cluster.pickUpstream(p.random.IntN(100))
	fi.cluster.addUpstream()
	fi.cluster.drainUpstream(u)
	cvpause.For(ctx, 2*p.duration)
	fi.cluster.removeUpstream(u)
	u.Stop()
}

// drainUpstream only marks the upstream as draining in its record.
func (cl *cluster) drainUpstream(u *upstream) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !u.draining {
		u.draining = true
		cl.putRecord(u)
	}
}
