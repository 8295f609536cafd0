package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// BenchmarkRolloutSecond simulates a second of a rollout at its holder and all other routers,
// with three routes. It reports the bytes of permits and reports, without headers of datagrams.
func BenchmarkRolloutSecond(b *testing.B) {
	for _, routers := range []int{83, 390} {
		b.Run(fmt.Sprint(routers, " routers"), func(b *testing.B) {
			fleet := newBenchFleet(routers)
			b.ResetTimer()
			for b.Loop() {
				fleet.simulateSecond()
			}
			b.ReportMetric(float64(fleet.permits)/float64(b.N), "permit-B/s")
			b.ReportMetric(float64(fleet.reports)/float64(b.N), "report-B/s")
			b.ReportMetric(float64(fleet.reports)/float64(b.N)/float64(routers-1), "report-B/s/router")
		})
	}
}

// benchFleet is a holder of the lease and the other routers.
type benchFleet struct {
	holder           *canaries
	others           map[netip.AddrPort]*canaries
	now              time.Time
	permits, reports int
}

func newBenchFleet(routers int) *benchFleet {
	f := &benchFleet{others: map[netip.AddrPort]*canaries{}, now: time.Now()}
	records := recordsOf(oldRelease, newRelease)
	known := &knownRollouts{
		orders: []canary.Order{{Service: "s", Target: newRelease, Duration: time.Hour, Revision: 1}}, readAt: f.now,
	}
	var addrs []netip.AddrPort
	create := func(number int) *canaries {
		c := newCanaries(canaryBounds, &canaries{
			self:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1),
			peers: func() []netip.AddrPort { return addrs }, metrics: newMetrics(func() gaugeValues { return gaugeValues{} }),
		})
		c.applyList(f.now.Add(-time.Second), records)
		c.setRollouts(f.now, known)
		addrs = append(addrs, c.self)
		return c
	}
	f.holder = create(0)
	f.holder.send = f.deliver
	for number := 1; number < routers; number++ {
		other := create(number)
		other.send = func(_ netip.AddrPort, sent datagram) { f.reports += encodedSize(sent) }
		f.others[other.self] = other
	}
	f.holder.setFence(f.now, 1)
	f.holder.term.director.ApplyState(f.now, canary.State{Order: known.orders[0], Phase: canary.Observing, Ceiling: 1 << 20, Fence: 1}, 1)
	return f
}

func encodedSize(sent datagram) int {
	encoded, err := cbor.Marshal(sent)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

// deliver passes a permit to its router, and the router's report to the holder.
func (f *benchFleet) deliver(to netip.AddrPort, sent datagram) {
	f.permits += encodedSize(sent)
	other := f.others[to]
	other.gate.ApplyPermit(f.now, sent.Permit)
	report := other.gate.Report(f.now, "s")
	f.reports += encodedSize(datagram{Report: report})
	f.holder.term.director.ApplyReport(f.now, to, report)
}

// simulateSecond simulates a second, in which each router serves requests of each route at both
// releases.
func (f *benchFleet) simulateSecond() {
	records := recordsOf(oldRelease, newRelease)
	addrs := append(f.holder.peers(), f.holder.self)
	for range 10 {
		f.now = f.now.Add(directTick)
		for _, other := range f.others {
			for route := range 3 {
				record := records[(route*3+int(f.now.UnixMilli()/100))%len(records)]
				run := other.gate.Sent(f.now, "s", record)
				other.gate.Ended(f.now, run, canary.Sample{
					Route: string(ident.Service(fmt.Sprint("route-", route))), Outcome: canary.Answered,
					Elapsed: time.Duration(20+route) * time.Millisecond, Predicted: 10 * time.Millisecond,
				})
			}
		}
		f.holder.term.observe(f.now, f.holder.rollouts, records, addrs)
		for _, action := range f.holder.term.director.Step(f.now) {
			if permit, ok := action.(canary.SendPermit); ok && permit.To != f.holder.self {
				f.deliver(permit.To, datagram{Permit: permit.Permit})
			}
		}
	}
}
