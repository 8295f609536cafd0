package endpoint

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// benchRegistry returns a registry whose engines have all reported.
func benchRegistry(count int) *Registry {
	var names []string
	for index := range count {
		names = append(names, fmt.Sprintf("engine-%03d", index))
	}
	registry := newTestRegistry(names...)
	for _, name := range names {
		registry.ObserveReport(start, ident.Engine(name), report("1"))
	}
	return registry
}

// BenchmarkDue looks for the reports to be read, every 50 ms of virtual time.
func BenchmarkDue(b *testing.B) {
	for _, count := range []int{12, 100, 860} {
		b.Run(fmt.Sprint("engines=", count), func(b *testing.B) {
			registry, now, asked := benchRegistry(count), start, 0
			rounds := 0
			for b.Loop() {
				rounds++
				now = now.Add(50 * time.Millisecond)
				asked += len(registry.Due(now, 250*time.Millisecond, 8))
			}
			b.ReportMetric(float64(asked)/float64(rounds)*20, "polls/s")
		})
	}
}

// BenchmarkMemory reports the heap that one engine takes.
func BenchmarkMemory(b *testing.B) {
	const engines = 860
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		registry := benchRegistry(engines)
		registry.Endpoints(start)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(registry)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/engines, "B/engine")
}
