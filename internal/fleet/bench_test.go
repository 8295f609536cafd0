package fleet

import (
	"runtime"
	"testing"
)

// BenchmarkAdoptPeak23000Tenants measures the peak heap while a file is parsed and
// compiled beside the one in force. Run it alone with -benchtime 1x, so that it
// starts from a small heap.
func BenchmarkAdoptPeak23000Tenants(b *testing.B) {
	body := manyTenants(b, 23000)
	document, _ := Parse(body, "f")
	inForce := Compile(document, 1, DigestOf(body))
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		next, _ := Parse(body, "f")
		compiled := Compile(next, 2, DigestOf(body))
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(compiled)
	}
	runtime.KeepAlive(inForce)
	b.ReportMetric(float64(before.HeapAlloc)/1e6, "MB-before")
	b.ReportMetric(float64(after.HeapSys-after.HeapReleased)/1e6, "MB-peak")
	b.ReportMetric(float64(len(body))/1e6, "MB-file")
}
