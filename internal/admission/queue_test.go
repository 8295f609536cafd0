package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

var start = time.Unix(1000, 0)

// waiting offers count items like the model to the queue.
func waiting(queue *Queue, count int, model Item) (refused []Refused) {
	model.MaxHold = max(model.MaxHold, time.Hour)
	for range count {
		model.ID = ident.Request(fmt.Sprint(queue.Counters().Offered))
		refused = append(refused, queue.Offer(start, model)...)
	}
	return refused
}

// dispatchSome pumps with capacity for count items and returns them.
func dispatchSome(queue *Queue, now time.Time, count int) (gone []Item) {
	queue.Pump(now, func(item *Item) Result {
		if len(gone) == count {
			return Result{Action: PoolBlocked}
		}
		gone = append(gone, *item)
		return Result{Action: Dispatched}
	})
	return gone
}

func TestTenantsShareByWeightAndCost(t *testing.T) {
	is := is.New(t)
	queue := NewQueue(Config{})
	waiting(queue, 1000, Item{Tenant: "large", Cost: 100, Weight: 1})
	waiting(queue, 400, Item{Tenant: "weighty", Cost: 100, Weight: 3})
	waiting(queue, 400, Item{Tenant: "small", Cost: 50, Weight: 1})
	cost := map[ident.Tenant]float64{}
	for _, item := range dispatchSome(queue, start, 300) {
		cost[item.Tenant] += item.Cost
	}
	is.True(cost["weighty"] > 2.9*cost["large"] && cost["weighty"] < 3.1*cost["large"])
	is.True(cost["small"] > 0.95*cost["large"] && cost["small"] < 1.05*cost["large"])
}

func TestTenantsNeitherSaveUpServiceNorLoseIt(t *testing.T) {
	is := is.New(t)
	queue := NewQueue(Config{})
	waiting(queue, 300, Item{Tenant: "early"})
	is.Equal(len(dispatchSome(queue, start, 100)), 100)
	waiting(queue, 100, Item{Tenant: "late"})
	late := 0
	for _, item := range dispatchSome(queue, start, 40) {
		if item.Tenant == "late" {
			late++
		}
	}
	is.True(late >= 19 && late <= 21)
}

func TestLowerClassesGetTheirStatedShare(t *testing.T) {
	is := is.New(t)
	queue := NewQueue(Config{MaxWaitingPerTenant: 8192})
	const lower, pools = 3, 5
	waiting(queue, 2000, Item{Tenant: "busy", Pool: "0"})
	for priority := 1; priority <= lower; priority++ {
		for index := range pools {
			waiting(queue, 100, Item{Tenant: "busy", Priority: priority, Pool: PoolKey(fmt.Sprint(index))})
		}
	}
	type place struct {
		priority int
		pool     PoolKey
	}
	passedOver, urgent := map[place]int{}, 0
	for _, item := range dispatchSome(queue, start, 1000) {
		if item.Priority == 0 {
			urgent++
		}
		for priority := item.Priority + 1; priority <= lower; priority++ {
			for index := range pools {
				passed := place{priority, PoolKey(fmt.Sprint(index))}
				passedOver[passed]++
				is.True(passedOver[passed] <= agingInterval+agedSpacing*(lower*pools+1)) // the stated bound
			}
		}
		passedOver[place{item.Priority, item.Pool}] = 0
	}
	is.True(urgent >= 750)
	is.True(queue.Counters().Aged > 0)
}

func TestBlockedPoolsCostOneDecisionAndHideNothing(t *testing.T) {
	cases := []struct {
		name    string
		blocked Action
		tried   int
	}{
		{"pool blocked: once for all", PoolBlocked, 1},
		{"item blocked: once a tenant and class", ItemBlocked, 20},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			queue := NewQueue(Config{MaxHeldPerPump: 7})
			for tenant := range 10 {
				name := ident.Tenant(fmt.Sprint(tenant))
				waiting(queue, 5, Item{Tenant: name, Pool: "stuck"})
				waiting(queue, 5, Item{Tenant: name, Pool: "stuck", Priority: 2})
				waiting(queue, 5, Item{Tenant: name, Pool: "free", Priority: 2})
			}
			for _, wanted := range []int{50, 0} {
				tried, free := 0, 0
				decide := func(item *Item) Result {
					if item.Pool == "free" {
						free++
						return Result{Action: Dispatched}
					}
					tried++
					return Result{Action: test.blocked}
				}
				for again := 5; again > 0; again-- {
					queue.Pump(start, decide)
					if !queue.Unfinished() {
						break
					}
				}
				is.Equal(tried, test.tried)
				is.Equal(free, wanted) // all of the free pool went, the rest stays
				is.Equal(queue.Len(), 100)
			}
			is.Equal(len(dispatchSome(queue, start, 1000)), 100)
		})
	}
}

