package telemetry

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fieldpond/fieldpond/internal/ring"
)

var (
	ringDepth    = ringDescription("depth", "Items waiting in a ring.")
	ringCapacity = ringDescription("capacity", "The most items a ring can hold.")
	ringPushed   = ringDescription("pushed_total", "Items accepted by a ring.")
	ringDropped  = ringDescription("dropped_total", "Items refused or dropped by a full ring.")
)

func ringDescription(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(Namespace, "ring", name), help, []string{"ring"}, nil)
}

// ringCollector reads the rings' counters when the counters are asked for.
type ringCollector struct {
	mutex sync.Mutex
	rings []func() ring.Counters
}

// RegisterRing adds a ring by its Counters method. Rings of the same name,
// such as those of one duty for each engine, are added up.
func (r *Registry) RegisterRing(counters func() ring.Counters) {
	r.rings.mutex.Lock()
	defer r.rings.mutex.Unlock()
	r.rings.rings = append(r.rings.rings, counters)
}

// Describe implements prometheus.Collector.
func (c *ringCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{ringDepth, ringCapacity, ringPushed, ringDropped} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *ringCollector) Collect(metrics chan<- prometheus.Metric) {
	c.mutex.Lock()
	rings := append([]func() ring.Counters(nil), c.rings...)
	c.mutex.Unlock()
	sums := map[string]ring.Counters{}
	for _, read := range rings {
		counters := read()
		sum := sums[counters.Name]
		sum.Depth += counters.Depth
		sum.Capacity += counters.Capacity
		sum.Pushed += counters.Pushed
		sum.Dropped += counters.Dropped
		sums[counters.Name] = sum
	}
	for name, sum := range sums {
		metrics <- prometheus.MustNewConstMetric(ringDepth, prometheus.GaugeValue, float64(sum.Depth), name)
		metrics <- prometheus.MustNewConstMetric(ringCapacity, prometheus.GaugeValue, float64(sum.Capacity), name)
		metrics <- prometheus.MustNewConstMetric(ringPushed, prometheus.CounterValue, float64(sum.Pushed), name)
		metrics <- prometheus.MustNewConstMetric(ringDropped, prometheus.CounterValue, float64(sum.Dropped), name)
	}
}
