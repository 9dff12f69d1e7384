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
	maxInFlight = 20000
	// idleConnectionsPerTarget is the maximum number of idle connections to one target.
	idleConnectionsPerTarget = 512
	// maxRepeatDelay is the maximum delay before a call is repeated.
	maxRepeatDelay = 5 * time.Second
	// lotCount is the number of different paths of a GET profile.
	lotCount = 1000
)

// fault is the error type of the package.
type fault struct{ cvfault.Fault }

// Generator sends calls at a fixed mean rate, independent of how fast responses arrive. Latency is counted from the scheduled
// time of a call, not from when it was sent. A call is one request of a caller together with its resends. The fields
// must be set before Run and not changed after.
type Generator struct {
	// Targets are the addresses, as host:port, to which calls are sent in turn.
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
	// Live reports whether a target accepts new calls, as the platform's own balancer would know. If Live is nil, all
	// targets accept calls. It must be safe for concurrent use.
	Live func(target string) bool
	// ChooseTarget, if set, returns the target of a call and replaces the turns over Targets, for example to send calls
	// directly to upstreams. The number is that of the call plus that of the attempt. It must be safe for concurrent use.
	ChooseTarget func(profile cvprofile.Profile, number uint64) string

	client *http.Client
	mu     sync.Mutex
	report *cvreport.Report
}

// Run starts calls for Duration or until ctx is done, waits for the responses and returns the report. It returns an
// error of KindInvalid if Rate, Profiles or Targets is missing.
func (l *Generator) Run(ctx context.Context) (*cvreport.Report, error) {
	if l.Rate <= 0 || len(l.Profiles) == 0 || (len(l.Targets) == 0 && l.ChooseTarget == nil) {
		return nil, fault{cvfault.New("run", comfreyvale.KindInvalid, errors.New("rate, profiles or targets are missing"))}
	}
	l.client = newClient()
	defer l.client.CloseIdleConnections()
	l.report = cvreport.New()
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	inFlight := semaphore.NewWeighted(maxInFlight)
	var calls sync.WaitGroup
	begin := time.Now()
	due := begin
	for number := uint64(0); due.Sub(begin) < l.Duration && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(due))
		c := l.newCall(random, number, due)
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		if !inFlight.TryAcquire(1) {
			l.countCall(c, cvreport.NotSent, 0)
			continue
		}
		calls.Go(func() {
			defer inFlight.Release(1)
			l.send(ctx, c)
		})
	}
	calls.Wait()
	return l.report, nil
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnectionsPerTarget, DisableCompression: true,
	}}
}

// call is one call of a profile with its random choices.
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

func (l *Generator) newCall(random *rand.Rand, number uint64, due time.Time) call {
	p := l.chooseProfile(random.Float64())
	c := call{profile: p, number: number, path: p.Path, due: due, tag: fmt.Sprintf("%s-%d", l.Name, number)}
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
		c.duplicate = random.Float64() < l.DuplicateShare
		if random.Float64() < l.RepeatShare {
			c.repeatAfter = time.Duration(random.Float64() * float64(maxRepeatDelay))
		}
	}
	return c
}

func (l *Generator) chooseProfile(draw float64) cvprofile.Profile {
	total := 0.0
	for _, p := range l.Profiles {
		total += p.Weight
	}
	draw *= total
	for _, p := range l.Profiles {
		draw -= p.Weight
		if draw < 0 {
			return p
		}
	}
	return l.Profiles[len(l.Profiles)-1]
}

func (l *Generator) target(c call, attempt int) string {
	if l.ChooseTarget != nil {
		return l.ChooseTarget(c.profile, c.number+uint64(attempt))
	}
	first := c.number + uint64(attempt)
	for i := range uint64(len(l.Targets)) {
		target := l.Targets[(first+i)%uint64(len(l.Targets))]
		if l.Live == nil || l.Live(target) {
			return target
		}
	}
	return l.Targets[first%uint64(len(l.Targets))]
}

func (l *Generator) countCall(c call, result string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Add(c.profile.Name, result, latency)
}
