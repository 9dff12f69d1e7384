package cvnode

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvroutes"
	"comfreyvale/core/cvwire"
	"comfreyvale/core/cvworkspace"
)

// setQuotas applies the quotas of a configuration.
func (n *Node) setQuotas(now time.Time, table *cvroutes.Table) {
	var all map[string]*cvworkspace.Workspace
	if table != nil && table.Workspaces() != nil {
		all = table.Workspaces().All()
	}
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	n.usage.SetWorkspaces(now, all, n.terms())
	rates := make(map[string]float64, len(all))
	for name, w := range all {
		rates[name] = w.RatePerS()
	}
	n.fairness.SetWeights(rates)
}

// aboveShare returns how far a workspace is above its fair share of the requests that were admitted lately: 0 if it is
// not.
func (n *Node) aboveShare(now time.Time, workspace string) int {
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	return n.fairness.Steps(now, workspace)
}

// workspaceName returns the name of the workspace that the request belongs to, or "".
func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name()
}

// takeQuota takes a request off its workspace's quota. If the quota is used up, it returns false and the response.
func (n *Node) takeQuota(now time.Time, workspace *cvworkspace.Workspace, id string) (refusal comfreyvale.Answer, ok bool) {
	if workspace == nil {
		return comfreyvale.Answer{}, true
	}
	if workspace.RatePerS() <= 0 {
		n.recordUnlimited(now, workspace, 1)
		return comfreyvale.Answer{}, true
	}
	n.usageMu.Lock()
	retryAfter, ok := n.usage.Take(now, workspace.Name())
	if ok {
		n.usageMu.Unlock()
		return comfreyvale.Answer{}, true
	}
	level, share, withheld := n.usage.Status(now, workspace.Name())
	newsAge := n.usage.NewsAge(now)
	n.usageMu.Unlock()
	n.metrics.Refused(string(comfreyvale.CauseQuota))
	n.Logger.WithFields(log.Fields{
		"request": id, "cause": comfreyvale.CauseQuota, "workspace": workspace.Name(), "ratePerS": workspace.RatePerS(), "level": level,
		"share": share, "withheld": withheld, "newsAgeMs": newsAge.Milliseconds(), "returnMs": retryAfter.Milliseconds(),
	}).Info("refused")
	// Rounded up, as a caller that comes back earlier would be refused again.
	seconds := math.Ceil(retryAfter.Seconds()*1000) / 1000
	return comfreyvale.NewAnswer(http.StatusTooManyRequests, http.Header{
		n.HeaderNames.RequestID: {id}, "Retry-After": {strconv.FormatFloat(seconds, 'f', 3, 64)},
	}, nil), false
}

// returnQuota gives back what takeQuota took for a request that did not run.
func (n *Node) returnQuota(now time.Time, workspace *cvworkspace.Workspace) {
	if workspace == nil {
		return
	}
	if workspace.RatePerS() <= 0 {
		n.recordUnlimited(now, workspace, -1)
		return
	}
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	n.usage.Return(now, workspace.Name())
}

// recordUnlimited counts requests of a workspace without a quota towards its fair share. Balancers don't tell each other
// of these, so it is compared by what this balancer has admitted.
func (n *Node) recordUnlimited(now time.Time, workspace *cvworkspace.Workspace, requests int) {
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	if n.usage.Active() {
		n.fairness.Record(now, workspace.Name(), requests)
	}
}

// tickUsage looks for balancers that have become silent.
func (n *Node) tickUsage(now time.Time) {
	known := n.news.KnowsOthers()
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	n.usage.Tick(now, known)
}

// addUsage adds this balancer's counts to a message for its data centre.
func (n *Node) addUsage(now time.Time, message *cvwire.News, full bool) {
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	if full {
		message.Usage = n.usage.State(now)
		return
	}
	message.Usage = n.usage.Changes(now)
}

// addUsageDigest adds the counts of this data centre's balancers to a message for others.
func (n *Node) addUsageDigest(now time.Time, message *cvwire.News, within time.Duration, heartbeats bool) {
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	message.Usage = n.usage.Digest(now, within, heartbeats)
}

// receiveUsage records the counts in a message of another balancer.
func (n *Node) receiveUsage(now time.Time, from string, message *cvwire.News) {
	near := n.news.Near(from)
	n.usageMu.Lock()
	defer n.usageMu.Unlock()
	n.usage.Hear(now, from, message.GetProcess(), near)
	n.usage.Record(now, message.GetProcess(), message.GetDigestOf(), message.GetWhole(), message.GetUsage())
}

// usageGauge returns a gauge of the usage.
func (n *Node) usageGauge(value func(now time.Time) float64) func() float64 {
	return func() float64 {
		n.usageMu.Lock()
		defer n.usageMu.Unlock()
		return value(time.Now())
	}
}