func TestFullQueueRefusesAtOnceOrDisplaces(t *testing.T) {
	cases := []struct {
		name    string
		waiting []Item
		offered Item
		refused ident.Tenant
	}{
		{"own class, same tenant", []Item{{Tenant: "a"}, {Tenant: "a"}, {Tenant: "a"}, {Tenant: "a"}}, Item{Tenant: "a"}, "a"},
		{"less urgent waits", []Item{{Tenant: "a"}, {Tenant: "a"}, {Tenant: "b", Priority: 3}, {Tenant: "a"}}, Item{Tenant: "c"}, "b"},
		{"only more urgent waits", []Item{{Tenant: "a"}, {Tenant: "a"}, {Tenant: "a"}, {Tenant: "a"}}, Item{Tenant: "c", Priority: 1}, "c"},
		{"longer backlog in the class", []Item{{Tenant: "a"}, {Tenant: "a"}, {Tenant: "a"}, {Tenant: "b"}}, Item{Tenant: "b"}, "a"},
		{"no longer backlog", []Item{{Tenant: "a"}, {Tenant: "a"}, {Tenant: "b"}, {Tenant: "b"}}, Item{Tenant: "b"}, "b"},
		{"tenant full, own less urgent", []Item{{Tenant: "a"}, {Tenant: "a", Priority: 1}, {Tenant: "a"}, {Tenant: "a"}}, Item{Tenant: "a"}, "a"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			queue := NewQueue(Config{MaxWaiting: 4, MaxWaitingPerTenant: 4})
			for _, item := range test.waiting {
				is.Equal(len(waiting(queue, 1, item)), 0)
			}
			refused := waiting(queue, 1, test.offered)
			is.Equal(len(refused), 1)
			is.Equal(refused[0].Item.Tenant, test.refused)
			is.Equal(refused[0].Fault.Kind, fault.Overloaded)
			is.Equal(refused[0].Fault.Ran, fault.RanNo)
			is.True(refused[0].Fault.RetryAfter > 0)
			is.Equal(queue.Len(), 4)
		})
	}
}

func TestHoldTimeEndsAtItsMoment(t *testing.T) {
	is := is.New(t)
	queue := NewQueue(Config{})
	is.Equal(len(queue.Offer(start, Item{ID: "x", Tenant: "a", MaxHold: 2 * time.Second})), 0)
	moment, some := queue.NextExpiry()
	is.True(some && moment.Equal(start.Add(2*time.Second)))
	is.Equal(len(queue.Expire(moment.Add(-1))), 0)
	refused := queue.Expire(moment)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Fault.Kind, fault.DeadlineExceeded)
	is.Equal(refused[0].Fault.Ran, fault.RanNo)

	queue.Offer(start, Item{ID: "now or never", Tenant: "a"})
	is.Equal(len(dispatchSome(queue, start, 1)), 1) // no hold time, but free capacity
	queue.Offer(start, Item{ID: "never", Tenant: "a"})
	is.Equal(len(queue.Pump(start, func(*Item) Result { return Result{Action: PoolBlocked} })), 1)
	is.Equal(queue.Len()+len(queue.drains)-1, 0)
}

func TestHopelessItemsAreRefusedAtArrival(t *testing.T) {
	is := is.New(t)
	queue := NewQueue(Config{})
	waiting(queue, 1000, Item{Tenant: "a", Cost: 10})
	waiting(queue, 40, Item{Tenant: "b", Cost: 10})
	now := start
	for range 20 { // ten items a second
		now = now.Add(100 * time.Millisecond)
		is.Equal(len(dispatchSome(queue, now, 1)), 1)
	}
	offer := func(item Item) []Refused {
		item.ID, item.Cost = ident.Request(fmt.Sprint(item)), 10
		return queue.Offer(now, item)
	}
	refused := offer(Item{Tenant: "a", MaxHold: 2 * time.Second})
	is.Equal(len(refused), 1) // 990 items ahead at ten a second
	is.Equal(refused[0].Fault.Kind, fault.Overloaded)
	is.True(refused[0].Fault.RetryAfter >= 40*time.Second)
	is.Equal(len(offer(Item{Tenant: "a", MaxHold: 200 * time.Second})), 0)
	is.Equal(len(offer(Item{Tenant: "b", MaxHold: 5 * time.Second})), 1)                 // 30 items ahead at half the rate
	is.Equal(len(offer(Item{Tenant: "new", MaxHold: 2 * time.Second})), 0)               // its share is free
	is.Equal(len(offer(Item{Tenant: "a", Pool: "other", MaxHold: time.Millisecond})), 0) // nothing known
	is.Equal(len(offer(Item{Tenant: "low", Priority: 1, MaxHold: 10 * time.Second})), 0) // by the starvation bound
	is.Equal(len(offer(Item{Tenant: "low", Priority: 1, MaxHold: time.Second})), 1)
}
