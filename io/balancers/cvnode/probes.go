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
	// maxReportAge is the age of the last load report after which an upstream in this data centre is probed: half of
	// the time for which a machine's speed stays the same.
	maxReportAge = 150 * time.Millisecond
	// probeTimeout bounds the time of one probe; a later report is useless.
	probeTimeout = 100 * time.Millisecond
	// probeConnectionLimit is the number of open connections to an upstream at which a probe opens no other connection.
	probeConnectionLimit = 8
)

// probe asks upstreams for load reports when recent responses contained none, and whether they are warming up. The balancers of a data centre divide the
// upstreams among themselves and exchange the reports.
func (n *Node) probe(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
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
	// An upstream is probed up to once per maxReportAge, so the terms must allow more probes than that.
	if t == nil || n.stopping.Load() || n.terms().ProbesPerSecond() <= 1/maxReportAge.Seconds() {
		return
	}
	for name, s := range n.allSlots() {
		g, ok := t.Group(name)
		if !ok {
			continue
		}
		for _, i := range s.UpstreamsToProbe(now, maxReportAge, func(id string) bool { return n.news.OwnsTask(now, id) }) {
			go n.probeOne(ctx, s, i, g.HealthPath(), probeTimeout)
		}
	}
}

// probeOne records the load report in the response to a health check. Its health status is ignored, because upstream
// health is derived from the outcomes of requests.
func (n *Node) probeOne(ctx context.Context, s *cvslots.Slots, instance *cvinstance.Instance, path string, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	message := cvrequest.New("", http.MethodGet, path, instance.Address(), nil).WithDeadline(deadline)
	memory := n.memory.Holder(instance.ID())
	defer memory.Close()
	sentAt := time.Now()
	response, err := n.pool.Exchange(ctx, instance, probeConnectionLimit, message, memory)
	if err != nil {
		n.metrics.LoadReportRequested("missing")
		n.Logger.WithField("upstream", instance.ID()).WithError(err).Info("probe failed; no load report")
		return
	}
	if response.Header().Get(n.HeaderNames.Limit) != "" {
		n.recordLimit(s, instance, response, sentAt)
	} else if response.Status() != http.StatusMisdirectedRequest {
		n.recordWarmUp(s, instance, response, sentAt)
	}
	if load, ok := n.HeaderNames.ParseLoad(response.Header().Get(n.HeaderNames.Load)); ok && response.Status() != http.StatusMisdirectedRequest {
		s.RecordReport(time.Now(), instance.ID(), load, 0)
		n.metrics.LoadReportRequested("taken")
	}
}
