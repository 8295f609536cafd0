package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/membership"
	platform "github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	tables "github.com/fieldpond/fieldpond/standin/platform"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// memoryTable is a store.Table over the stand-in's table that never fails.
type memoryTable struct {
	mutex sync.Mutex
	table *tables.Table
}

func (m *memoryTable) Commit(_ context.Context, transaction platform.Transaction) (platform.TransactionResult, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Apply(transaction)
}

func (m *memoryTable) Read(_ context.Context, key string) (platform.Row, bool, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	row, found := m.table.Read(key)
	return row, found, nil
}

func (m *memoryTable) List(context.Context, string, int) (platform.RowList, error) {
	return platform.RowList{}, fault.New(fault.Internal, "not used")
}

// simulatedEngines are the stand-ins' models behind a network that loses every third answer to an
// order, after the order took effect.
type simulatedEngines struct {
	mutex    sync.Mutex
	models   map[string]*model.Engine
	orders   int
	executed map[string]int
	fences   []uint64
	// loading counts the loads in progress in each zone, maxLoading is the largest such count.
	loading    map[string]int
	maxLoading int
}

func (e *simulatedEngines) Load(_ context.Context, address string) (protocol.LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.models[address].Alive() {
		return protocol.LoadReport{}, fault.New(fault.BackendLost, "refused")
	}
	e.collectTruth(address)
	return e.models[address].LoadReport(time.Now()), nil
}

func (e *simulatedEngines) Order(_ context.Context, address string, order protocol.Order) (protocol.OrderResult, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders++
	result, refusal := e.models[address].Order(time.Now(), order)
	e.collectTruth(address)
	if refusal != nil {
		kind := fault.BackendRefused
		if refusal.Kind == protocol.RefusalStaleFence {
			kind = fault.StaleFence
		}
		return result, fault.Wrap(&engine.RefusedError{Refusal: *refusal}, kind, "refused")
	}
	if e.orders%3 == 0 {
		return result, fault.New(fault.BackendLost, "no answer").WithRan(fault.RanUnknown)
	}
	return result, nil
}

// collectTruth reads the truth records of an engine.
func (e *simulatedEngines) collectTruth(address string) {
	zone := address[:1]
	for _, output := range e.models[address].Advance(time.Now()) {
		switch record := output.Truth; {
		case record == nil:
		case record.Kind == truth.OrderApplied:
			e.executed[record.OrderID]++
			e.fences = append(e.fences, record.Fence)
			if record.OrderKind == string(protocol.OrderLoad) {
				e.loading[zone]++
				e.maxLoading = max(e.maxLoading, e.loading[zone])
			}
		case record.Kind == truth.Loaded:
			e.loading[zone]--
		case record.Kind == truth.Crashed:
			e.loading[zone] = 0
		}
	}
}

// countWarm counts the running engines of a zone that hold one of the versions.
func (e *simulatedEngines) countWarm(zone string, versions ...ident.ModelVersion) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	count := 0
	for address, one := range e.models {
		e.collectTruth(address)
		report := one.LoadReport(time.Now())
		holds := slices.ContainsFunc(report.Loaded, func(loaded protocol.LoadedModel) bool {
			return slices.Contains(versions, loaded.Version)
		})
		if address[:1] == zone && one.Alive() && holds {
			count++
		}
	}
	return count
}

func (e *simulatedEngines) crash(address string, restartAfter time.Duration) {
	e.mutex.Lock()
	e.models[address].Crash(time.Now())
	e.collectTruth(address)
	e.mutex.Unlock()
	time.AfterFunc(restartAfter, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.models[address].Restart(time.Now(), "incarnation-2")
	})
}

func newEngines(file *fleet.Compiled) *simulatedEngines {
	e := &simulatedEngines{models: map[string]*model.Engine{}, executed: map[string]int{}, loading: map[string]int{}}
	for index, target := range file.Engines() {
		config := model.DefaultConfig()
		config.Name, config.Zone = target.Name, target.Zone
		config.Models = []protocol.LoadedModel{{Model: "m", Version: "v1"}}
		e.models[target.Address] = model.New(config, "incarnation-1", rand.New(rand.NewPCG(1, uint64(index))), time.Now())
	}
	return e
}

// controllers are the controllers of two routers over simulated engines.
type controllers struct {
	t            *testing.T
	currentFleet atomic.Pointer[fleet.Compiled]
	models       *simulatedEngines
	byNode       map[ident.Node]*Controller
	stops        map[ident.Node]context.CancelFunc
	running      sync.WaitGroup
}

func newControllers(t *testing.T) *controllers {
	r := &controllers{t: t, byNode: map[ident.Node]*Controller{}, stops: map[ident.Node]context.CancelFunc{}}
	r.currentFleet.Store(compiled(3, "ab", "v1"))
	r.models = newEngines(r.currentFleet.Load())
	table := &memoryTable{table: tables.NewTable()}
	view := membership.View{Members: []membership.Member{{Node: "n1"}, {Node: "n2"}}}
	for _, member := range view.Members {
		ctx, stop := context.WithCancel(t.Context())
		controller := New(Options{
			Node: member.Node, Table: table, Engines: r.models, Fleet: r.currentFleet.Load,
			View: func() membership.View { return view },
		})
		r.byNode[member.Node], r.stops[member.Node] = controller, stop
		r.running.Go(func() { controller.Run(ctx) })
	}
	return r
}

