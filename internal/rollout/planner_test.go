package rollout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

const model = ident.Model("m")

var (
	start  = time.Unix(1000, 0)
	config = rollout.Config{Deadline: 8 * time.Second, LoadTime: time.Second, Parallel: 2, Margin: time.Second}
)

// fleet models engines that execute orders immediately.
type fleet struct {
	versions map[ident.Incarnation]int
	orders   map[ident.Incarnation]uint64
	loads    int
	fences   []uint64
	// active is the number of running requests that each engine reports.
	active int
}

func newFleet(count int) *fleet {
	engines := &fleet{versions: map[ident.Incarnation]int{}, orders: map[ident.Incarnation]uint64{}}
	for index := range count {
		engines.versions[ident.Incarnation(fmt.Sprintf("i-%02d", index))] = 1
	}
	return engines
}

func (f *fleet) records() []backend.Record {
	var records []backend.Record
	for name, version := range f.versions {
		records = append(records, backend.Record{Instance: name, Models: map[ident.Model]int{model: version}})
	}
	return records
}

// execute carries out an order if its sequence number is the engine's.
func (f *fleet) execute(order *rollout.Order) rollout.Result {
	name := order.Target.Instance
	if order.Sequence != f.orders[name] {
		return rollout.Conflicting
	}
	f.orders[name]++
	f.versions[name] = order.Version
	f.loads++
	f.fences = append(f.fences, order.Fence)
	return rollout.Accepted
}

func (f *fleet) report(name ident.Incarnation) *rollout.Report {
	return &rollout.Report{Versions: map[ident.Model]int{model: f.versions[name]}, Sequence: f.orders[name], Active: f.active}
}

func published(publications ...catalog.Publication) map[ident.Model]catalog.PublishedVersion {
	return map[ident.Model]catalog.PublishedVersion{model: {Version: publications[len(publications)-1].Version, Publications: publications}}
}

// simulate runs the planner against the fleet in steps of 100ms.
func simulate(planner *rollout.Planner, engines *fleet, models map[ident.Model]catalog.PublishedVersion, from, to time.Duration) {
	for at := from; at < to; at += 100 * time.Millisecond {
		now := start.Add(at)
		planner.Observe(engines.records(), models)
		for _, action := range planner.Plan(now, 7) {
			if action.Order == nil {
				planner.Reported(now, action.Target.Instance, engines.report(action.Target.Instance))
				continue
			}
			planner.Ordered(now, action.Order, engines.execute(action.Order))
		}
	}
}

func TestAllEnginesLoadNewestVersionByDeadline(t *testing.T) {
	is := is.New(t)
	engines := newFleet(6)
	planner := rollout.NewPlanner(config)
	simulate(planner, engines, published(catalog.Publication{Version: 2, SeenAt: start}), 0, 8*time.Second)
	for _, version := range engines.versions {
		is.Equal(version, 2)
	}
	is.Equal(engines.loads, 6)
}

func TestVersionsInQuickSuccessionNeedOneLoad(t *testing.T) {
	is := is.New(t)
	engines := newFleet(2)
	planner := rollout.NewPlanner(config)
	models := published(
		catalog.Publication{Version: 2, SeenAt: start},
		catalog.Publication{Version: 3, SeenAt: start.Add(time.Second)},
		catalog.Publication{Version: 5, SeenAt: start.Add(2 * time.Second)},
	)
	simulate(planner, engines, models, 2*time.Second, 8*time.Second)
	is.Equal(engines.loads, 2)
	is.Equal(engines.versions["i-00"], 5)
}

// Without DeferOrders engines are ordered as soon as a version is observed, a fifth at a time.
func TestVersionIsOrderedAtOnce(t *testing.T) {
	tests := []struct{ engines, want int }{{1, 1}, {2, 1}, {7, 1}, {8, 2}, {12, 2}, {40, 8}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.engines), func(t *testing.T) {
			is := is.New(t)
			engines := newFleet(tt.engines)
			planner := rollout.NewPlanner(rollout.Config{Deadline: 20 * time.Second})
			models := published(catalog.Publication{Version: 2, SeenAt: start})
			planner.Observe(engines.records(), models)
			reports := planner.Plan(start, 7)
			is.Equal(len(reports), tt.want)
			for _, action := range reports {
				is.True(action.Order == nil) // the sequence number is read first
				planner.Reported(start, action.Target.Instance, engines.report(action.Target.Instance))
			}
			orders := planner.Plan(start.Add(100*time.Millisecond), 7)
			is.Equal(len(orders), tt.want)
			for _, action := range orders {
				is.Equal(action.Order.Version, 2)
			}
		})
	}
}

func TestDeferOrders(t *testing.T) {
	is := is.New(t)
	engines := newFleet(2)
	deferring := config
	deferring.DeferOrders = true
	planner := rollout.NewPlanner(deferring)
	models := published(catalog.Publication{Version: 2, SeenAt: start})
	simulate(planner, engines, models, 0, 5*time.Second)
	is.Equal(engines.loads, 0) // one round and the margin need 2s
	simulate(planner, engines, models, 5*time.Second, 8*time.Second)
	is.Equal(engines.loads, 2)
}

func TestParallelChangesAreLimited(t *testing.T) {
	is := is.New(t)
	engines := newFleet(6)
	planner := rollout.NewPlanner(config)
	planner.Observe(engines.records(), published(catalog.Publication{Version: 2, SeenAt: start}))
	late := start.Add(7 * time.Second)
	actions := planner.Plan(late, 7)
	is.Equal(len(actions), 2)
	is.Equal(len(planner.Plan(late, 7)), 0) // one exchange per engine at a time
}

