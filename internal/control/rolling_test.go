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

// memoryTable is a platform.Table over the stand-in's table that always works.
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

// engines are the stand-ins' models behind a network that loses every third
// answer to an order, after the order took effect.
type engines struct {
	mutex  sync.Mutex
	models map[string]*model.Engine
	orders int
	taken  map[string]int
	fences []uint64
	// loading counts the loads under way in each zone, most the most at once.
	loading map[string]int
	most    int
}

func (e *engines) Load(_ context.Context, address string) (protocol.LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.models[address].Alive() {
		return protocol.LoadReport{}, fault.New(fault.BackendLost, "refused")
	}
	e.drain(address)
	return e.models[address].LoadReport(time.Now()), nil
}

func (e *engines) Order(_ context.Context, address string, order protocol.Order) (protocol.OrderResult, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders++
	result, refusal := e.models[address].Order(time.Now(), order)
	e.drain(address)
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

// drain reads the truth records of an engine.
func (e *engines) drain(address string) {
	zone := address[:1]
	for _, output := range e.models[address].Advance(time.Now()) {
		switch record := output.Truth; {
		case record == nil:
		case record.Kind == truth.OrderTaken:
			e.taken[record.OrderID]++
			e.fences = append(e.fences, record.Fence)
			if record.OrderKind == string(protocol.OrderLoad) {
				e.loading[zone]++
				e.most = max(e.most, e.loading[zone])
			}
		case record.Kind == truth.Loaded:
			e.loading[zone]--
		case record.Kind == truth.Crashed:
			e.loading[zone] = 0
		}
	}
}

// warm counts the engines of a zone that hold a version now.
func (e *engines) warm(zone string, versions ...ident.ModelVersion) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	count := 0
	for address, one := range e.models {
		e.drain(address)
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

func (e *engines) crash(address string, restartAfter time.Duration) {
	e.mutex.Lock()
	e.models[address].Crash(time.Now())
	e.drain(address)
	e.mutex.Unlock()
	time.AfterFunc(restartAfter, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.models[address].Restart(time.Now(), "life-2")
	})
}

func newEngines(file *fleet.Compiled) *engines {
	e := &engines{models: map[string]*model.Engine{}, taken: map[string]int{}, loading: map[string]int{}}
	for index, target := range file.Engines() {
		config := model.DefaultConfig()
		config.Name, config.Zone = target.Name, target.Zone
		config.Models = []protocol.LoadedModel{{Model: "m", Version: "v1"}}
		e.models[target.Address] = model.New(config, "life-1", rand.New(rand.NewPCG(1, uint64(index))), time.Now())
	}
	return e
}

// rollout is two routers' duties over the engines' models.
type rollout struct {
	t       *testing.T
	inForce atomic.Pointer[fleet.Compiled]
	models  *engines
	duties  map[ident.Node]*Controller
	stops   map[ident.Node]context.CancelFunc
	running sync.WaitGroup
}

func newRollout(t *testing.T) *rollout {
	r := &rollout{t: t, duties: map[ident.Node]*Controller{}, stops: map[ident.Node]context.CancelFunc{}}
	r.inForce.Store(compiled(3, "ab", "v1"))
	r.models = newEngines(r.inForce.Load())
	table := &memoryTable{table: tables.NewTable()}
	view := membership.View{Members: []membership.Member{{Node: "n1"}, {Node: "n2"}}}
	for _, member := range view.Members {
		ctx, stop := context.WithCancel(t.Context())
		duty := New(Options{
			Node: member.Node, Table: table, Engines: r.models, Fleet: r.inForce.Load,
			View: func() membership.View { return view },
		})
		r.duties[member.Node], r.stops[member.Node] = duty, stop
		r.running.Go(func() { duty.Run(ctx) })
	}
	return r
}

// watch checks, over a span of time, that some engine of each zone serves one
// of the versions, and returns when all came to hold the last one.
func (r *rollout) watch(span time.Duration, versions ...ident.ModelVersion) time.Duration {
	began, done := time.Now(), time.Duration(0)
	last := versions[len(versions)-1]
	for time.Since(began) < span {
		time.Sleep(50 * time.Millisecond)
		if r.models.warm("a", versions...) == 0 || r.models.warm("b", versions...) == 0 {
			r.t.Fatalf("a zone without an engine that serves %v after %v", versions, time.Since(began))
		}
		if done == 0 && r.holding(last) == len(r.models.models) {
			done = time.Since(began)
		}
	}
	return done
}

// holding counts the engines that hold a version.
func (r *rollout) holding(version ident.ModelVersion) int {
	return r.models.warm("a", version) + r.models.warm("b", version)
}

func (r *rollout) holder() (name ident.Node) {
	for node, duty := range r.duties {
		for _, status := range duty.Status() {
			if status.Held {
				name = node
			}
		}
	}
	return name
}

// settled returns how many engines the holder calls settled, and of how many.
func (r *rollout) settled() (told [2]int) {
	for _, duty := range r.duties {
		for _, status := range duty.Status() {
			told[0] += status.Counters.Settled
			told[1] = status.Counters.Engines
		}
	}
	return told
}

// TestRollingVersionChange changes v1 to v2 and withdraws v1, then changes to
// v3 at once, with lost answers, a crash and a change of the lease holder.
func TestRollingVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRollout(t)
		r.watch(10*time.Second, "v1")
		r.inForce.Store(compiled(3, "ab", "v2", "v1"))
		r.watch(6*time.Second, "v1", "v2")
		is.True(r.settled()[0] < 6)
		r.models.crash("a2", 5*time.Second) // returns with v1 alone
		r.watch(4*time.Second, "v1", "v2")
		first := r.holder()
		r.stops[first]() // a planned stop in the middle
		took := r.watch(2*time.Minute, "v1", "v2")
		is.True(took > 0)
		is.True(r.holder() != first)
		t.Logf("all engines changed %v after the holder's stop", took)
		r.inForce.Store(compiled(3, "ab", "v2"))
		r.watch(time.Minute, "v2")
		is.Equal(r.holding("v1"), 0)
		is.Equal(r.settled(), [2]int{6, 6})
		r.inForce.Store(compiled(3, "ab", "v3"))
		is.True(r.watch(2*time.Minute, "v2", "v3") > 0)
		is.Equal(r.holding("v2"), 0)

		for orderID, times := range r.models.taken {
			if times != 1 {
				t.Fatalf("order %s took effect %d times", orderID, times)
			}
		}
		t.Logf("%d orders sent, %d took effect, at most %d loads in a zone at once", r.models.orders, len(r.models.taken), r.models.most)
		is.True(r.models.orders > len(r.models.taken)) // lost answers were repeated
		is.True(r.models.most <= 2)                    // one, and one that a new holder does not know of
		is.True(slices.IsSorted(r.models.fences))
		for _, stop := range r.stops {
			stop()
		}
		r.running.Wait()
	})
}

// TestPausedHolderOrdersNothing freezes a holder between its decision to
// unload and the request, while another holder takes over.
func TestPausedHolderOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before, after := compiled(3, "ab", "v2", "v1"), compiled(3, "ab", "v2")
		models := newEngines(before)
		frozen, successor := NewPlanner(Config{}, "x"), NewPlanner(Config{}, "x")
		// look lets a planner read every report and decide.
		look := func(planner *Planner, file *fleet.Compiled, fence uint64) []Order {
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
		for models.warm("a", "v2")+models.warm("b", "v2") < len(models.models) {
			send(frozen, look(frozen, before, 1))
		}
		stale := look(frozen, after, 1)
		is.True(len(stale) > 0)
		is.Equal(stale[0].Order.Kind, protocol.OrderUnload)
		send(successor, look(successor, before, 2)) // fences every engine
		send(frozen, stale)                         // the holder wakes up
		is.Equal(models.warm("a", "v1")+models.warm("b", "v1"), len(models.models))
		is.Equal(frozen.Floor(), uint64(1)) // it steps down
		is.Equal(len(look(frozen, after, 1)), 0)
	})
}
