// Package cvload implements an open-loop load generator that checks each response.
package cvload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/load/cvprofile"
	"comfreyvale/io/load/cvreport"
)

const (
	// maxInFlight is the maximum number of calls in flight; further calls are counted as not sent.
	maxInFlight              = 20000
	idleConnectionsPerTarget = 512
	maxRepeatDelay           = 5 * time.Second
	// lotCount is the number of different paths of a GET profile.
	lotCount = 1000
)

type fault struct{ cvfault.Fault }

// Generator sends calls at a fixed mean rate, independent of how fast responses arrive. A call is one request of a
// caller together with its resends; its latency counts from its scheduled time, not from when it was sent.
type Generator struct {
	// Targets are the addresses, in the form host:port, to which calls are sent in turn.
	Targets []string
	// Profiles describes the kinds of calls.
	Profiles []cvprofile.Profile
	// Rate is the mean number of calls per second.
	Rate float64
	// Duration is the time during which calls are started.
	Duration time.Duration
	// Timeout is the timeout of one request.
	Timeout time.Duration
	// MaxResends is the maximum number of times that a refused or broken call is sent again, to the next target.
	MaxResends int
	// DuplicateShare is the fraction of keyed calls that are sent twice at the same time, to different targets.
	DuplicateShare float64
	// RepeatShare is the fraction of keyed calls that are sent again after a delay, whatever their result.
	RepeatShare float64
	// Seed is the seed of the random choices; runs with the same seed send the same calls.
	Seed uint64
	// Name is the prefix of idempotency keys and tags. It must differ between runs so that keys are not reused.
	Name string
	// Live reports whether a target accepts new calls, in place of the health checks of the platform's balancer. If
	// nil, all targets accept calls. It must be safe for concurrent use.
	Live func(target string) bool
	// ChooseTarget, if set, replaces Targets and Live, for example to send requests directly to upstreams. Number is
	// the number of the call plus the number of the attempt. ChooseTarget must be safe for concurrent use.
	ChooseTarget func(profile cvprofile.Profile, number uint64) string

	client *http.Client
	mu     sync.Mutex
	report *cvreport.Report
}

// Run starts calls for Duration or until ctx is done, waits for the responses and returns the report. The fields of g
// must not change once Run is called. The error has KindInvalid if Rate, Profiles or Targets is missing.
func (g *Generator) Run(ctx context.Context) (*cvreport.Report, error) {
	if g.Rate <= 0 || len(g.Profiles) == 0 || (len(g.Targets) == 0 && g.ChooseTarget == nil) {
		return nil, fault{cvfault.New("run", comfreyvale.KindInvalid, errors.New("rate, profiles or targets are missing"))}
	}
	g.client = newClient()
	defer g.client.CloseIdleConnections()
	g.report = cvreport.New()
	random := rand.New(rand.NewPCG(g.Seed, g.Seed))
	inFlight := semaphore.NewWeighted(maxInFlight)
	var calls sync.WaitGroup
	begin := time.Now()
	due := begin
	for number := uint64(0); due.Sub(begin) < g.Duration && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(due))
		c := g.newCall(random, number, due)
		due = due.Add(time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second)))
		if !inFlight.TryAcquire(1) {
			g.countCall(c, cvreport.NotSent, 0)
			continue
		}
		calls.Go(func() {
			defer inFlight.Release(1)
			g.send(ctx, c)
		})
	}
	calls.Wait()
	return g.report, nil
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnectionsPerTarget, DisableCompression: true,
	}}
}

type call struct {
	profile     cvprofile.Profile
	number      uint64
	path        string
	tag         string
	key         string
	duplicate   bool
	repeatAfter time.Duration
	due         time.Time
}

func (g *Generator) newCall(random *rand.Rand, number uint64, due time.Time) call {
	p := g.chooseProfile(random.Float64())
	c := call{profile: p, number: number, path: p.Path, due: due, tag: fmt.Sprintf("%s-%d", g.Name, number)}
	if p.Method == http.MethodGet {
		c.path = fmt.Sprintf(p.Path, random.IntN(lotCount))
	}
	query := make(url.Values)
	if p.Bytes > 0 {
		query.Set("bytes", strconv.Itoa(p.Bytes))
	}
	if p.WorkMs > 0 {
		query.Set("workMs", strconv.FormatFloat(random.ExpFloat64()*p.WorkMs, 'f', 3, 64))
	}
	if len(query) > 0 {
		c.path += "?" + query.Encode()
	}
	if p.Keyed {
		c.key = c.tag
		c.duplicate = random.Float64() < g.DuplicateShare
		if random.Float64() < g.RepeatShare {
			c.repeatAfter = time.Duration(random.Float64() * float64(maxRepeatDelay))
		}
	}
	return c
}

func (g *Generator) chooseProfile(draw float64) cvprofile.Profile {
	total := 0.0
	for _, p := range g.Profiles {
		total += p.Weight
	}
	draw *= total
	for _, p := range g.Profiles {
		draw -= p.Weight
		if draw < 0 {
			return p
		}
	}
	return g.Profiles[len(g.Profiles)-1]
}

func (g *Generator) target(c call, attempt int) string {
	if g.ChooseTarget != nil {
		return g.ChooseTarget(c.profile, c.number+uint64(attempt))
	}
	first := c.number + uint64(attempt)
	for i := range uint64(len(g.Targets)) {
		target := g.Targets[(first+i)%uint64(len(g.Targets))]
		if g.Live == nil || g.Live(target) {
			return target
		}
	}
	return g.Targets[first%uint64(len(g.Targets))]
}

func (g *Generator) countCall(c call, result string, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Add(c.profile.Name, result, latency)
}
