package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// BenchmarkOfferAndDispatch offers one item and dispatches one while every
// tenant has an item waiting in one of eight pools and three classes.
func BenchmarkOfferAndDispatch(b *testing.B) {
	for _, tenants := range []int{10, 1000, 23000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			queue, items := filled(tenants)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				done := false
				queue.Pump(now, func(item *Item) Result {
					if done {
						return Result{Action: PoolBlocked}
					}
					done = true
					items = append(items, *item)
					return Result{Action: Dispatched}
				})
				queue.Offer(now, items[0])
				items = items[:0]
			}
		})
	}
}

// BenchmarkMemory reports the bytes held for one waiting item of its own tenant.
func BenchmarkMemory(b *testing.B) {
	const tenants = 23000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		queue, _ := filled(tenants)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(queue)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/tenants, "B/item")
}

func filled(tenants int) (*Queue, []Item) {
	queue := NewQueue(Config{MaxWaiting: 2 * tenants})
	for index := range tenants {
		queue.Offer(start, Item{
			ID: ident.Request(fmt.Sprintf("request-%d", index)), Tenant: ident.Tenant(fmt.Sprintf("tenant-%d", index)),
			Priority: index % 3, Pool: PoolKey(fmt.Sprintf("pool-%d", index%8)),
			Cost: float64(100 + index%1000), MaxHold: 10000 * time.Hour,
		})
	}
	return queue, make([]Item, 0, 1)
}

// BenchmarkPumpHeld pumps while every item is held by itself, the most work a
// Pump can be.
func BenchmarkPumpHeld(b *testing.B) {
	for _, tenants := range []int{10, 1000, 23000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			queue, _ := filled(tenants)
			for b.Loop() {
				queue.Pump(start, func(*Item) Result { return Result{Action: ItemBlocked} })
			}
		})
	}
}
