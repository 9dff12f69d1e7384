// Package cvmetrics is the set of counters that a balancer offers to Prometheus.
package cvmetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreyvale"
)

// namespace begins the names of all metrics.
const namespace = "comfreyvale"

// Metrics holds the counters. Their labels take values from the accepted configuration and the list of causes alone.
type Metrics struct {
	registry    *prometheus.Registry
	calls       *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	decisions   *prometheus.CounterVec
	appends     *prometheus.CounterVec
	claims      *prometheus.CounterVec
	generation  prometheus.Gauge
	members     prometheus.Gauge
	inFlight    prometheus.Gauge
	peerBytes   *prometheus.CounterVec
	hardLimit   prometheus.Counter
	transitions *prometheus.CounterVec
}

// New returns metrics in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry:    prometheus.NewRegistry(),
		calls:       counters("calls_total", "Calls answered or refused.", "service", "class", "outcome"),
		refusals:    counters("refusals_total", "Calls refused, by cause and by what is known of whether they ran.", "service", "cause", "ran"),
		decisions:   counters("decisions_total", "Decisions that hurt a caller.", "service", "cause"),
		appends:     counters("log_appends_total", "Appends to the platform's log.", "stream", "result"),
		claims:      counters("claims_total", "Claims of keys, by result.", "result"),
		peerBytes:   counters("peer_bytes_total", "Bytes exchanged with other balancers.", "direction"),
		transitions: counters("state_changes_total", "Changes of state that were logged.", "change"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_seconds", Help: "Time from a call's arrival to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"service", "class"}),
		generation: gauge("configuration_generation", "Log offset of the configuration in force."),
		members:    gauge("roster_members", "Balancers in the roster."),
		inFlight:   gauge("calls_in_flight", "Calls in progress."),
		hardLimit: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "stop_limit_used_total", Help: "Calls cut because a planned stop reached its limit.",
		}),
	}
	m.registry.MustRegister(m.calls, m.refusals, m.latency, m.decisions, m.appends, m.claims, m.generation, m.members,
		m.inFlight, m.peerBytes, m.hardLimit, m.transitions,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts a call that got a whole answer.
func (m *Metrics) Answered(service, class string, latency time.Duration) {
	m.calls.WithLabelValues(service, class, "answered").Inc()
	m.latency.WithLabelValues(service, class).Observe(latency.Seconds())
}

// Broken counts a call whose streamed answer ended early.
func (m *Metrics) Broken(service, class string) {
	m.calls.WithLabelValues(service, class, "broken").Inc()
}

// Refused counts a call that was refused.
func (m *Metrics) Refused(service, class string, cause comfreyvale.Cause, ran comfreyvale.Ran) {
	m.calls.WithLabelValues(service, class, "refused").Inc()
	m.refusals.WithLabelValues(service, string(cause), string(ran)).Inc()
}

// DecisionRecorded counts a decision that hurt a caller.
func (m *Metrics) DecisionRecorded(service string, cause comfreyvale.Cause) {
	m.decisions.WithLabelValues(service, string(cause)).Inc()
}

// LogAppended counts an append to one of the system's streams.
func (m *Metrics) LogAppended(stream, result string) { m.appends.WithLabelValues(stream, result).Inc() }

// KeyClaimed counts a claim.
func (m *Metrics) KeyClaimed(result string) { m.claims.WithLabelValues(result).Inc() }

// AddPeerBytes counts bytes sent to or received from other balancers.
func (m *Metrics) AddPeerBytes(direction string, bytes int) {
	m.peerBytes.WithLabelValues(direction).Add(float64(bytes))
}

// SetGeneration notes the generation in force.
func (m *Metrics) SetGeneration(generation int64) { m.generation.Set(float64(generation)) }

// SetMembers notes the size of the roster.
func (m *Metrics) SetMembers(members int) { m.members.Set(float64(members)) }

// AddInFlight changes the number of calls in progress.
func (m *Metrics) AddInFlight(change int) { m.inFlight.Add(float64(change)) }

// StopLimitReached counts a call that was cut by the limit of a planned stop.
func (m *Metrics) StopLimitReached() { m.hardLimit.Inc() }

// StateChanged counts a change of state that was logged.
func (m *Metrics) StateChanged(change string) { m.transitions.WithLabelValues(change).Inc() }
