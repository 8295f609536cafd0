package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// throughputMemory is the time constant of the decay.
	throughputMemory = 2 * time.Second
	// minBusyTime and minServedItems are needed for a rate, both after decay.
	minBusyTime    = 250 * time.Millisecond
	minServedItems = 3
	// maxThroughputs bounds the pools remembered without waiting items.
	maxThroughputs = 1024
	// unknownWait is the wait without a known rate.
	unknownWait = time.Second
	// minRetryAfter and maxRetryAfter bound EstimateRetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// throughput estimates the rate at which the waiting items of a pool are dispatched: tokens and
// items over the time in which items waited, all decaying alike.
type throughput struct {
	waiting int
	updated time.Time
	busy    float64
	cost    float64
	items   float64
}

func (t *throughput) advance(now time.Time) {
	elapsed := now.Sub(t.updated)
	if elapsed <= 0 {
		return
	}
	t.updated = now
	decay := math.Exp(-elapsed.Seconds() / throughputMemory.Seconds())
	t.busy *= decay
	t.cost *= decay
	t.items *= decay
	if t.waiting > 0 {
		t.busy += throughputMemory.Seconds() * (1 - decay)
	}
}

func (t *throughput) enter(now time.Time) {
	t.advance(now)
	t.waiting++
}

func (t *throughput) leave(now time.Time) {
	t.advance(now)
	t.waiting--
}

// recordDispatch counts a dispatch. One at the moment the pool began to wait is ignored, as it
// took no busy time.
func (t *throughput) recordDispatch(now time.Time, cost float64) {
	t.advance(now)
	if t.busy > 0 {
		t.cost += cost
		t.items++
	}
}

// rates returns tokens and items a second, if known.
func (t *throughput) rates(now time.Time) (cost, items float64, known bool) {
	t.advance(now)
	if t.busy < minBusyTime.Seconds() || t.items < minServedItems {
		return 0, 0, false
	}
	return t.cost / t.busy, t.items / t.busy, true
}

func (q *Queue) throughputOf(now time.Time, key PoolKey) *throughput {
	if known, found := q.throughputs[key]; found {
		return known
	}
	if len(q.throughputs) >= maxThroughputs {
		for other, candidate := range q.throughputs {
			if candidate.waiting == 0 {
				delete(q.throughputs, other)
			}
		}
	}
	created := &throughput{updated: now}
	q.throughputs[key] = created
	return created
}

// predictedWait returns the shortest expected wait of a new item, zero if unknown. It errs
// towards holding: it returns the sooner of strict order and the starvation bound, and of fair
// order and first in, first out.
func (q *Queue) predictedWait(now time.Time, item Item) time.Duration {
	measured, waits := q.throughputs[item.Pool]
	if !waits || measured.waiting == 0 {
		return 0
	}
	costRate, itemRate, known := measured.rates(now)
	if !known {
		return 0
	}
	urgent, fairCost, fairItems := q.ahead(item)
	strict := (urgent + fairCost) / costRate
	aged := (fairItems + 1) * float64(agingInterval+agedSpacing*q.poolCount()) / itemRate
	if urgent == 0 {
		return seconds(strict)
	}
	return seconds(min(strict, aged))
}

// ahead returns the cost of more urgent items of the pool, and cost and number of the items of
// the same class before it in fair order.
func (q *Queue) ahead(item Item) (urgent, fairCost, fairItems float64) {
	for _, candidate := range q.levels {
		same, waits := candidate.pools[item.Pool]
		if !waits || candidate.priority > item.Priority {
			continue
		}
		if candidate.priority < item.Priority {
			urgent += same.cost
			continue
		}
		share, known := candidate.tenants[item.Tenant]
		if !known {
			continue
		}
		for _, line := range share.flows {
			if line.pool == same {
				others := candidate.weight / share.weight
				fairCost = min(same.cost, line.cost*others)
				fairItems = min(float64(same.count), float64(line.count)*others)
			}
		}
	}
	return urgent, fairCost, fairItems
}

func (q *Queue) poolCount() int {
	count := 0
	for _, candidate := range q.levels {
		count += len(candidate.pools)
	}
	return count
}

// timeToDrain returns the time to serve all waiting items of the item's pool in its class and
// above.
func (q *Queue) timeToDrain(now time.Time, item Item) time.Duration {
	measured, found := q.throughputs[item.Pool]
	if !found {
		return unknownWait
	}
	rate, _, known := measured.rates(now)
	if !known {
		return unknownWait
	}
	waiting := 0.0
	for _, candidate := range q.levels {
		if same, waits := candidate.pools[item.Pool]; waits && candidate.priority <= item.Priority {
			waiting += same.cost
		}
	}
	return seconds(waiting / rate)
}

// seconds converts to a Duration within its range.
func seconds(value float64) time.Duration {
	return time.Duration(min(value, math.MaxInt32) * float64(time.Second))
}

// EstimateRetryAfter returns the Retry-After for a predicted wait. A hash of the request id
// adds up to half of it, so that callers refused together do not retry together. It is between
// 100 ms and one minute.
func EstimateRetryAfter(wait time.Duration, id ident.Request) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter*2/3)
	jitter := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
	return base + time.Duration(jitter*float64(base)/2)
}
