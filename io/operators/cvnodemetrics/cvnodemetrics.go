// Package cvnodemetrics provides the Prometheus metrics of a balancer whose routes come from the platform's directory.
package cvnodemetrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	namespace = "comfreyvale"
	// firstBucket, in seconds, and bucketCount define latency buckets from 4 ms to 8 s.
	firstBucket = 0.004
	bucketCount = 12
)

// Metrics holds the metrics. Groups come from the configuration and all other labels have fixed values, so the number
// of label values is bounded. Metrics is safe for concurrent use.
type Metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	limited        *prometheus.CounterVec
	heldBack       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	reachability   *prometheus.CounterVec
	loadReports    *prometheus.CounterVec
	loadChecks     *prometheus.CounterVec
	peerMessages   *prometheus.CounterVec
	peerBytes      *prometheus.CounterVec
	responses      *prometheus.CounterVec
	dropped        *prometheus.CounterVec
	confirmed      *prometheus.CounterVec
	connections    prometheus.Counter
	version        prometheus.Gauge
	upstreams      *prometheus.GaugeVec
	hedges         *prometheus.CounterVec
	hedgesGivenUp  *prometheus.CounterVec
	extraWorkShare *prometheus.GaugeVec
	knownDurations *prometheus.GaugeVec
	durationsAge   *prometheus.GaugeVec
}

