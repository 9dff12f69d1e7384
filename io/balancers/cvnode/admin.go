package cvnode

import (
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyvale/io/balancers/cvlisteners"
)

// serveAdmin serves the metrics if the settings have an admin address. If it fails, the balancer still serves requests.
func (n *Node) serveAdmin(group *errgroup.Group) (*http.Server, error) {
	server := &http.Server{Handler: n.metrics.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	n.registerGauges()
	if n.Settings.AdminAddress() == "" {
		return server, nil
	}
	listeners, err := cvlisteners.Open(n.Settings.AdminAddress())
	if err != nil {
		return server, err
	}
	group.Go(func() error { return cvlisteners.ServeError(server.Serve(listeners[0])) })
	return server, nil
}

// registerGauges registers the metrics that are computed on each scrape.
func (n *Node) registerGauges() {
	gauges := map[string]struct {
		help  string
		value func() float64
	}{
		"requests_in_flight":     {"Requests in progress.", func() float64 { return float64(n.server.InFlight()) }},
		"caller_connections":     {"Open connections of callers.", func() float64 { return float64(n.server.OpenConnections()) }},
		"upstream_connections":   {"Open connections to upstreams.", func() float64 { return float64(n.pool.OpenCount()) }},
		"peers":                  {"Other balancers heard of lately.", func() float64 { return float64(len(n.news.Live())) }},
		"limited_upstreams":      {"Upstreams that limit their requests.", func() float64 { return float64(n.limitedUpstreams()) }},
		"warming_up_upstreams":   {"Upstreams that get few requests because they are warming up.", func() float64 { return float64(n.warmingUpUpstreams(time.Now())) }},
		"evacuated_data_centres": {"Data centres whose upstreams get no requests.", func() float64 { return float64(n.evacuatedCount()) }},
		"workspaces_over_quota": {"Workspaces of which a request was refused for their quota within the last second.", n.usageGauge(func(now time.Time) float64 {
			return float64(n.usage.OverQuota(now))
		})},
		"quota_least_left": {"Requests left in the quota of the workspace that has used the most of its own; below zero if more was admitted.", n.usageGauge(func(now time.Time) float64 {
			return n.usage.LeastLeft(now)
		})},
		"usage_news_age_seconds": {"Age of the oldest report among the balancers that have a share of the quotas.", n.usageGauge(func(now time.Time) float64 {
			return n.usage.NewsAge(now).Seconds()
		})},
		"directory_age_seconds": {"Time since the directories were read, the one read least lately.", func() float64 {
			return n.readAge(time.Now()).Seconds()
		}},
		"configuration_confirmed_age_seconds": {"Time since the configuration in force was last known to be the newest, -1 if it never was.", func() float64 {
			if age, ok := n.confirmedAge(); ok {
				return age.Seconds()
			}
			return -1
		}},
		"directory_era": {"How often the platform's log has been restored from an older copy, as last read.", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(max(n.eras[routesDirectory], n.eras[upstreamsDirectory]))
		}},
		"directory_away": {"1 while the directory of upstreams cannot be read.", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.fleet.DirectoryUnreachable() {
				return 1
			}
			return 0
		}},
		"quarantined_requests": {"Requests that are refused because upstreams crashed on them.", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(len(n.quarantine.List(time.Now())))
		}},
	}
	for name, g := range gauges {
		n.metrics.RegisterGauge(name, g.help, g.value)
	}
}
