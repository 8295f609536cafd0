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

// detectionBound is how long a router may rely on an ended incarnation: three lost
// load reports, and one for the delay.
const detectionBound = 4 * reportInterval

// cacheSimulation has two engines in one zone, three routers, and callers of two
// tenants that send identical prompts.
type cacheSimulation struct {
	*simulation
	faulty *simulatedEngine
}

func newCacheSimulation(t *testing.T) *cacheSimulation {
	sim := &cacheSimulation{simulation: newSimulation(t)}
	sim.faulty = sim.addEngine("e-1", "z", "v1", "v2")
	sim.addEngine("e-2", "z", "v1", "v2")
	for _, name := range []string{"router-1", "router-2", "router-3"} {
		sim.addRouter(name)
	}
	return sim
}

// deliverLateEvents gives every router cache events of an ended incarnation.
func (w *cacheSimulation) deliverLateEvents(batch protocol.CacheEventBatch) {
	for _, router := range w.routers {
		router.core.ApplyCacheEvents(w.now, w.faulty.name, batch)
	}
}

// sendOrder changes the weights of the faulty engine.
func (w *cacheSimulation) sendOrder(kind protocol.OrderKind, version ident.ModelVersion) {
	w.faulty.Order(w.now, protocol.Order{
		OrderID: string(kind) + string(version), Fence: 1, ExpectedIncarnation: w.faulty.Incarnation(),
		Kind: kind, Model: "m", Version: version,
	})
}

// storedBlocksBatch returns a batch with every block in the faulty engine's cache.
func (w *cacheSimulation) storedBlocksBatch() protocol.CacheEventBatch {
	batch := protocol.CacheEventBatch{Incarnation: w.faulty.Incarnation()}
	event := protocol.CacheEvent{Sequence: 1 << 40, Kind: protocol.CacheStored}
	for hash := range w.faulty.stored {
		event.Hashes = append(event.Hashes, hash)
	}
	batch.Events = []protocol.CacheEvent{event}
	return batch
}

var cacheFaults = []struct {
	name  string
	fault func(w *cacheSimulation)
}{
	{"two tenants with the same prompts", func(*cacheSimulation) {}},
	{"crash and quick return at the same address", func(w *cacheSimulation) {
		w.crash(w.faulty)
		w.after(100*time.Millisecond, func() { w.restart(w.faulty) })
	}},
	{"crash and quick return, twice", func(w *cacheSimulation) {
		for _, delay := range []time.Duration{0, time.Second} {
			w.after(delay, func() { w.crash(w.faulty) })
			w.after(delay+50*time.Millisecond, func() { w.restart(w.faulty) })
		}
	}},
	{"crash and late return", func(w *cacheSimulation) {
		w.crash(w.faulty)
		w.after(3*time.Second, func() { w.restart(w.faulty) })
	}},
	{"crash with an event gap across it", func(w *cacheSimulation) {
		for _, router := range w.routers {
			router.eventGaps = true
		}
		w.crash(w.faulty)
		w.after(300*time.Millisecond, func() { w.restart(w.faulty) })
	}},
	{"events of the ended incarnation come after the crash", func(w *cacheSimulation) {
		late := w.storedBlocksBatch()
		w.crash(w.faulty)
		w.after(2*time.Second, func() { w.deliverLateEvents(late) })
		w.after(3*time.Second, func() { w.restart(w.faulty) })
		w.after(3500*time.Millisecond, func() { w.deliverLateEvents(late) })
	}},
	{"weights unloaded while dispatches are on their way", func(w *cacheSimulation) {
		for _, router := range w.routers {
			router.dispatchDelay = 300 * time.Millisecond
		}
		w.sendOrder(protocol.OrderUnload, "v2")
		w.after(time.Second, func() { w.sendOrder(protocol.OrderLoad, "v2") })
	}},
	{"weights unloaded and loaded again, events lost", func(w *cacheSimulation) {
		for _, router := range w.routers {
			router.eventsLost = true
		}
		w.sendOrder(protocol.OrderUnload, "v2")
		w.after(time.Second, func() { w.sendOrder(protocol.OrderLoad, "v2") })
		w.after(4*time.Second, func() { w.crash(w.engines[1]) }) // leaves only the first engine
	}},
	{"dispatches with a new prompt are refused for a while", func(w *cacheSimulation) {
		w.shared = []string{"ruling", "charter", "tariff"}
		usual := model.DefaultConfig().Conditions()
		full := usual
		full.RefuseFull = true
		w.faulty.SetConditions(w.now, full)
		w.after(time.Second, func() { w.faulty.SetConditions(w.now, usual) })
	}},
	{"crash and return with a dispatch on its way", func(w *cacheSimulation) {
		for _, router := range w.routers {
			router.dispatchDelay = 200 * time.Millisecond
		}
		w.crash(w.faulty)
		w.after(50*time.Millisecond, func() { w.restart(w.faulty) })
	}},
}

// Guards against reuse of blocks of another tenant, version or incarnation, and
// against placement for blocks that the incarnation never held, by the engines'
// truth records and real caches.
func TestNoCacheReuseAcrossTenantsVersionsOrIncarnations(t *testing.T) {
	for _, test := range cacheFaults {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sim := newCacheSimulation(t)
			sim.run(2 * reportInterval)
			sim.offerLoad(3 * time.Second)
			test.fault(sim)
			sim.offerLoad(5 * time.Second)
			sim.run(virtualMaxHold)
			checkReuse(t, sim.truth)
			checkDecisions(t, sim)
			check.Equal(len(sim.open), 0)               // every request ended
			check.Equal(len(sim.refused), 0)            // another engine was always available
			check.True(reusedTokens(sim.truth) > 50000) // the caches were used
		})
	}
}

// checkReuse fails if a generation used blocks of another tenant, version, model
// or incarnation.
func checkReuse(t *testing.T, records []truth.Record) {
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

// checkDecisions compares the blocks that decisions relied on with those that the
// engines held. A decision for an incarnation that has just ended is unavoidable;
// one made after detectionBound, or one whose attempt ran, is a failure.
func checkDecisions(t *testing.T, sim *cacheSimulation) {
	t.Helper()
	ran := map[attemptID]bool{}
	for _, record := range sim.truth {
		if record.Kind == truth.Started {
			ran[attemptID{record.RequestID, record.Attempt}] = true
		}
	}
	for _, decision := range sim.dispatches {
		if decision.creditUnfounded && (ran[decision.attempt] || decision.endedFor > detectionBound) {
			t.Errorf("%s relied on %.0f tokens that %s did not hold (its incarnation ended %v before)",
				decision.router, decision.credited, decision.engine, decision.endedFor)
		}
	}
}