// watch checks, over a span of time, that some engine of each zone serves one of the versions. It
// returns the time until all engines held the last one, 0 if they did not.
func (r *controllers) watch(span time.Duration, versions ...ident.ModelVersion) time.Duration {
	began, done := time.Now(), time.Duration(0)
	last := versions[len(versions)-1]
	for time.Since(began) < span {
		time.Sleep(50 * time.Millisecond)
		if r.models.countWarm("a", versions...) == 0 || r.models.countWarm("b", versions...) == 0 {
			r.t.Fatalf("a zone without an engine that serves %v after %v", versions, time.Since(began))
		}
		if done == 0 && r.countHolding(last) == len(r.models.models) {
			done = time.Since(began)
		}
	}
	return done
}

// countHolding counts the engines that hold a version.
func (r *controllers) countHolding(version ident.ModelVersion) int {
	return r.models.countWarm("a", version) + r.models.countWarm("b", version)
}

func (r *controllers) holder() (name ident.Node) {
	for node, controller := range r.byNode {
		for _, status := range controller.Status() {
			if status.Held {
				name = node
			}
		}
	}
	return name
}

// settled returns the holder's number of settled engines and that of all engines.
func (r *controllers) settled() (counts [2]int) {
	for _, controller := range r.byNode {
		for _, status := range controller.Status() {
			counts[0] += status.Counters.Settled
			counts[1] = status.Counters.Engines
		}
	}
	return counts
}

// Each zone keeps a serving engine through version changes with lost answers, a crash and a change
// of the lease holder.
func TestRollingVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newControllers(t)
		r.watch(10*time.Second, "v1")
		r.currentFleet.Store(compiled(3, "ab", "v2", "v1"))
		r.watch(6*time.Second, "v1", "v2")
		is.True(r.settled()[0] < 6)
		r.models.crash("a2", 5*time.Second) // returns with v1 alone
		r.watch(4*time.Second, "v1", "v2")
		first := r.holder()
		r.stops[first]() // a planned stop during the change
		took := r.watch(2*time.Minute, "v1", "v2")
		is.True(took > 0)
		is.True(r.holder() != first)
		t.Logf("all engines changed %v after the holder's stop", took)
		r.currentFleet.Store(compiled(3, "ab", "v2"))
		r.watch(time.Minute, "v2")
		is.Equal(r.countHolding("v1"), 0)
		is.Equal(r.settled(), [2]int{6, 6})
		r.currentFleet.Store(compiled(3, "ab", "v3"))
		is.True(r.watch(2*time.Minute, "v2", "v3") > 0)
		is.Equal(r.countHolding("v2"), 0)

		for orderID, times := range r.models.executed {
			if times != 1 {
				t.Fatalf("order %s took effect %d times", orderID, times)
			}
		}
		t.Logf("%d orders sent, %d took effect, at most %d loads in a zone at once", r.models.orders, len(r.models.executed), r.models.maxLoading)
		is.True(r.models.orders > len(r.models.executed)) // some orders were retried
		is.True(r.models.maxLoading <= 2)                 // one, and one that a new holder has not observed
		is.True(slices.IsSorted(r.models.fences))
		for _, stop := range r.stops {
			stop()
		}
		r.running.Wait()
	})
}

// The orders of a holder that was paused between its decision and the request are refused once
// another holder has taken over.
func TestPausedHolderOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before, after := compiled(3, "ab", "v2", "v1"), compiled(3, "ab", "v2")
		models := newEngines(before)
		frozen, successor := NewPlanner(Config{}, "x"), NewPlanner(Config{}, "x")
		// observeAndPlan passes every engine's report to a planner and returns its orders.
		observeAndPlan := func(planner *Planner, file *fleet.Compiled, fence uint64) []Order {
			time.Sleep(3 * time.Second)
			planner.SetFleet(file, GroupsOf(file)[0], 1)
			for _, target := range file.Engines() {
				report, err := models.Load(t.Context(), target.Address)
				is.NoErr(err)
				planner.Reported(time.Now(), target.Name, report)
			}
			return planner.Plan(time.Now(), lease.Grant{Fence: fence})
		}
		send := func(planner *Planner, orders []Order) {
			for _, order := range orders {
				_, err := models.Order(t.Context(), order.Address, order.Order)
				planner.Ordered(time.Now(), order.Engine, order.Order.OrderID, err)
			}
		}
		for models.countWarm("a", "v2")+models.countWarm("b", "v2") < len(models.models) {
			send(frozen, observeAndPlan(frozen, before, 1))
		}
		stale := observeAndPlan(frozen, after, 1)
		is.True(len(stale) > 0)
		is.Equal(stale[0].Order.Kind, protocol.OrderUnload)
		send(successor, observeAndPlan(successor, before, 2)) // fences every engine
		send(frozen, stale)                                   // the holder resumes
		is.Equal(models.countWarm("a", "v1")+models.countWarm("b", "v1"), len(models.models))
		is.Equal(frozen.Floor(), uint64(1))
		is.Equal(len(observeAndPlan(frozen, after, 1)), 0)
	})
}
