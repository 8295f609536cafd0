package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkPoolAcquire is one request at the leader of a pool.
func BenchmarkPoolAcquire(b *testing.B) {
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
				request := AcquireRequest{ID: uint64(index), Reservation: Reservation{
					Subject: names[index%len(names)], Limit: Limit{Rate: 1e6, Burst: 1e6}, Version: 1, Amount: 9000,
				}}
				pool.Acquire(now, addrOf(index%size.routers), &request, size.routers)
			}
		})
	}
}

// BenchmarkLostMember is the loss of a member at the leader.
func BenchmarkLostMember(b *testing.B) {
	for _, tenants := range []int{16, 23_000} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			pool := poolOf(epoch, 100, 100, false)
			for index := range tenants {
				request := AcquireRequest{ID: uint64(index), Reservation: Reservation{Subject: Subject(fmt.Sprint(index)), Limit: testLimit, Amount: 1}}
				pool.Acquire(epoch, addrOf(0), &request, 100)
			}
			for b.Loop() {
				pool.Join(epoch, addrOf(1), false, 100)
				pool.Leave(epoch, addrOf(1), 100)
			}
		})
	}
}

// BenchmarkMessage encodes and decodes one request and reports its length.
func BenchmarkMessage(b *testing.B) {
	request := AcquireRequest{ID: 1 << 62, Reservation: Reservation{Subject: "jeye930", Limit: Limit{Rate: 573606, Burst: 573606}, Version: 7, Amount: 9190}}
	for b.Loop() {
		encoded, err := cbor.Marshal(Pack(request))
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
