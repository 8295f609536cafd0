package telemetry

import (
	"maps"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fieldpond/fieldpond/internal/ring"
)

const (
	ringDepthHelp    = "Items waiting in a ring."
	ringCapacityHelp = "The most items a ring can hold."
	ringPushedHelp   = "Items accepted by a ring."
	ringDroppedHelp  = "Items refused or dropped by a full ring."
	ringLabel        = "ring"
)

var (
	ringDepth    = ringDescription("ring_depth", ringDepthHelp)
	ringCapacity = ringDescription("ring_capacity", ringCapacityHelp)
	ringPushed   = ringDescription("ring_pushed_total", ringPushedHelp)
	ringDropped  = ringDescription("ring_dropped_total", ringDroppedHelp)
)

func ringDescription(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(Namespace, "", name), help, []string{ringLabel}, nil)
}

// describe records the collector's metrics in the registry.
func (c *ringCollector) describe(registry *Registry) {
	registry.addMetric(KindGauge, "ring_depth", ringDepthHelp, ringLabel)
	registry.addMetric(KindGauge, "ring_capacity", ringCapacityHelp, ringLabel)
	registry.addMetric(KindCounter, "ring_pushed_total", ringPushedHelp, ringLabel)
	registry.addMetric(KindCounter, "ring_dropped_total", ringDroppedHelp, ringLabel)
}

// ringCollector reads the rings' counters on each scrape.
type ringCollector struct {
	mutex sync.Mutex
	rings map[int]func() ring.Counters
	next  int
	// removed holds the totals of removed rings by name, because counters must
	// not decrease.
	removed map[string]ring.Counters
}

func newRingCollector() *ringCollector {
	return &ringCollector{rings: map[int]func() ring.Counters{}, removed: map[string]ring.Counters{}}
}

// RegisterRing adds a ring by its Counters method. Rings of the same name, such
// as one per engine, are summed. The owner calls remove when it ends; its counts
// stay in the totals.
func (r *Registry) RegisterRing(counters func() ring.Counters) (remove func()) {
	c := r.rings
	c.mutex.Lock()
	defer c.mutex.Unlock()
	number := c.next
	c.next++
	c.rings[number] = counters
	return func() { c.remove(number) }
}

func (c *ringCollector) remove(number int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	read, known := c.rings[number]
	if !known {
		return
	}
	delete(c.rings, number)
	last := read()
	total := c.removed[last.Name]
	total.Pushed += last.Pushed
	total.Dropped += last.Dropped
	c.removed[last.Name] = total
}

// totals returns the counters of all rings, summed by name.
func (c *ringCollector) totals() map[string]ring.Counters {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	totals := maps.Clone(c.removed)
	for _, read := range c.rings {
		counters := read()
		total := totals[counters.Name]
		total.Depth += counters.Depth
		total.Capacity += counters.Capacity
		total.Pushed += counters.Pushed
		total.Dropped += counters.Dropped
		totals[counters.Name] = total
	}
	return totals
}

// Describe implements prometheus.Collector.
func (c *ringCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{ringDepth, ringCapacity, ringPushed, ringDropped} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *ringCollector) Collect(metrics chan<- prometheus.Metric) {
	for name, total := range c.totals() {
		metrics <- prometheus.MustNewConstMetric(ringDepth, prometheus.GaugeValue, float64(total.Depth), name)
		metrics <- prometheus.MustNewConstMetric(ringCapacity, prometheus.GaugeValue, float64(total.Capacity), name)
		metrics <- prometheus.MustNewConstMetric(ringPushed, prometheus.CounterValue, float64(total.Pushed), name)
		metrics <- prometheus.MustNewConstMetric(ringDropped, prometheus.CounterValue, float64(total.Dropped), name)
	}
}
