package beliefs_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
)

const engine, first, second = ident.Engine("e"), ident.Incarnation("i1"), ident.Incarnation("i2")

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newStore(t testing.TB, config beliefs.Config) *beliefs.Store {
	store, err := beliefs.New(config, start)
	is.New(t).NoErr(err)
	store.SetIncarnation(engine, first)
	return store
}

func chainOf(tenant ident.Tenant, blocks int) prefix.Chain {
	salt := prefix.Namespace{Tenant: tenant, Model: "m", Version: "v"}.Salt()
	return prefix.ChainOf(salt, strings.Repeat("order book ", blocks*6)[:blocks*64], prefix.DefaultBlockTokens)
}

func stored(sequence uint64, hashes prefix.Chain) protocol.CacheEvent {
	return protocol.CacheEvent{Sequence: sequence, Kind: protocol.CacheStored, Hashes: hashes}
}

func batch(events ...protocol.CacheEvent) protocol.CacheEventBatch {
	return protocol.CacheEventBatch{Incarnation: first, Events: events}
}

// Each case starts from a chain of 40 blocks known from an answer and checks the
// credit after an event.
func TestEventsThatDropBeliefs(t *testing.T) {
	chain := chainOf("t", 40)
	cases := []struct {
		name        string
		happens     func(*beliefs.Store)
		incarnation ident.Incarnation
		want        float64
	}{
		{"nothing", func(*beliefs.Store) {}, first, 40},
		{"same incarnation again", func(s *beliefs.Store) { s.SetIncarnation(engine, first) }, first, 40},
		{"asked about another incarnation", func(*beliefs.Store) {}, second, 0},
		{"crash: new incarnation", func(s *beliefs.Store) { s.SetIncarnation(engine, second) }, second, 0},
		{"crash: late answer of the old incarnation", func(s *beliefs.Store) {
			s.SetIncarnation(engine, second)
			s.RecordAnswer(start, engine, first, chain, 40)
		}, second, 0},
		{"back to an earlier incarnation", func(s *beliefs.Store) {
			s.SetIncarnation(engine, second)
			s.SetIncarnation(engine, first)
		}, first, 0},
		{"believed dead", func(s *beliefs.Store) { s.RecordDeath(engine) }, first, 0},
		{"believed dead, then a late answer", func(s *beliefs.Store) {
			s.RecordDeath(engine)
			s.RecordAnswer(start, engine, first, chain, 40)
		}, first, 0},
		{"believed dead, then found alive", func(s *beliefs.Store) {
			s.RecordDeath(engine)
			s.SetIncarnation(engine, first)
		}, first, 0},
		{"weights changed", func(s *beliefs.Store) { s.RecordWeightsChange(engine) }, first, 0},
		{"cache cleared", func(s *beliefs.Store) {
			s.ApplyEvents(start, engine, batch(protocol.CacheEvent{Sequence: 1, Kind: protocol.CacheCleared}))
		}, first, 0},
		{"deep blocks evicted", func(s *beliefs.Store) {
			s.ApplyEvents(start, engine, batch(protocol.CacheEvent{Sequence: 1, Kind: protocol.CacheRemoved, Hashes: chain[20:]}))
		}, first, 16}, // the deepest checkpoint inside 20 blocks
		{"unknown incarnation", func(s *beliefs.Store) { s.SetIncarnation(engine, "") }, "", 0},
		{"engine removed from the fleet", func(s *beliefs.Store) { s.Remove(engine) }, first, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := newStore(t, beliefs.Config{})
			store.RecordAnswer(start, engine, first, chain, 0)
			test.happens(store)
			is.New(t).Equal(store.At(start).Credit(engine, test.incarnation, chain), test.want)
		})
	}
}

func TestGapLowersCreditAndRequestsSnapshot(t *testing.T) {
	is := is.New(t)
	chain, other := chainOf("t", 64), chainOf("u", 64)
	store := newStore(t, beliefs.Config{})
	store.ApplyEvents(start, engine, batch(stored(1, chain)))
	held, known := store.Holds(engine, first, chain[63])
	is.True(held && known)
	is.True(!store.SnapshotDue(start, engine))

	store.ApplyEvents(start, engine, batch(stored(3, other))) // 2 was lost
	view := store.At(start)
	credit := view.Credit(engine, first, chain)
	is.True(credit > 60 && credit < 64)               // one event removes few of the blocks
	is.Equal(view.Credit(engine, first, other), 64.0) // stored after the gap
	_, known = store.Holds(engine, first, chain[63])
	is.True(!known)
	is.True(store.SnapshotDue(start, engine))
	is.True(!store.SnapshotDue(start.Add(4*time.Second), engine)) // bounded rate
	is.True(store.SnapshotDue(start.Add(5*time.Second), engine))

	snapshot := protocol.CacheSnapshot{Incarnation: first, Sequence: 9, Hashes: chain[:32]}
	store.ApplySnapshot(start, engine, snapshot)
	store.ApplyEvents(start, engine, batch(stored(8, other))) // older than the snapshot
	view = store.At(start)
	is.Equal(view.Credit(engine, first, chain), 32.0)
	is.Equal(view.Credit(engine, first, other), 0.0)
	is.Equal(store.Counters().Gaps, uint64(1))
	store.ApplyEvents(start, engine, batch(stored(100_009, other))) // many events were lost
	is.True(store.At(start).Credit(engine, first, chain) < 1)
	is.Equal(store.At(start).Credit(engine, first, other), 64.0)
}

