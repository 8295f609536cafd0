package telemetry

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is the kind of a metric, in the words of the Prometheus text form.
type Kind string

const (
	// KindCounter only grows while the process lives.
	KindCounter Kind = "counter"
	// KindGauge goes up and down.
	KindGauge Kind = "gauge"
	// KindHistogram counts observations by size.
	KindHistogram Kind = "histogram"
)

// Metric describes one exported metric.
type Metric struct {
	// Name is the whole name, with the namespace.
	Name string
	Kind Kind
	// Help says what is counted, and the unit if it is not a number of things.
	Help string
	// Labels lists the label names in order; empty means none.
	Labels []string
}

// addMetric notes a metric for Metrics.
func (r *Registry) addMetric(kind Kind, name, help string, labels ...string) {
	r.metrics = append(r.metrics, Metric{
		Name: prometheus.BuildFQName(Namespace, "", name), Kind: kind, Help: help, Labels: labels,
	})
}

// Metrics returns every metric registered through this registry, by name. The
// collectors of the process and of the Go runtime are not among them.
func (r *Registry) Metrics() []Metric {
	sorted := slices.Clone(r.metrics)
	slices.SortFunc(sorted, func(a, b Metric) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

const referenceHeader = `# Metrics of a router

Generated from the code by "go generate ./internal/router".

A router serves these on /metrics in the Prometheus text form, beside the
standard process_* metrics (processor time, memory, open files) and go_* metrics
(runtime) of the Prometheus client. Counters start at zero with each process.
No label holds a key, a request identifier, or text of a prompt or an answer.
docs/operators/handbook.md says which of them to watch, and what to do.

| Metric | Kind | Labels | Meaning |
|---|---|---|---|
`

// Reference returns the reference page of the registry's metrics.
func (r *Registry) Reference() []byte { return r.ReferenceWithHeader(referenceHeader) }

// ReferenceWithHeader returns the reference page under another header, which ends
// with the head of the table.
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