// New returns metrics in a new registry.
func New() *Metrics {
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		requests:     newCounterVec("requests_total", "Requests answered, by group and status; 0 is a connection that was broken or left.", "group", "status"),
		attempts:     newCounterVec("tries_total", "Tries at upstreams, by group and how they ended.", "group", "outcome"),
		limited:      newCounterVec("limited_tries_total", "Tries at upstreams that limit their requests or are warming up, by group.", "group"),
		heldBack:     newCounterVec("limit_held_back_total", "Tries that went elsewhere because the preferred upstream limits its requests or is warming up, by group.", "group"),
		refusals:     newCounterVec("refusals_total", "Requests refused as not run, by cause.", "cause"),
		reachability: newCounterVec("directory_reads_total", "Times that a directory of the platform came in or out of reach.", "directory", "result"),
		loadReports:  newCounterVec("load_reports_total", "Load reports that were asked for, by result.", "result"),
		loadChecks:   newCounterVec("load_checks_total", "Upstreams asked for their load right before a request was sent, by result: kept, moved to another upstream, or lost because no upstream may get the request.", "result"),
		peerMessages: newCounterVec("peer_messages_sent_total", "Messages sent to other balancers, by purpose.", "purpose"),
		peerBytes:    newCounterVec("peer_bytes_sent_total", "Bytes of the messages sent to other balancers, by purpose.", "purpose"),
		responses:    newCounterVec("response_bytes_total", "Bytes of the bodies of upstreams' responses, by where the upstream is: near for this data centre, else remote.", "upstream"),
		dropped:      newCounterVec("messages_dropped_total", "Messages dropped for lack of memory, by kind.", "kind"),
		confirmed:    newCounterVec("configuration_confirmed_total", "Times that the configuration in force was found to be the newest, by source: read for an own read, peer for another balancer.", "source"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its answer, by group.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, 2, bucketCount),
		}, []string{"group"}),
		hedges:         newCounterVec("hedges_total", "Hedges within the operators' limit, by group and result: started, won.", "group", "result"),
		hedgesGivenUp:  newCounterVec("hedges_given_up_total", "Requests that took long and were not hedged in time, by group and reason.", "group", "reason"),
		extraWorkShare: newGaugeVec("hedges_extra_work_share", "Hedges of the last 10 seconds as a share of the idempotent requests, by group.", "group"),
		knownDurations: newGaugeVec("durations_known", "Recent attempts in the distribution of durations that the balancers of the data centre share, by route.", "route"),
		durationsAge:   newGaugeVec("durations_age_seconds", "Time since an attempt was last added to that distribution, by route.", "route"),
		connections:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_connections_opened_total", Help: "Connections opened to upstreams."}),
		version:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "configuration_version", Help: "Version of the configuration in force, 0 for none."}),
		upstreams: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "upstreams", Help: "Upstreams known, by state.",
		}, []string{"state"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.attempts, m.limited, m.heldBack, m.refusals, m.reachability, m.loadReports, m.loadChecks, m.peerMessages, m.peerBytes, m.responses, m.dropped, m.connections, m.version, m.upstreams, m.confirmed,
		m.hedges, m.hedgesGivenUp, m.extraWorkShare, m.knownDurations, m.durationsAge,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// RegisterGauge registers a gauge and panics if the name is taken. The value function is called at each scrape and must
// be safe for concurrent use.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Answered counts a request with the status of its response and records its latency.
func (m *Metrics) Answered(group string, status int, latency time.Duration) {
	m.requests.WithLabelValues(group, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(group).Observe(latency.Seconds())
}

// AttemptEnded counts an attempt at an upstream by its outcome.
func (m *Metrics) AttemptEnded(group, outcome string) {
	m.attempts.WithLabelValues(group, outcome).Inc()
}

// LimitedAttempt counts an attempt at an upstream that limits its requests or is warming up.
func (m *Metrics) LimitedAttempt(group string) { m.limited.WithLabelValues(group).Inc() }

// LimitHeldBack counts an attempt that went to another upstream because of the request limit of the preferred one.
func (m *Metrics) LimitHeldBack(group string) { m.heldBack.WithLabelValues(group).Inc() }

// Refused counts a request that no upstream ran, by the cause of its refusal.
func (m *Metrics) Refused(cause string) { m.refusals.WithLabelValues(cause).Inc() }

// ReachabilityChanged counts a directory becoming unreachable (result lost) or reachable (result back).
func (m *Metrics) ReachabilityChanged(directory, result string) {
	m.reachability.WithLabelValues(directory, result).Inc()
}

// LoadReportRequested counts a requested load report, with result taken or missing.
func (m *Metrics) LoadReportRequested(result string) { m.loadReports.WithLabelValues(result).Inc() }

// LoadChecked counts a check right before a request was sent; result is kept, moved or lost.
func (m *Metrics) LoadChecked(result string) { m.loadChecks.WithLabelValues(result).Inc() }

// PeerMessageSent counts a message to another balancer by its purpose.
func (m *Metrics) PeerMessageSent(purpose string, bytes int) {
	m.peerMessages.WithLabelValues(purpose).Inc()
	m.peerBytes.WithLabelValues(purpose).Add(float64(bytes))
}

// ResponseReceived counts the body of an upstream's response; near is set for an upstream of this data centre.
func (m *Metrics) ResponseReceived(near bool, bytes int) {
	place := "remote"
	if near {
		place = "near"
	}
	m.responses.WithLabelValues(place).Add(float64(bytes))
}

// MessageDropped counts a message that was dropped for lack of memory.
func (m *Metrics) MessageDropped(kind string) { m.dropped.WithLabelValues(kind).Inc() }

// ConfigurationConfirmed counts a proof that the configuration in force is the newest, by its source: read or peer.
func (m *Metrics) ConfigurationConfirmed(source string) { m.confirmed.WithLabelValues(source).Inc() }

// ConnectionOpened counts a new connection to an upstream.
func (m *Metrics) ConnectionOpened() { m.connections.Inc() }

// SetVersion sets the version of the configuration in force.
func (m *Metrics) SetVersion(version int64) { m.version.Set(float64(version)) }

// SetUpstreams sets the number of known upstreams in each state.
func (m *Metrics) SetUpstreams(ready, draining, lapsed int) {
	m.upstreams.WithLabelValues("ready").Set(float64(ready))
	m.upstreams.WithLabelValues("draining").Set(float64(draining))
	m.upstreams.WithLabelValues("lapsed").Set(float64(lapsed))
}

// Handler returns the handler of the metrics page.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
