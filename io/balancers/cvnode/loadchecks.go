package cvnode

import (
	"context"
	"time"

	"comfreyvale/core/cvloadcheck"
	"comfreyvale/core/cvwaiter"
)

// checkLoad asks the upstream that was chosen for a request for its load, and moves the request to another upstream if
// that is expected to answer much sooner. It reports false if the request may not be sent to the upstream any more and
// there is no other.
func (e *exchange) checkLoad(ctx context.Context, waiter *cvwaiter.Waiter) bool {
	path, perSecond := e.node.loadCheckTerms(e.group)
	for range cvloadcheck.MaxChecks {
		now := time.Now()
		if perSecond <= 0 || !e.node.allowLoadCheck(now, perSecond, e.slots.LoadCheckChoice(now, waiter)) {
			return true
		}
		e.node.probeOne(ctx, e.slots, waiter.Instance(), path, cvloadcheck.Timeout)
		moved, lost := e.slots.Reassign(time.Now(), waiter)
		switch {
		case lost:
			e.node.metrics.LoadChecked("lost")
			return false
		case !moved:
			e.node.metrics.LoadChecked("kept")
			return true
		}
		e.node.metrics.LoadChecked("moved")
	}
	return true
}

// loadCheckTerms returns the health path of a group, and how many checks a second all of its upstreams allow this balancer
// before requests: none unless the settings and the configuration ask for it.
func (n *Node) loadCheckTerms(group string) (path string, perSecond float64) {
	if !n.checksLoad() {
		return "", 0
	}
	g, ok := n.routes.Load().Group(group)
	if !ok {
		return "", 0
	}
	upstreams := n.slots(group).AvailableCount(time.Now())
	return g.HealthPath(), n.settings.Load().CheckLoad() * n.terms().ProbesPerSecond() * float64(upstreams) / float64(max(n.news.Sharers(), 1))
}

func (n *Node) allowLoadCheck(now time.Time, perSecond float64, choice cvloadcheck.Choice) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loadChecks.Allow(now, perSecond, choice)
}

// checksLoad reports whether the settings and the configuration ask for load checks.
func (n *Node) checksLoad() bool { return n.settings.Load().CheckLoad() > 0 && n.acceptsExtraWork() }

// connected reports whether there is an idle connection to an upstream. Where load is checked before requests, a check
// of an upstream without one would cost a connection too; elsewhere, connections don't matter for the choice.
func (n *Node) connected(id string) bool { return !n.checksLoad() || n.pool.HasIdle(id) }
