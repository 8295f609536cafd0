package admission

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Counters counts what a Queue did.
type Counters struct {
	// Offered counts items offered, Dispatched those that left to a back end.
	Offered, Dispatched uint64
	// Full, Hopeless, Displaced, Expired and Rejected count refusals: queue
	// full, hold time too short at arrival, pushed out by another item, hold
	// time over, and refused by the decide function.
	Full, HoldTooShort, Displaced, Expired, Rejected uint64
	// Removed counts items whose caller left.
	Removed uint64
	// Aged counts dispatches out of turn for the starvation bound.
	Aged uint64
}

// Queue holds items until they are dispatched or given up.
//
// Order. Classes go by priority. Within a class tenants share by weight,
// counted in cost: the tenant with the least service for its weight goes
// first. A tenant's items for one pool go first in, first out.
//
// Starvation bound. With k pools of classes waiting, a pool that is not
// blocked gets a dispatch after at most 16 + 4k dispatches of more urgent
// classes. At most every fourth dispatch is such a turn, so the regular order
// keeps three quarters.
//
// Bounds. Items are limited in total and by tenant. Over a limit an item of a
// less urgent class is pushed out, or within the class one of a tenant with a
// longer backlog for its weight; if there is none, the new item is refused.
// Every refusal is returned at the moment it is decided.
//
// A Queue is not safe for concurrent use.
type Queue struct {
	config    Config
	levels    []*level
	entries   map[ident.Request]*entry
	expiry    indexedHeap[*entry]
	perTenant map[ident.Tenant]int
	drains    map[PoolKey]*drain
	sequence  uint64
	// sinceAged counts dispatches since the last out of turn.
	sinceAged int
	// aside holds the lines set aside by the current round of Pumps.
	aside      []*flow
	unfinished bool
	counters   Counters
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{
		config:    config.withDefaults(),
		entries:   make(map[ident.Request]*entry),
		perTenant: make(map[ident.Tenant]int),
		drains:    make(map[PoolKey]*drain),
		sinceAged: agedSpacing,
		expiry: indexedHeap[*entry]{
			less: func(a, b *entry) bool {
				if a.expires.Equal(b.expires) {
					return a.sequence < b.sequence
				}
				return a.expires.Before(b.expires)
			},
			index: func(e *entry) *int { return &e.expiryIndex },
		},
	}
}

// Offer adds an item, and returns the items refused because of it: perhaps
// the item itself, perhaps one that it pushed out. Call Pump next.
func (q *Queue) Offer(now time.Time, item Item) []Refused {
	q.counters.Offered++
	item.Weight = orOne(item.Weight)
	item.Cost = max(1, item.Cost)
	if _, twice := q.entries[item.ID]; twice {
		return []Refused{{item, fault.New(fault.Internal, "request %s waits already", item.ID)}}
	}
	if wait := q.predictedWait(now, item); wait > item.MaxHold {
		q.counters.HoldTooShort++
		problem := fault.New(fault.Overloaded, "the predicted wait of %s exceeds the class's hold time of %s", wait.Round(time.Millisecond), item.MaxHold)
		return []Refused{{item, problem.WithRetryAfter(EstimateRetryAfter(wait, item.ID))}}
	}
	var refused []Refused
	if q.full(item) {
		victim := q.victim(item)
		if victim == nil {
			q.counters.Full++
			return []Refused{q.overloaded(now, item, "the queue is full")}
		}
		q.counters.Displaced++
		refused = append(refused, q.overloaded(now, victim.item, "the queue is full and another item went first"))
		q.drop(now, victim)
	}
	q.insert(now, item)
	return refused
}

