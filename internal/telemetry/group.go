package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Group exports metrics of a component that keeps its own counters. Each scrape
// reads the component once and derives every metric of the group from that
// reading. Add the metrics, then call Register.
type Group[Reading any] struct {
	registry *Registry
	read     func() (Reading, bool)
	members  []groupMember[Reading]
}

type groupMember[Reading any] struct {
	description *prometheus.Desc
	valueType   prometheus.ValueType
	values      func(Reading) map[string]float64
	labelled    bool
}

// NewGroup returns an empty group. If read returns false, the scrape omits the
// group's metrics.
func NewGroup[Reading any](registry *Registry, read func() (Reading, bool)) *Group[Reading] {
	return &Group[Reading]{registry: registry, read: read}
}

// Counter adds a counter without labels.
func (g *Group[Reading]) Counter(name, help string, value func(Reading) uint64) {
	g.add(KindCounter, name, help, nil, func(reading Reading) map[string]float64 {
		return map[string]float64{"": float64(value(reading))}
	})
}

// Gauge adds a gauge without labels.
func (g *Group[Reading]) Gauge(name, help string, value func(Reading) int) {
	g.add(KindGauge, name, help, nil, func(reading Reading) map[string]float64 {
		return map[string]float64{"": float64(value(reading))}
	})
}

// Labelled adds a metric with one label; values maps label values to samples.
func (g *Group[Reading]) Labelled(kind Kind, name, help, label string, values func(Reading) map[string]float64) {
	g.add(kind, name, help, []string{label}, values)
}

func (g *Group[Reading]) add(kind Kind, name, help string, labels []string, values func(Reading) map[string]float64) {
	valueType := prometheus.GaugeValue
	if kind == KindCounter {
		valueType = prometheus.CounterValue
	}
	g.registry.addMetric(kind, name, help, labels...)
	g.members = append(g.members, groupMember[Reading]{
		description: prometheus.NewDesc(prometheus.BuildFQName(Namespace, "", name), help, labels, nil),
		valueType:   valueType,
		values:      values,
		labelled:    len(labels) > 0,
	})
}

// Register starts the export. It panics if a name is already registered.
func (g *Group[Reading]) Register() { g.registry.registry.MustRegister(g) }

// Describe implements prometheus.Collector.
func (g *Group[Reading]) Describe(descriptions chan<- *prometheus.Desc) {
	for _, member := range g.members {
		descriptions <- member.description
	}
}

// Collect implements prometheus.Collector.
func (g *Group[Reading]) Collect(metrics chan<- prometheus.Metric) {
	reading, readable := g.read()
	if !readable {
		return
	}
	for _, member := range g.members {
		for label, value := range member.values(reading) {
			var labels []string
			if member.labelled {
				labels = []string{label}
			}
			metrics <- prometheus.MustNewConstMetric(member.description, member.valueType, value, labels...)
		}
	}
}
