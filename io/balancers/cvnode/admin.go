package cvnode

import (
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyvale/io/balancers/cvlisteners"
)

// serveAdmin serves the metrics, if the settings name an address for them. Without them requests are served all the same.
func (n *Node) serveAdmin(group *errgroup.Group) (*http.Server, error) {
	server := &http.Server{Handler: n.counters.Handler(), ReadHeaderTimeout: headTime}
	n.watchFigures()
	if n.Settings.Admin() == "" {
		return server, nil
	}
	listeners, err := cvlisteners.Open(n.Settings.Admin())
	if err != nil {
		return server, err
	}
	group.Go(func() error { return cvlisteners.Ended(server.Serve(listeners[0])) })
	return server, nil
}

// watchFigures offers what is looked up when the metrics are read.
func (n *Node) watchFigures() {
	figures := map[string]struct {
		help  string
		value func() float64
	}{
		"requests_in_flight":   {"Requests in progress.", func() float64 { return float64(n.server.InFlight()) }},
		"caller_connections":   {"Open connections of callers.", func() float64 { return float64(n.server.Open()) }},
		"upstream_connections": {"Open connections to upstreams.", func() float64 { return float64(n.pool.Open()) }},
		"peers":                {"Other balancers heard of lately.", func() float64 { return float64(len(n.news.Live())) }},
		"directory_age_seconds": {"Time since the directories were read, the one read least lately.", func() float64 {
			return n.readAge(time.Now()).Seconds()
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
	for name, f := range figures {
		n.counters.Watch(name, f.help, f.value)
	}
}
