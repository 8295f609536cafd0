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
func (s *cacheSimulation) deliverLateEvents(batch protocol.CacheEventBatch) {
	for _, router := range s.routers {
		router.core.ApplyCacheEvents(s.now, s.faulty.name, batch)
	}
}

// sendOrder changes the weights of the faulty engine.
func (s *cacheSimulation) sendOrder(kind protocol.OrderKind, version ident.ModelVersion) {
	s.faulty.Order(s.now, protocol.Order{
		OrderID: string(kind) + string(version), Fence: 1, ExpectedIncarnation: s.faulty.Incarnation(),
		Kind: kind, Model: "m", Version: version,
	})
}

// storedBlocksBatch returns a batch with every block in the faulty engine's cache.
func (s *cacheSimulation) storedBlocksBatch() protocol.CacheEventBatch {
	batch := protocol.CacheEventBatch{Incarnation: s.faulty.Incarnation()}
	event := protocol.CacheEvent{Sequence: 1 << 40, Kind: protocol.CacheStored}
	for hash := range s.faulty.stored {
		event.Hashes = append(event.Hashes, hash)
	}
	batch.Events = []protocol.CacheEvent{event}
	return batch
}

var cacheFaults = []struct {
	name  string
	fault func(s *cacheSimulation)
}{
	{"two tenants with the same prompts", func(*cacheSimulation) {}},
	{"crash and quick return at the same address", func(s *cacheSimulation) {
		s.crash(s.faulty)
		s.after(100*time.Millisecond, func() { s.restart(s.faulty) })
	}},
	{"crash and quick return, twice", func(s *cacheSimulation) {
		for _, delay := range []time.Duration{0, time.Second} {
			s.after(delay, func() { s.crash(s.faulty) })
			s.after(delay+50*time.Millisecond, func() { s.restart(s.faulty) })
		}
	}},
	{"crash and late return", func(s *cacheSimulation) {
		s.crash(s.faulty)
		s.after(3*time.Second, func() { s.restart(s.faulty) })
	}},
	{"crash with an event gap across it", func(s *cacheSimulation) {
		for _, router := range s.routers {
			router.eventGaps = true
		}
		s.crash(s.faulty)
		s.after(300*time.Millisecond, func() { s.restart(s.faulty) })
	}},
	{"events of the ended incarnation come after the crash", func(s *cacheSimulation) {
		late := s.storedBlocksBatch()
		s.crash(s.faulty)
		s.after(2*time.Second, func() { s.deliverLateEvents(late) })
		s.after(3*time.Second, func() { s.restart(s.faulty) })
		s.after(3500*time.Millisecond, func() { s.deliverLateEvents(late) })
	}},
	{"weights unloaded while dispatches are on their way", func(s *cacheSimulation) {
		for _, router := range s.routers {
			router.dispatchDelay = 300 * time.Millisecond
		}
		s.sendOrder(protocol.OrderUnload, "v2")
		s.after(time.Second, func() { s.sendOrder(protocol.OrderLoad, "v2") })
	}},
	{"weights unloaded and loaded again, events lost", func(s *cacheSimulation) {
		for _, router := range s.routers {
			router.eventsLost = true
		}
		s.sendOrder(protocol.OrderUnload, "v2")
		s.after(time.Second, func() { s.sendOrder(protocol.OrderLoad, "v2") })
		s.after(4*time.Second, func() { s.crash(s.engines[1]) }) // leaves only the first engine
	}},
	{"dispatches with a new prompt are refused for a while", func(s *cacheSimulation) {
		s.shared = []string{"ruling", "charter", "tariff"}
		usual := model.DefaultConfig().Conditions()
		full := usual
		full.RefuseFull = true
		s.faulty.SetConditions(s.now, full)
		s.after(time.Second, func() { s.faulty.SetConditions(s.now, usual) })
	}},
	{"crash and return with a dispatch on its way", func(s *cacheSimulation) {
		for _, router := range s.routers {
			router.dispatchDelay = 200 * time.Millisecond
		}
		s.crash(s.faulty)
		s.after(50*time.Millisecond, func() { s.restart(s.faulty) })
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
