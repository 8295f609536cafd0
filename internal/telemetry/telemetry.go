// Package telemetry holds the counters and the log of a process.
//
// Counters come first: whatever happens for each request is counted, and a log
// line is written only for a change of state. Names start with "fieldpond_";
// labels hold names of the fleet file and fixed words only, never text of a
// prompt or an answer, a key or a request identifier, so their number is bounded.
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

// Namespace starts the name of every counter.
const Namespace = "fieldpond"

// SetUpLogging sends the process's log lines to writer, one JSON object a
// line, from the given level on ("debug", "info", "warn" or "error").
func SetUpLogging(writer io.Writer, level string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return errors.Wrapf(err, "log level %q", level)
	}
	log.SetLevel(parsed)
	log.SetHandler(json.New(writer))
	return nil
}

// Registry holds the counters of one process.
type Registry struct {
	registry *prometheus.Registry
	metrics  []Metric
	rings    *ringCollector
	charts   *chartObserver
	refusals *prometheus.CounterVec
}

// New returns a registry with the counters every process has: CPU and memory
// of the process, the Go runtime, rings, state charts and refusals.
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

// NewEmpty returns a registry that holds nothing of its own, for processes whose
// memory is dear.
func NewEmpty() *Registry { return &Registry{registry: prometheus.NewRegistry()} }

// Counter registers and returns a counter; its name gets the namespace. A
// name that is registered twice is a fault of the program and panics.
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

// Handler serves the counters in the Prometheus text form.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}