// An order without an answer may be carried out seconds later. By their sequence number only one of
// it and its retry is.
func TestUnansweredOrderIsSettledByReport(t *testing.T) {
	is := is.New(t)
	engines := newFleet(1)
	planner := rollout.NewPlanner(config)
	models := published(catalog.Publication{Version: 2, SeenAt: start.Add(-7 * time.Second)})
	var lost *rollout.Order
	retries := 0
	for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		planner.Observe(engines.records(), models)
		for _, action := range planner.Plan(now, 7) {
			switch {
			case action.Order == nil:
				planner.Reported(now, action.Target.Instance, engines.report(action.Target.Instance))
			case lost == nil:
				lost = action.Order
				planner.Ordered(now, lost, rollout.Unanswered)
			default:
				retries++
				planner.Ordered(now, action.Order, engines.execute(action.Order))
			}
		}
	}
	is.Equal(retries, 1)
	is.Equal(engines.versions["i-00"], 2)
	is.Equal(engines.execute(lost), rollout.Conflicting) // arrives late
	is.Equal(engines.loads, 1)
}

func TestFailedOrdersAreRetried(t *testing.T) {
	cases := []struct {
		result rollout.Result
		again  time.Duration
	}{
		{rollout.Conflicting, time.Second},
		{rollout.Outdated, time.Second},
		{rollout.NotSent, time.Second},
		{rollout.Gone, time.Second},
		{rollout.Unanswered, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.result), func(t *testing.T) {
			is := is.New(t)
			engines := newFleet(1)
			planner := rollout.NewPlanner(config)
			models := published(catalog.Publication{Version: 2, SeenAt: start.Add(-8 * time.Second)})
			failed := false
			for at := time.Duration(0); at <= c.again+300*time.Millisecond; at += 100 * time.Millisecond {
				now := start.Add(at)
				planner.Observe(engines.records(), models)
				for _, action := range planner.Plan(now, 7) {
					switch {
					case action.Order == nil:
						planner.Reported(now, action.Target.Instance, engines.report(action.Target.Instance))
					case !failed:
						failed = true
						planner.Ordered(now, action.Order, c.result)
					default:
						planner.Ordered(now, action.Order, engines.execute(action.Order))
					}
				}
			}
			is.Equal(engines.versions["i-00"], 2) // by a retry
		})
	}
}

func TestDrainingEnginesGetNoOrders(t *testing.T) {
	is := is.New(t)
	planner := rollout.NewPlanner(config)
	records := newFleet(1).records()
	records[0].Draining = true
	planner.Observe(records, published(catalog.Publication{Version: 2, SeenAt: start}))
	is.Equal(len(planner.Plan(start.Add(7*time.Second), 7)), 0)
}

// Engines that do not answer don't use up the limit on parallel changes.
func TestSilentEnginesDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	engines := newFleet(8)
	silent := map[ident.Incarnation]bool{"i-00": true, "i-01": true, "i-02": true}
	planner := rollout.NewPlanner(config)
	models := published(catalog.Publication{Version: 2, SeenAt: start})
	requests := 0
	for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		planner.Observe(engines.records(), models)
		for _, action := range planner.Plan(now, 7) {
			name := action.Target.Instance
			switch {
			case silent[name]:
				requests++
				planner.Reported(now, name, nil)
			case action.Order == nil:
				planner.Reported(now, name, engines.report(name))
			default:
				planner.Ordered(now, action.Order, engines.execute(action.Order))
			}
		}
	}
	for name, version := range engines.versions {
		is.Equal(version == 2, !silent[name])
	}
	is.True(requests < 3*12) // with growing pauses
}

// More engines are changed at one time where the deadline requires it.
func TestParallelismMeetsDeadline(t *testing.T) {
	is := is.New(t)
	engines := newFleet(40)
	planner := rollout.NewPlanner(config)
	type change struct {
		order *rollout.Order
		done  time.Duration
	}
	var running []change // a load takes 0.6s, less than the expected second
	models := published(catalog.Publication{Version: 2, SeenAt: start})
	for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		kept := running[:0]
		for _, current := range running {
			if current.done > at {
				kept = append(kept, current)
				continue
			}
			engines.execute(current.order)
		}
		running = kept
		planner.Observe(engines.records(), models)
		for _, action := range planner.Plan(now, 7) {
			if action.Order == nil {
				report := engines.report(action.Target.Instance)
				report.Busy = slices.ContainsFunc(running, func(current change) bool {
					return current.order.Target.Instance == action.Target.Instance
				})
				planner.Reported(now, action.Target.Instance, report)
				continue
			}
			running = append(running, change{action.Order, at + 600*time.Millisecond})
			planner.Ordered(now, action.Order, rollout.Accepted)
		}
	}
	for _, version := range engines.versions {
		is.Equal(version, 2)
	}
}

// A former holder of the lease may have known a newer version. While its order is carried out, one
// of the next holder could take the engine back to an older version.
func TestBusyEngineGetsNoOrder(t *testing.T) {
	is := is.New(t)
	planner := rollout.NewPlanner(config)
	models := published(catalog.Publication{Version: 2, SeenAt: start})
	records := []backend.Record{{Instance: "i", Models: map[ident.Model]int{model: 1}}}
	report := &rollout.Report{Versions: map[ident.Model]int{model: 1}, Sequence: 1, Busy: true}
	for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		if at == 2*time.Second {
			report = &rollout.Report{Versions: map[ident.Model]int{model: 3}, Sequence: 1}
		}
		planner.Observe(records, models)
		for _, action := range planner.Plan(now, 7) {
			is.True(action.Order == nil)
			planner.Reported(now, "i", report)
		}
	}
	is.Equal(planner.Counters().Orders, uint64(0))
	is.True(planner.Counters().Reports > 5)
}
