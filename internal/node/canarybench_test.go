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

// BenchmarkDirectingASecond plays a second of a rollout at its holder and at one other
// router, for the sizes of fleet designed for, with three routes at a few back ends of the
// target. It reports the bytes of both a second, apart from the headers of datagrams.
func BenchmarkDirectingASecond(b *testing.B) {
	for _, routers := range []int{83, 390} {
		b.Run(fmt.Sprint(routers, " routers"), func(b *testing.B) {
			fleet := newBenchFleet(routers)
			b.ResetTimer()
			for b.Loop() {
				fleet.second()
			}
			b.ReportMetric(float64(fleet.permits)/float64(b.N), "permit-B/s")
			b.ReportMetric(float64(fleet.reports)/float64(b.N), "report-B/s")
			b.ReportMetric(float64(fleet.reports)/float64(b.N)/float64(routers-1), "report-B/s/router")
		})
	}
}

// benchFleet is a holder, and as many gates as there are other routers.
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
		c := newCanaries(guardedBounds, &canaries{
			self:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1),
			peers: func() []netip.AddrPort { return addrs }, metrics: newMetrics(func() reading { return reading{} }),
		})
		c.applyList(f.now.Add(-time.Second), records)
		c.setRollouts(f.now, known)
		addrs = append(addrs, c.self)
		return c
	}
	f.holder = create(0)
	f.holder.send = f.pass
	for number := 1; number < routers; number++ {
		other := create(number)
		other.send = func(_ netip.AddrPort, told datagram) { f.reports += size(told) }
		f.others[other.self] = other
	}
	f.holder.hold(f.now, 1)
	f.holder.directing.director.ApplyState(f.now, canary.State{Order: known.orders[0], Phase: canary.Observing, Ceiling: 1 << 20, Fence: 1}, 1)
	return f
}

func size(told datagram) int {
	encoded, err := cbor.Marshal(told)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

// pass hands a permit to its router, and its report to the holder.
func (f *benchFleet) pass(to netip.AddrPort, told datagram) {
	f.permits += size(told)
	other := f.others[to]
	other.gate.ApplyPermit(f.now, told.Permit)
	report := other.gate.Report(f.now, "s")
	f.reports += size(datagram{Report: report})
	f.holder.directing.director.ApplyReport(f.now, to, report)
}

// second plays a second: each router serves a request of each route at either release.
func (f *benchFleet) second() {
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
		f.holder.directing.observe(f.now, f.holder.rollouts, records, addrs)
		for _, action := range f.holder.directing.director.Step(f.now) {
			if tell, told := action.(canary.SendPermit); told && tell.To != f.holder.self {
				f.pass(tell.To, datagram{Permit: tell.Permit})
			}
		}
	}
}