func orOne(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

func (q *Queue) insert(now time.Time, item Item) {
	q.sequence++
	added := &entry{item: item, expires: now.Add(item.MaxHold), sequence: q.sequence, expiryIndex: notInHeap}
	q.entries[item.ID] = added
	q.perTenant[item.Tenant]++
	q.expiry.add(added)
	q.drain(now, item.Pool).enter(now)
	q.level(item.Priority).add(added)
}

// drop takes an entry out of every structure.
func (q *Queue) drop(now time.Time, gone *entry) {
	item := gone.item
	delete(q.entries, item.ID)
	q.perTenant[item.Tenant]--
	if q.perTenant[item.Tenant] == 0 {
		delete(q.perTenant, item.Tenant)
	}
	q.expiry.remove(gone)
	q.drain(now, item.Pool).leave(now)
	gone.flow.pool.level.remove(gone)
}

func (q *Queue) level(priority int) *level {
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, wanted int) int { return l.priority - wanted })
	if !found {
		q.levels = slices.Insert(q.levels, at, newLevel(priority))
	}
	return q.levels[at]
}

func (q *Queue) full(item Item) bool {
	return len(q.entries) >= q.config.MaxWaiting || q.tenantFull(item)
}

func (q *Queue) tenantFull(item Item) bool {
	return q.perTenant[item.Tenant] >= q.config.MaxWaitingPerTenant
}

// victim returns the entry that has to make room for the item, or nil.
func (q *Queue) victim(item Item) *entry {
	for _, candidate := range slices.Backward(q.levels) {
		if candidate.count == 0 {
			continue
		}
		if candidate.priority < item.Priority {
			return nil
		}
		longest, _ := candidate.longest.top()
		own, waits := candidate.tenants[item.Tenant]
		switch {
		case candidate.priority == item.Priority:
			return q.longerBacklog(item, longest, own)
		case !q.tenantFull(item):
			return longest.newest()
		case waits && own.count > 0:
			return own.newest()
		}
	}
	return nil
}

// longerBacklog returns the newest entry of a tenant of the item's own class
// whose backlog stays longer for its weight even if the item is added.
func (q *Queue) longerBacklog(item Item, longest, own *tenantShare) *entry {
	backlog := 1 / item.Weight
	if own != nil {
		backlog += float64(own.count) / item.Weight
	}
	if q.tenantFull(item) || longest.name == item.Tenant || longest.backlog() <= backlog {
		return nil
	}
	return longest.newest()
}

func (q *Queue) overloaded(now time.Time, item Item, why string) Refused {
	wait := q.timeToDrain(now, item)
	return Refused{item, fault.New(fault.Overloaded, "%s", why).WithRetryAfter(EstimateRetryAfter(wait, item.ID))}
}

// Remove takes out an item whose caller left, and reports whether it waited.
func (q *Queue) Remove(now time.Time, id ident.Request) bool {
	gone, waits := q.entries[id]
	if waits {
		q.counters.Removed++
		q.drop(now, gone)
	}
	return waits
}

// Expire gives up every item whose hold time has ended.
func (q *Queue) Expire(now time.Time) []Refused {
	return q.expire(now, func(expires time.Time) bool { return !expires.After(now) })
}

func (q *Queue) expire(now time.Time, ended func(time.Time) bool) []Refused {
	var refused []Refused
	for {
		first, some := q.expiry.top()
		if !some || !ended(first.expires) {
			return refused
		}
		q.counters.Expired++
		wait := q.timeToDrain(now, first.item)
		problem := fault.New(fault.DeadlineExceeded, "no back end had room within the class's hold time of %s", first.item.MaxHold)
		refused = append(refused, Refused{first.item, problem.WithRetryAfter(EstimateRetryAfter(wait, first.item.ID))})
		q.drop(now, first)
	}
}

// NextExpiry returns when the next hold time ends.
func (q *Queue) NextExpiry() (time.Time, bool) {
	first, some := q.expiry.top()
	if !some {
		return time.Time{}, false
	}
	return first.expires, true
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.entries) }

// Depth returns the number of waiting items of one priority.
func (q *Queue) Depth(priority int) int {
	for _, candidate := range q.levels {
		if candidate.priority == priority {
			return candidate.count
		}
	}
	return 0
}

// Counters returns the counters.
func (q *Queue) Counters() Counters { return q.counters }
