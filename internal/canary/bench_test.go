package canary

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// BenchmarkNoOrder measures a request without any order.
func BenchmarkNoOrder(b *testing.B) {
	gate := NewGate(GateConfig{Incarnation: testIncarnation, Bounds: modelBounds})
	gate.SetReleases(at(0), modelService, []ident.Release{modelOld})
	gate.ApplySnapshot(at(0), at(time.Millisecond), Snapshot{})
	to, sample := record(modelOld, 0), Sample{Route: "draft", Outcome: Answered, Elapsed: time.Second, Predicted: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		if gate.Active() {
			b.Fatal("restricted without an order")
		}
		gate.Ended(testEpoch, gate.Sent(testEpoch, modelService, to), sample)
	}
}

// BenchmarkObserving measures a request while a target is observed.
func BenchmarkObserving(b *testing.B) {
	gate := gateWithOrder()
	gate.ApplyPermit(at(time.Second), permitWith(func(p *Permit) { p.Fraction, p.MaxSends = 0.1, 1<<30 }))
	old, fresh := record(modelOld, 0), record(modelNew, 0)
	sample := Sample{Route: "draft", Outcome: Answered, Elapsed: time.Second, Predicted: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		to := old
		if releases := gate.Choose(at(time.Second), testRequest); releases.Only != "" {
			to = fresh
		}
		gate.Ended(testEpoch, gate.Sent(testEpoch, modelService, to), sample)
	}
}

// BenchmarkReport makes and encodes a report on four routes and eight back ends of the
// target.
func BenchmarkReport(b *testing.B) {
	gate := gateWithOrder()
	for index := range 4000 {
		to := record(modelOld, index%70)
		if index%10 == 0 {
			to = record(modelNew, index/40%8)
		}
		elapsed := time.Duration(500+index%1500) * time.Millisecond
		run := gate.Sent(at(time.Second), modelService, to)
		gate.Ended(at(time.Second), run, Sample{Route: fmt.Sprintf("caption-draft-%d", index/10%4), Outcome: Answered, Elapsed: elapsed, Predicted: time.Second})
	}
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := cbor.Marshal(gate.Report(at(time.Second), modelService))
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(encoded)
	}
	b.ReportMetric(float64(bytes), "bytes")
}

// BenchmarkPermit encodes a permit.
func BenchmarkPermit(b *testing.B) {
	permit := permitWith(func(p *Permit) { p.Proved, p.Seed = []ident.Release{modelOld}, 1<<40 })
	bytes := 0
	for b.Loop() {
		encoded, err := cbor.Marshal(permit)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(encoded)
	}
	b.ReportMetric(float64(bytes), "bytes")
}

// BenchmarkDirector measures one round of permits and reports at the holder.
func BenchmarkDirector(b *testing.B) {
	for _, routers := range []int{83, 390} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			h := undisturbedHistory()
			h.routers, h.duration = routers, time.Hour
			m := newModel(h)
			for m.now = modelStart; m.now < modelStart+4*time.Second; m.now += modelStep {
				m.step()
			}
			director, reports := m.directors[m.holder], make([]*Report, routers)
			for index, router := range m.routers {
				reports[index] = router.gate.Report(m.time(), modelService)
			}
			for b.Loop() {
				m.now += 2 * defaultTick
				for index, router := range m.routers {
					report := *reports[index]
					report.Clock += m.now
					director.ApplyReport(m.time(), router.address, &report)
				}
				director.Step(m.time())
			}
		})
	}
}
