package proofs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// detection is how long a router may go on believing in a life that is over:
// three lost load reports and one for the lag.
const detection = 4 * reportInterval

// cacheWorld is two engines in one zone, three routers, and callers of two
// tenants who all ask with the very same prompts.
type cacheWorld struct {
	*simulation
	broken *simulatedEngine
}

func newCacheWorld(t *testing.T) *cacheWorld {
	world := &cacheWorld{simulation: newSimulation(t)}
	world.broken = world.addEngine("e-1", "z", "v1", "v2")
	world.addEngine("e-2", "z", "v1", "v2")
	for _, name := range []string{"router-1", "router-2", "router-3"} {
		world.addRouter(name)
	}
	return world
}

// lateEvents tells every router of the blocks of a life that is over.
func (w *cacheWorld) lateEvents(batch protocol.CacheEventBatch) {
	for _, router := range w.routers {
		router.core.ApplyCacheEvents(w.now, w.broken.name, batch)
	}
}

// order changes the weights of the broken engine.
func (w *cacheWorld) order(kind protocol.OrderKind, version ident.ModelVersion) {
	w.broken.Order(w.now, protocol.Order{
		OrderID: string(kind) + string(version), Fence: 1, ExpectedIncarnation: w.broken.Incarnation(),
		Kind: kind, Model: "m", Version: version,
	})
}

// stalledEvents is a batch that names every block the engine's life stored.
func (w *cacheWorld) stalledEvents() protocol.CacheEventBatch {
	batch := protocol.CacheEventBatch{Incarnation: w.broken.Incarnation()}
	event := protocol.CacheEvent{Sequence: 1 << 40, Kind: protocol.CacheStored}
	for hash := range w.broken.stored {
		event.Hashes = append(event.Hashes, hash)
	}
	batch.Events = []protocol.CacheEvent{event}
	return batch
}

// cacheFaults are the faults of TestNoRelianceOnForeignOrDeadCaches.
var cacheFaults = []struct {
	name  string
	fault func(w *cacheWorld)
}{
	{"two tenants with the same prompts", func(*cacheWorld) {}},
	{"crash and quick return at the same address", func(w *cacheWorld) {
		w.crash(w.broken)
		w.after(100*time.Millisecond, func() { w.revive(w.broken) })
	}},
	{"crash and quick return, twice", func(w *cacheWorld) {
		for _, delay := range []time.Duration{0, time.Second} {
			w.after(delay, func() { w.crash(w.broken) })
			w.after(delay+50*time.Millisecond, func() { w.revive(w.broken) })
		}
	}},
	{"crash and late return", func(w *cacheWorld) {
		w.crash(w.broken)
		w.after(3*time.Second, func() { w.revive(w.broken) })
	}},
	{"crash with an event gap across it", func(w *cacheWorld) {
		for _, router := range w.routers {
			router.gapped = true
		}
		w.crash(w.broken)
		w.after(300*time.Millisecond, func() { w.revive(w.broken) })
	}},
	{"events of the dead life come after its death", func(w *cacheWorld) {
		late := w.stalledEvents()
		w.crash(w.broken)
		w.after(2*time.Second, func() { w.lateEvents(late) })
		w.after(3*time.Second, func() { w.revive(w.broken) })
		w.after(3500*time.Millisecond, func() { w.lateEvents(late) })
	}},
	{"weights unloaded while dispatches are on their way", func(w *cacheWorld) {
		for _, router := range w.routers {
			router.travel = 300 * time.Millisecond
		}
		w.order(protocol.OrderUnload, "v2")
		w.after(time.Second, func() { w.order(protocol.OrderLoad, "v2") })
	}},
	{"weights unloaded and loaded again, events lost", func(w *cacheWorld) {
		for _, router := range w.routers {
			router.eventless = true
		}
		w.order(protocol.OrderUnload, "v2")
		w.after(time.Second, func() { w.order(protocol.OrderLoad, "v2") })
		w.after(4*time.Second, func() { w.crash(w.engines[1]) }) // all must go to the first engine
	}},
	{"dispatches with a new prompt are refused for a while", func(w *cacheWorld) {
		w.shared = []string{"ruling", "charter", "tariff"}
		usual := model.DefaultConfig().Conditions()
		full := usual
		full.RefuseFull = true
		w.broken.SetConditions(w.now, full)
		w.after(time.Second, func() { w.broken.SetConditions(w.now, usual) })
	}},
	{"crash and return with a dispatch on its way", func(w *cacheWorld) {
		for _, router := range w.routers {
			router.travel = 200 * time.Millisecond
		}
		w.crash(w.broken)
		w.after(50*time.Millisecond, func() { w.revive(w.broken) })
	}},
}

// TestNoRelianceOnForeignOrDeadCaches judges every run by the engines' truth
// records and their real caches: what ran reused blocks of its own tenant,
// version and engine life only, and was not sent there for blocks which that
// life never held.
func TestNoRelianceOnForeignOrDeadCaches(t *testing.T) {
	for _, test := range cacheFaults {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			world := newCacheWorld(t)
			world.run(2 * reportInterval)
			world.load(3 * time.Second)
			test.fault(world)
			world.load(5 * time.Second)
			world.run(virtualMaxHold)
			judgeReuse(t, world.truth)
			judgeDecisions(t, world)
			check.Equal(len(world.open), 0)               // every request ended
			check.Equal(len(world.refused), 0)            // another engine was there all the time
			check.True(reusedTokens(world.truth) > 50000) // the caches were truly in use
		})
	}
}

// judgeReuse reads from the truth records whose blocks each generation used.
func judgeReuse(t *testing.T, records []truth.Record) {
	t.Helper()
	for _, record := range records {
		for _, reuse := range record.Reused {
			if reuse.Tenant != record.Tenant || reuse.Version != record.Version || reuse.Model != record.Model ||
				reuse.Incarnation != record.Incarnation {
				t.Errorf("request %s of %s %s on %s reused %+v", record.RequestID, record.Tenant, record.Version, record.Incarnation, reuse)
			}
		}
	}
}

func reusedTokens(records []truth.Record) int {
	tokens := 0
	for _, record := range records {
		if record.Kind == truth.Finished {
			tokens += record.CachedTokens
		}
	}
	return tokens
}

// judgeDecisions compares what decisions relied on with what the engines held.
// A decision on a life that has just ended is unavoidable; one made after the
// time of detection, or one whose attempt ran, is not.
func judgeDecisions(t *testing.T, world *cacheWorld) {
	t.Helper()
	ran := map[attemptName]bool{}
	for _, record := range world.truth {
		if record.Kind == truth.Started {
			ran[attemptName{record.RequestID, record.Attempt}] = true
		}
	}
	for _, decision := range world.placed {
		if decision.groundless && (ran[decision.attempt] || decision.overFor > detection) {
			t.Errorf("%s relied on %.0f tokens that %s did not hold (its life was over for %v)",
				decision.router, decision.credited, decision.engine, decision.overFor)
		}
	}
}
