package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"comfreyvale/io/balancers/cvpause"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/platform/cvformat"
)

// player plays faults on a world, several lanes beside each other.
type player struct {
	w *world
	n *notes
	// busy has one token for each balancer whose process no lane is at.
	busy []chan struct{}
}

// turn is what one fault is drawn with.
type turn struct {
	draws *rand.Rand
	time  time.Duration
}

func newPlayer(w *world, n *notes) *player {
	p := &player{w: w, n: n}
	for range w.balancers {
		token := make(chan struct{}, 1)
		token <- struct{}{}
		p.busy = append(p.busy, token)
	}
	return p
}

// faults are all that can happen. Each ends what it did.
var faults = map[string]func(p *player, ctx context.Context, t turn){
	"kill":            (*player).kill,
	"kill all":        (*player).killAll,
	"planned stop":    (*player).stop,
	"pause":           (*player).pause,
	"reload":          (*player).reload,
	"store link":      (*player).storeLink,
	"store away":      (*player).storeAway,
	"history lost":    (*player).historyLost,
	"broken records":  (*player).brokenRecords,
	"configurations":  (*player).configurations,
	"upstream link":   (*player).upstreamLink,
	"upstream mode":   (*player).upstreamMode,
	"upstream crash":  (*player).upstreamCrash,
	"upstream leaves": (*player).upstreamLeaves,
}

// lane plays one fault after another until the context ends.
func (p *player) lane(ctx context.Context, names []string, draws *rand.Rand) {
	for ctx.Err() == nil {
		name := names[draws.IntN(len(names))]
		t := turn{draws: draws, time: 100*time.Millisecond + time.Duration(draws.IntN(2500))*time.Millisecond}
		p.w.t.Logf("seed %d, %5.2f s: %s for %s", p.w.seed, time.Since(p.w.began).Seconds(), name, t.time)
		faults[name](p, ctx, t)
		cvpause.For(ctx, time.Duration(draws.IntN(600))*time.Millisecond)
	}
}

// take returns a balancer whose process no other lane is at, or nil.
func (p *player) take(draw int) (*balancer, func()) {
	i := draw % len(p.busy)
	select {
	case <-p.busy[i]:
		return p.w.balancers[i], func() { p.busy[i] <- struct{}{} }
	default:
		return nil, nil
	}
}

// with does something to the process of a drawn balancer, unless another lane is at it.
func (p *player) with(t turn, do func(b *balancer)) {
	if b, release := p.take(t.draws.IntN(*balancers)); b != nil {
		defer release()
		do(b)
	}
}

func (p *player) kill(ctx context.Context, t turn) {
	p.with(t, func(b *balancer) {
		b.signal(syscall.SIGKILL)
		b.ended()
		cvpause.For(ctx, t.time)
		p.w.start(b)
	})
}

func (p *player) killAll(ctx context.Context, t turn) {
	var taken []*balancer
	for i := range p.w.balancers {
		if b, release := p.take(i); b != nil {
			defer release()
			taken = append(taken, b)
		}
	}
	for _, b := range taken {
		b.signal(syscall.SIGKILL)
	}
	for _, b := range taken {
		b.ended()
	}
	cvpause.For(ctx, t.time/2)
	for _, b := range taken {
		p.w.start(b)
	}
}

// stop stops a process by plan, with further signals meanwhile, and starts the next one.
func (p *player) stop(ctx context.Context, t turn) {
	p.with(t, func(b *balancer) {
		// A process that does not listen yet may not have begun to take signals: it ends, and there is nothing that it could cut.
		listens := b.listens()
		told := time.Now()
		b.signal(syscall.SIGTERM)
		for range t.draws.IntN(3) {
			cvpause.For(ctx, time.Duration(t.draws.IntN(200))*time.Millisecond)
			b.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[t.draws.IntN(2)])
		}
		if state := b.ended(); !state.Success() && (listens || state.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM) {
			p.n.violated("%s ended a planned stop at %.2f s, %s after its start, with %s", b.name, time.Since(p.w.began).Seconds(), told.Sub(b.now().began), state)
		}
		p.w.start(b)
	})
}

