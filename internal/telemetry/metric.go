package telemetry

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is the type of a metric, as in the Prometheus text format.
type Kind string

const (
	// KindCounter never decreases within a process.
	KindCounter Kind = "counter"
	// KindGauge may increase and decrease.
	KindGauge Kind = "gauge"
	// KindHistogram counts observations by bucket.
	KindHistogram Kind = "histogram"
)

// Metric describes one exported metric.
type Metric struct {
	// Name includes the namespace.
	Name string
	Kind Kind
	// Help describes the metric, with its unit unless it is a plain count.
	Help string
	// Labels lists the label names in order.
	Labels []string
}

// addMetric records a metric for Metrics.
func (r *Registry) addMetric(kind Kind, name, help string, labels ...string) {
	r.metrics = append(r.metrics, Metric{
		Name: prometheus.BuildFQName(Namespace, "", name), Kind: kind, Help: help, Labels: labels,
	})
}

// Metrics returns the metrics registered through this registry, sorted by name,
// without those of the process and the Go runtime.
func (r *Registry) Metrics() []Metric {
	sorted := slices.Clone(r.metrics)
	slices.SortFunc(sorted, func(a, b Metric) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

const referenceHeader = `# Metrics of a router

Generated from the code by "go generate ./internal/router".

A router serves these on /metrics in the Prometheus text format, along with the
standard process_* metrics (processor time, memory, open files) and go_* metrics
(runtime) of the Prometheus client. Counters start at zero with each process.
No label holds a key, a request identifier, or text of a prompt or an answer.
docs/operators/handbook.md lists the ones to watch, and what to do.

| Metric | Kind | Labels | Meaning |
|---|---|---|---|
`

// Reference returns the reference page of the metrics.
func (r *Registry) Reference() []byte { return r.ReferenceWithHeader(referenceHeader) }

// ReferenceWithHeader is like Reference with another header, which must end with
// the head of the table.
func (r *Registry) ReferenceWithHeader(header string) []byte {
	var page bytes.Buffer
	page.WriteString(header)
	for _, metric := range r.Metrics() {
		labels := "none"
		if len(metric.Labels) > 0 {
			labels = "`" + strings.Join(metric.Labels, "`, `") + "`"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", metric.Name, metric.Kind, labels, metric.Help)
	}
	return page.Bytes()
}
