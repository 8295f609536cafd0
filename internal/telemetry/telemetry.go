// Package telemetry provides the metrics and the log of a process.
//
// Events of each request are counted; log lines are written only for changes of
// state. Metric names start with "fieldpond_". Label values are names from the
// fleet file and fixed strings, never text of a prompt or an answer, a key or a
// request identifier, so that cardinality is bounded.
package telemetry

import (
	"io"
	"net/http"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Namespace is the prefix of every metric name.
const Namespace = "fieldpond"

// SetUpLogging writes the process's log to writer as JSON lines, from the given
// level up ("debug", "info", "warn" or "error").
func SetUpLogging(writer io.Writer, level string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return errors.Wrapf(err, "log level %q", level)
	}
	log.SetLevel(parsed)
	log.SetHandler(json.New(writer))
	return nil
}

// Registry holds the metrics of one process.
type Registry struct {
	registry *prometheus.Registry
	metrics  []Metric
	rings    *ringCollector
	charts   *chartObserver
	refusals *prometheus.CounterVec
}

// New returns a registry with the standard metrics: process, Go runtime, rings,
// state charts and refusals.
func New() *Registry {
	r := &Registry{
		registry: prometheus.NewRegistry(),
		rings:    newRingCollector(),
	}
	r.registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
		r.rings,
	)
	r.rings.describe(r)
	r.charts = &chartObserver{
		transitions: r.Counter("chart_transitions_total", "Events taken by state charts.", "chart", "from", "event", "to"),
		ignored:     r.Counter("chart_ignored_total", "Events that the state of a chart ignores.", "chart", "state", "event"),
		rejected:    r.Counter("chart_not_taken_total", "Events refused by state charts; any is a fault of the program.", "chart", "state", "event", "reason"),
	}
	r.refusals = r.Counter("refusals_total", "Requests answered with a fault, by kind and by what ran.", "kind", "ran")
	return r
}

// NewEmpty returns a registry without the standard metrics, for processes with
// little memory.
func NewEmpty() *Registry { return &Registry{registry: prometheus.NewRegistry()} }

// Counter registers and returns a counter; the namespace is prepended to its
// name. It panics if the name is already registered.
func (r *Registry) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	r.addMetric(KindCounter, name, help, labels...)
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.registry.MustRegister(vector)
	return vector
}

// Gauge registers and returns a gauge, as Counter does.
func (r *Registry) Gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	r.addMetric(KindGauge, name, help, labels...)
	vector := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, labels)
	r.registry.MustRegister(vector)
	return vector
}

// Histogram registers and returns a histogram, as Counter does.
func (r *Registry) Histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	r.addMetric(KindHistogram, name, help, labels...)
	options := prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}
	vector := prometheus.NewHistogramVec(options, labels)
	r.registry.MustRegister(vector)
	return vector
}

// CountRefusal counts a request that was answered with a fault.
func (r *Registry) CountRefusal(refusal *fault.Fault) {
	r.refusals.WithLabelValues(string(refusal.Kind), string(refusal.Ran)).Inc()
}

// Handler serves the metrics in the Prometheus text format.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}