func (p *player) pause(ctx context.Context, t turn) {
	p.with(t, func(b *balancer) {
		b.signal(syscall.SIGSTOP)
		cvpause.For(ctx, t.time)
		b.signal(syscall.SIGCONT)
	})
}

func (p *player) reload(ctx context.Context, t turn) {
	p.with(t, func(b *balancer) {
		for range 1 + t.draws.IntN(3) {
			b.signal(syscall.SIGHUP)
			cvpause.For(ctx, t.time/10)
		}
	})
}

// over changes what a proxy does for a time.
func over(ctx context.Context, q *proxy, t turn) {
	q.set([]weather{delayed, reset, silent, deafTarget, muteTarget}[t.draws.IntN(5)])
	cvpause.For(ctx, t.time)
	q.set(calm)
}

func (p *player) storeLink(ctx context.Context, t turn) {
	over(ctx, p.w.stores[t.draws.IntN(*balancers)], t)
}

func (p *player) storeAway(ctx context.Context, t turn) {
	p.w.store.FailWith(http.StatusServiceUnavailable)
	cvpause.For(ctx, t.time)
	p.w.store.FailWith(0)
}

func (p *player) historyLost(_ context.Context, t turn) {
	p.w.store.LoseHistory([]string{cvformat.ConfigurationTopic, cvformat.UpstreamTopic}[t.draws.IntN(2)])
}

// brokenRecords writes records that name nothing.
func (p *player) brokenRecords(_ context.Context, t turn) {
	p.w.store.Put(cvformat.UpstreamTopic, fmt.Sprint("broken", t.draws.IntN(3)), []byte(`{"address":7}`))
	p.w.store.Put(cvformat.ConfigurationTopic, cvformat.ConfigurationKey, []byte(`{"version":`))
	// The newest record must be one that can be read, or a new process could not know what is in force.
	p.w.publish()
}

func (p *player) configurations(ctx context.Context, t turn) {
	for range 1 + t.draws.IntN(6) {
		p.w.publish()
		cvpause.For(ctx, t.time/6)
	}
}

func (p *player) upstreamLink(ctx context.Context, t turn) {
	over(ctx, p.w.upstream(t.draws.IntN(100)).proxy, t)
}

func (p *player) upstreamMode(ctx context.Context, t turn) {
	modes := []string{
		cvfaulty.ModeDuplicate, cvfaulty.ModePreviousFirst, cvfaulty.ModeTruncate, cvfaulty.ModeNoResponse, cvfaulty.ModeMalformed, cvfaulty.ModeNoLength, cvfaulty.ModeWrongID,
		cvfaulty.ModeHang, cvfaulty.ModeNotRun, cvfaulty.ModeServerError, cvfaulty.ModeCloseAfterResponse,
	}
	u := p.w.upstream(t.draws.IntN(100))
	u.SetMode(modes[t.draws.IntN(len(modes))], false)
	cvpause.For(ctx, t.time)
	u.SetMode(cvfaulty.ModeNormal, false)
}

// upstreamCrash ends an upstream whose entry goes some time later, and starts another one.
func (p *player) upstreamCrash(ctx context.Context, t turn) {
	u := p.w.upstream(t.draws.IntN(100))
	p.w.addUpstream()
	u.Stop()
	cvpause.For(ctx, t.time)
	p.w.remove(u)
}

// upstreamLeaves has an upstream say that it leaves, and ends it some time later.
func (p *player) upstreamLeaves(ctx context.Context, t turn) {
	u := p.w.upstream(t.draws.IntN(100))
	p.w.addUpstream()
	p.w.drain(u)
	cvpause.For(ctx, 2*t.time)
	p.w.remove(u)
	u.Stop()
}

// drain enters that an upstream leaves.
func (w *world) drain(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !u.draining {
		u.draining = true
		w.enter(u)
	}
}
