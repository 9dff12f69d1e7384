// Package cvnodemetrics is the counters and histograms of a balancer that serves a directory's routes, for Prometheus.
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
	// namespace begins the names of all metrics.
	namespace = "comfreyvale"
	// firstBucket and bucketCount make the buckets of the request histogram: 4 ms to 8 s.
	firstBucket = 0.004
	bucketCount = 12
)

// Metrics holds the metrics. Their labels take values from closed lists, but for groups, which the configuration bounds.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	tries     *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	reads     *prometheus.CounterVec
	reports   *prometheus.CounterVec
	opened    prometheus.Counter
	version   prometheus.Gauge
	upstreams *prometheus.GaugeVec
}

// New returns counters in a registry of their own.
func New() *Metrics {
	c := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: counters("requests_total", "Requests answered, by group and status; 0 is a connection that was broken or left.", "group", "status"),
		tries:    counters("tries_total", "Tries at upstreams, by group and how they ended.", "group", "outcome"),
		refusals: counters("refusals_total", "Requests refused as not run, by cause.", "cause"),
		reads:    counters("directory_reads_total", "Times that a directory of the platform came in or out of reach.", "directory", "result"),
		reports:  counters("load_reports_total", "Load reports that were asked for, by result.", "result"),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its answer, by group.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, 2, bucketCount),
		}, []string{"group"}),
		opened:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_connections_opened_total", Help: "Connections opened to upstreams."}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "configuration_version", Help: "Version of the configuration in force, 0 for none."}),
		upstreams: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "upstreams", Help: "Upstreams known, by state.",
		}, []string{"state"}),
	}
	c.registry.MustRegister(c.requests, c.seconds, c.tries, c.refusals, c.reads, c.reports, c.opened, c.version, c.upstreams,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return c
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// RegisterGauge serves a figure that is asked for when the metrics are read.
func (c *Metrics) RegisterGauge(name, help string, value func() float64) {
	c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Answered counts a request with the status of its answer.
func (c *Metrics) Answered(group string, status int, took time.Duration) {
	c.requests.WithLabelValues(group, strconv.Itoa(status)).Inc()
	c.seconds.WithLabelValues(group).Observe(took.Seconds())
}

// AttemptEnded counts a try at an upstream.
func (c *Metrics) AttemptEnded(group, outcome string) { c.tries.WithLabelValues(group, outcome).Inc() }

// Refused counts a request that was refused as not run.
func (c *Metrics) Refused(cause string) { c.refusals.WithLabelValues(cause).Inc() }

// ReachabilityChanged counts a directory that came in or out of reach.
func (c *Metrics) ReachabilityChanged(directory, result string) {
	c.reads.WithLabelValues(directory, result).Inc()
}

// LoadReportRequested counts a load report that was asked for.
func (c *Metrics) LoadReportRequested(result string) { c.reports.WithLabelValues(result).Inc() }

// ConnectionOpened counts a connection to an upstream.
func (c *Metrics) ConnectionOpened() { c.opened.Inc() }

// SetVersion notes the version of the configuration in force.
func (c *Metrics) SetVersion(version int64) { c.version.Set(float64(version)) }

// SetUpstreams notes how many upstreams are known in each state.
func (c *Metrics) SetUpstreams(ready, draining, lapsed int) {
	c.upstreams.WithLabelValues("ready").Set(float64(ready))
	c.upstreams.WithLabelValues("draining").Set(float64(draining))
	c.upstreams.WithLabelValues("lapsed").Set(float64(lapsed))
}

// Handler serves the metrics.
func (c *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{})
}
