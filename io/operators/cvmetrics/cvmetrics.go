// Package cvmetrics provides the Prometheus metrics of a balancer whose services come from the configuration stream.
package cvmetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreyvale"
)

const namespace = "comfreyvale"

// Metrics holds the metrics. Label values come from the accepted configuration or from fixed lists, so their number is
// bounded. Metrics is safe for concurrent use.
type Metrics struct {
	registry      *prometheus.Registry
	calls         *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	decisions     *prometheus.CounterVec
	appends       *prometheus.CounterVec
	claims        *prometheus.CounterVec
	generation    prometheus.Gauge
	members       prometheus.Gauge
	inFlight      prometheus.Gauge
	peerBytes     *prometheus.CounterVec
	stopLimitUsed prometheus.Counter
	stateChanges  *prometheus.CounterVec
}

// New returns metrics in a new registry.
func New() *Metrics {
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		calls:        newCounterVec("calls_total", "Calls answered or refused.", "service", "class", "outcome"),
		refusals:     newCounterVec("refusals_total", "Calls refused, by cause and by what is known of whether they ran.", "service", "cause", "ran"),
		decisions:    newCounterVec("decisions_total", "Decisions that hurt a caller.", "service", "cause"),
		appends:      newCounterVec("log_appends_total", "Appends to the platform's log.", "stream", "result"),
		claims:       newCounterVec("claims_total", "Claims of keys, by result.", "result"),
		peerBytes:    newCounterVec("peer_bytes_total", "Bytes exchanged with other balancers.", "direction"),
		stateChanges: newCounterVec("state_changes_total", "Changes of state that were logged.", "change"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_seconds", Help: "Time from a call's arrival to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"service", "class"}),
		generation: newGauge("configuration_generation", "Log offset of the configuration in force."),
		members:    newGauge("roster_members", "Balancers in the roster."),
		inFlight:   newGauge("calls_in_flight", "Calls in progress."),
		stopLimitUsed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "stop_limit_used_total", Help: "Calls cut because a planned stop reached its limit.",
		}),
	}
	m.registry.MustRegister(m.calls, m.refusals, m.latency, m.decisions, m.appends, m.claims, m.generation, m.members,
		m.inFlight, m.peerBytes, m.stopLimitUsed, m.stateChanges,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler returns the handler of the metrics page.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts a call with a complete answer and records its latency.
func (m *Metrics) Answered(service, class string, latency time.Duration) {
	m.calls.WithLabelValues(service, class, "answered").Inc()
	m.latency.WithLabelValues(service, class).Observe(latency.Seconds())
}

// Broken counts a call whose streamed answer ended early.
func (m *Metrics) Broken(service, class string) {
	m.calls.WithLabelValues(service, class, "broken").Inc()
}

// Refused counts a refused call, by cause and by whether it ran.
func (m *Metrics) Refused(service, class string, cause comfreyvale.Cause, ran comfreyvale.Ran) {
	m.calls.WithLabelValues(service, class, "refused").Inc()
	m.refusals.WithLabelValues(service, string(cause), string(ran)).Inc()
}

// DecisionRecorded counts a decision that affected a caller.
func (m *Metrics) DecisionRecorded(service string, cause comfreyvale.Cause) {
	m.decisions.WithLabelValues(service, string(cause)).Inc()
}

// LogAppended counts an append to a log stream.
func (m *Metrics) LogAppended(stream, result string) { m.appends.WithLabelValues(stream, result).Inc() }

// KeyClaimed counts a claim of an idempotency key.
func (m *Metrics) KeyClaimed(result string) { m.claims.WithLabelValues(result).Inc() }

// AddPeerBytes adds to the bytes received from (direction in) or sent to (direction out) other balancers.
func (m *Metrics) AddPeerBytes(direction string, bytes int) {
	m.peerBytes.WithLabelValues(direction).Add(float64(bytes))
}

// SetGeneration sets the generation of the configuration in force.
func (m *Metrics) SetGeneration(generation int64) { m.generation.Set(float64(generation)) }

// SetMembers sets the number of balancers in the roster.
func (m *Metrics) SetMembers(members int) { m.members.Set(float64(members)) }

// AddInFlight adds to the number of in-flight calls.
func (m *Metrics) AddInFlight(change int) { m.inFlight.Add(float64(change)) }

// StopLimitReached counts a call that was cut because a planned stop reached its time limit.
func (m *Metrics) StopLimitReached() { m.stopLimitUsed.Inc() }

// StateChanged counts a logged change of state.
func (m *Metrics) StateChanged(change string) { m.stateChanges.WithLabelValues(change).Inc() }
