package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkPoolAsk is one claim at the leader of a pool.
func BenchmarkPoolAsk(b *testing.B) {
	for _, size := range []struct{ tenants, routers int }{{16, 79}, {23_000, 390}} {
		b.Run(fmt.Sprintf("%d tenants, %d routers", size.tenants, size.routers), func(b *testing.B) {
			names := make([]Subject, size.tenants)
			for index := range names {
				names[index] = Subject(fmt.Sprint("tenant-", index))
			}
			pool, now := NewPool(Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 110_000}), epoch
			b.ReportAllocs()
			for index := range b.N {
				now = now.Add(250 * time.Microsecond)
				ask := AcquireRequest{ID: uint64(index), Reservation: Reservation{
					Subject: names[index%len(names)], Limit: Limit{Rate: 1e6, Burst: 1e6}, Version: 1, Amount: 9000,
				}}
				pool.Ask(now, addrOf(index%size.routers), &ask, size.routers)
			}
		})
	}
}

// BenchmarkLostMember is what the leader does when a member falls silent.
func BenchmarkLostMember(b *testing.B) {
	for _, tenants := range []int{16, 23_000} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			pool := poolOf(epoch, 100, 100, false)
			for index := range tenants {
				ask := AcquireRequest{ID: uint64(index), Reservation: Reservation{Subject: Subject(fmt.Sprint(index)), Limit: testLimit, Amount: 1}}
				pool.Ask(epoch, addrOf(0), &ask, 100)
			}
			for b.Loop() {
				pool.Join(epoch, addrOf(1), false, 100)
				pool.Leave(epoch, addrOf(1), 100)
			}
		})
	}
}

// BenchmarkMessage encodes and decodes one ask, and reports its length.
func BenchmarkMessage(b *testing.B) {
	ask := AcquireRequest{ID: 1 << 62, Reservation: Reservation{Subject: "jeye930", Limit: Limit{Rate: 573606, Burst: 573606}, Version: 7, Amount: 9190}}
	for b.Loop() {
		encoded, err := cbor.Marshal(Pack(ask))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded)), "B/message")
		var read Datagram
		if err := cbor.Unmarshal(encoded, &read); err != nil {
			b.Fatal(err)
		}
	}
}