// A gap must lower the credit more if the engine's events remove more blocks.
func TestGapLowersCreditByRemovalRate(t *testing.T) {
	is := is.New(t)
	chain, brief := chainOf("t", 64), chainOf("brief", 32)
	creditAfterGap := func(removing bool) float64 {
		store := newStore(t, beliefs.Config{})
		for pair := range uint64(100) {
			kind := protocol.CacheStored
			if removing {
				kind = protocol.CacheRemoved
			}
			store.ApplyEvents(start, engine, batch(stored(2*pair+1, brief), protocol.CacheEvent{Sequence: 2*pair + 2, Kind: kind, Hashes: brief}))
		}
		store.ApplyEvents(start, engine, batch(stored(201, chain), stored(207, brief)))
		return store.At(start).Credit(engine, first, chain)
	}
	is.True(creditAfterGap(false) > 63)
	is.True(creditAfterGap(true) < 40)
	is.True(creditAfterGap(true) > 10)
}

// Later blocks of a chain prove the earlier ones whose event was lost.
func TestLostStoreEventDoesNotHideLaterBlocks(t *testing.T) {
	is := is.New(t)
	chain := chainOf("t", 64)
	for sequence, want := range map[uint64]float64{2: 16, 3: 64} {
		store := newStore(t, beliefs.Config{})
		store.ApplyEvents(start, engine, batch(stored(1, chain[:16]), stored(sequence, chain[32:])))
		is.Equal(store.At(start).Credit(engine, first, chain), want)
	}
}

func TestTenantsShareNoCredit(t *testing.T) {
	store := newStore(t, beliefs.Config{})
	store.RecordAnswer(start, engine, first, chainOf("t", 40), 0)
	is.New(t).Equal(store.At(start).Credit(engine, first, chainOf("u", 40)), 0.0)
}

func TestCreditDecaysWithMeasuredLifetime(t *testing.T) {
	is := is.New(t)
	chain := chainOf("t", 40)
	later := start.Add(20 * time.Second)
	store := newStore(t, beliefs.Config{ExpectationLifetime: 10 * time.Second})
	store.RecordDispatch(start, engine, first, chain)
	is.Equal(store.At(start).Credit(engine, first, chain), 39.2) // expected soon
	is.Equal(store.At(later).Credit(engine, first, chain), 0.0)  // and never answered

	store.RecordAnswer(start, engine, first, chain, 0)
	before := store.At(later).Credit(engine, first, chain)
	is.True(before > 10 && before < 40)
	for sequence := uint64(1); sequence < 60; sequence += 2 { // blocks live 2 s
		at := start.Add(time.Duration(sequence) * time.Second)
		brief := chainOf("brief", 8)
		store.ApplyEvents(at, engine, batch(stored(sequence, brief)))
		store.ApplyEvents(at.Add(2*time.Second), engine, batch(protocol.CacheEvent{Sequence: sequence + 1, Kind: protocol.CacheRemoved, Hashes: brief}))
	}
	is.True(store.Lifetime(engine) < 4*time.Second)
	is.Equal(store.At(later).Credit(engine, first, chain), 0.0)

	// A block still held after a long time raises the measured lifetime.
	measured := store.Lifetime(engine)
	store.RecordAnswer(start.Add(time.Minute), engine, first, chain, 40)
	is.True(store.Lifetime(engine) > measured)
}

// The credit must not exceed the blocks held, nor fall short of them by as much
// as the distance between checkpoints.
func TestCreditIsAtMostTheSharedBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 3000).Draw(t, "length")
		shared := rapid.IntRange(0, length).Draw(t, "shared")
		held, requested := make(prefix.Chain, length), make(prefix.Chain, length)
		for index := range length {
			held[index] = prefix.Hash(index + 1)
			requested[index] = held[index]
			if index >= shared {
				requested[index] = prefix.Hash(index + 1_000_000)
			}
		}
		store := newStore(&testing.T{}, beliefs.Config{})
		store.RecordAnswer(start, engine, first, held, 0)
		credit := int(store.At(start).Credit(engine, first, requested))
		slack := 8
		if shared > 256 {
			slack = 64
		}
		if shared > 2048 {
			slack = 2048
		}
		if credit > shared || credit <= shared-slack && credit < shared {
			t.Fatalf("credit %d of %d shared blocks of %d", credit, shared, length)
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	store := newStore(t, beliefs.Config{MaxBlocks: 100})
	recent := chainOf("t", 40)
	store.RecordAnswer(start, engine, first, recent, 0)
	for sequence := range uint64(50) {
		store.ApplyEvents(start, engine, batch(stored(sequence+1, chainOf(ident.Tenant(rune('a'+sequence)), 30))))
		is.Equal(store.At(start).Credit(engine, first, recent), 40.0) // recently confirmed ones stay
		store.RecordAnswer(start, engine, first, recent, 0)
	}
	is.Equal(store.Counters().Blocks, 100)
	_, err := beliefs.New(beliefs.Config{MaxBlocks: -1}, start)
	is.True(fault.Is(err, fault.InvalidSettings))
}

func BenchmarkCredit(b *testing.B) {
	store := newStore(b, beliefs.Config{})
	chain := chainOf("t", 300)
	store.RecordAnswer(start, engine, first, chain, 0)
	view := store.At(start)
	b.ReportAllocs()
	for b.Loop() {
		view.Credit(engine, first, chain)
	}
}

// BenchmarkMemory fills a store with a node's share of the fleet's blocks,
// standby included, and reports the heap per block.
func BenchmarkMemory(b *testing.B) {
	const blocks = 251_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		store := newStore(b, beliefs.Config{})
		for sequence := range uint64(blocks / 100) {
			hashes := make(prefix.Chain, 100)
			for index := range hashes {
				hashes[index] = prefix.Hash(sequence*100 + uint64(index))
			}
			store.ApplyEvents(start, engine, batch(stored(sequence+1, hashes)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blocks, "B/block")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(store)
	}
}
