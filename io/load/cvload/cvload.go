// Package cvload is an open-loop load tool that checks each answer.
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
	// maxInFlight is how many calls are in flight at most; further ones are counted as not sent.
	maxInFlight = 20000
	// connectionsPerTarget is how many idle connections to one target are kept.
	connectionsPerTarget = 512
	// longestRepeat is the longest time after which a call is repeated.
	longestRepeat = 5 * time.Second
	// lotCount is how many different lookups there are.
	lotCount = 1000
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Load sends calls at a rate of its own, whatever the answers take. Latency counts from when a call was due.
type Load struct {
	// Targets are the addresses that calls go to in turn, as host:port.
	Targets []string
	// Profiles are the kinds of call.
	Profiles []cvprofile.Profile
	// Rate is the number of calls a second.
	Rate float64
	// Duration is how long calls are sent.
	Duration time.Duration
	// Timeout is how long a caller waits for its answer.
	Timeout time.Duration
	// MaxResends is how often a caller sends a call again that was refused or broke, to another target.
	MaxResends int
	// DuplicateShare is the share of keyed calls that are sent through two targets at the same time.
	DuplicateShare float64
	// RepeatShare is the share of keyed calls that are sent once more after a while, whatever became of them.
	RepeatShare float64
	// Seed makes the calls the same in each run.
	Seed uint64
	// Name begins keys and tags, so that several runs do not share any.
	Name string
	// Live says whether a target takes new calls, as the platform's balancer would know; nil takes all as live.
	Live func(target string) bool
	// ChooseTarget sends each call to the target that this returns, instead of in turn; for calling upstreams directly.
	ChooseTarget func(profile cvprofile.Profile, number uint64) string

	client *http.Client
	mu     sync.Mutex
	report *cvreport.Report
}

// Run sends calls until the duration is over and all answers are in.
func (l *Load) Run(ctx context.Context) (*cvreport.Report, error) {
	if l.Rate <= 0 || len(l.Profiles) == 0 || (len(l.Targets) == 0 && l.ChooseTarget == nil) {
		return nil, fault{cvfault.New("run", comfreyvale.KindInvalid, errors.New("a rate, profiles and targets are needed"))}
	}
	l.client = newClient()
	defer l.client.CloseIdleConnections()
	l.report = cvreport.New()
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	flying := semaphore.NewWeighted(maxInFlight)
	var calls sync.WaitGroup
	begin := time.Now()
	due := begin
	for number := uint64(0); due.Sub(begin) < l.Duration && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(due))
		c := l.newCall(random, number, due)
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		if !flying.TryAcquire(1) {
			l.add(c, cvreport.NotSent, 0)
			continue
		}
		calls.Go(func() {
			defer flying.Release(1)
			l.make(ctx, c)
		})
	}
	calls.Wait()
	return l.report, nil
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: connectionsPerTarget, DisableCompression: true,
	}}
}

// call is one call on its way.
type call struct {
	profile cvprofile.Profile
	number  uint64
	path    string
	tag     string
	key     string
	double  bool
	repeat  time.Duration
	due     time.Time
}

func (l *Load) newCall(random *rand.Rand, number uint64, due time.Time) call {
	p := l.choose(random.Float64())
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
		c.double = random.Float64() < l.DuplicateShare
		if random.Float64() < l.RepeatShare {
			c.repeat = time.Duration(random.Float64() * float64(longestRepeat))
		}
	}
	return c
}

func (l *Load) choose(draw float64) cvprofile.Profile {
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

func (l *Load) target(c call, attempt int) string {
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

func (l *Load) add(c call, result string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Add(c.profile.Name, result, latency)
}
