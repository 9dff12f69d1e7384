package cvnode

import (
	"context"
	"net/http"
	"time"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// probeAge is the age of a report from which an upstream of the own data centre is asked for another: half of the
	// time for which a machine's speed stays the same.
	probeAge = 150 * time.Millisecond
	// probeTime is how long an upstream may take to tell its load; a later report is worth nothing.
	probeTime = 100 * time.Millisecond
	// probeConnections is how many connections to one upstream leave room for one more for reports.
	probeConnections = 8
)

// probe asks upstreams for reports where answers brought none lately. The balancers of a data centre share the work, and
// tell each other what they learn.
func (n *Node) probe(ctx context.Context) error {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			n.probeStale(ctx, now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) probeStale(ctx context.Context, now time.Time) {
	t := n.routes.Load()
	if t == nil || n.stopping.Load() || n.terms().ProbesPerSecond() <= 1/probeAge.Seconds() {
		return
	}
	for name, s := range n.allSlots() {
		g, ok := t.Group(name)
		if !ok {
			continue
		}
		for _, i := range s.Stale(now, probeAge, func(id string) bool { return n.news.Mine(now, id) }) {
			go n.probeOne(ctx, s, i, g.HealthPath())
		}
	}
}

// probeOne takes in the load that comes with an answer to a health check, whatever it says of the upstream's health: what
// requests meet counts for that.
func (n *Node) probeOne(ctx context.Context, s *cvslots.Slots, instance *cvinstance.Instance, path string) {
	deadline := time.Now().Add(probeTime)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	message := cvrequest.New("", http.MethodGet, path, instance.Address(), nil, nil)
	answer, err := n.pool.Exchange(ctx, instance, probeConnections, message, deadline, false)
	if err != nil {
		n.counters.Reported("missing")
		n.Logger.WithField("upstream", instance.ID()).WithError(err).Info("no report")
		return
	}
	if load, ok := n.HeaderNames.ParseLoad(answer.Header().Get(n.HeaderNames.Load)); ok && answer.Status() != http.StatusMisdirectedRequest {
		s.Report(time.Now(), instance.ID(), load, 0)
		n.counters.Reported("taken")
	}
}
