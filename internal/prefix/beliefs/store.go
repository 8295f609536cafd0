// Package beliefs estimates which blocks each engine incarnation has cached, for
// one router. It is a state machine without I/O; the time is passed in.
//
// Sources, best first: the cached-token counts in engines' answers, cache
// events and snapshots of engines whose streams this router reads, answers of
// the directory, and own dispatches. Beliefs decay with the block lifetime
// measured on each engine. A new incarnation, changed weights or a dead engine
// drop them at once. A wrong belief costs time and never correctness: the engine
// itself looks up its blocks under the tenant's salt.
//
// A Store is written by one goroutine at a time; Credit and Holds only read.
package beliefs

import (
	"cmp"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Config sets a Store. A zero field takes its default.
type Config struct {
	// MaxBlocks is the number of blocks remembered over all engines; the least
	// recently confirmed are evicted first. Default: 262144.
	MaxBlocks int
	// DefaultLifetime is the block lifetime assumed of an engine until it has
	// been measured. Default: 30s.
	DefaultLifetime time.Duration
	// ExpectationLifetime is how long the blocks of an unanswered dispatch are
	// expected to become cached. Default: 10s.
	ExpectationLifetime time.Duration
	// SnapshotInterval is the minimum time between two snapshots of one engine.
	// Default: 5s.
	SnapshotInterval time.Duration
}

const (
	defaultMaxBlocks           = 1 << 18
	defaultLifetime            = 30 * time.Second
	defaultExpectationLifetime = 10 * time.Second
	defaultSnapshotInterval    = 5 * time.Second
)

// Counters counts a Store's observations. All only grow, except Blocks.
type Counters struct {
	// Blocks is the number of blocks remembered now.
	Blocks int
	// Evicted counts blocks forgotten for lack of room.
	Evicted uint64
	// Stale counts observations of an incarnation that is not the current one.
	Stale uint64
	// Gaps counts gaps in event sequences.
	Gaps uint64
	// Dropped counts the times that all beliefs about an engine were dropped.
	Dropped uint64
}

// engineState is the state of one engine and its current incarnation.
type engineState struct {
	incarnation ident.Incarnation
	// active is false from RecordDeath until the next SetIncarnation.
	active bool
	// seed separates the blocks of different incarnations in the table.
	seed uint64
	// lifetime is the measured time from a block's last use to its eviction.
	// It outlives incarnations: it follows from the engine's cache size.
	lifetime time.Duration
	// synced is true once events or a snapshot were applied.
	synced   bool
	sequence uint64
	// lostCount counts the events that did not arrive.
	lostCount uint16
	// heldBlocks is an estimate of the blocks held, and removedPerEvent the mean
	// number of blocks that one event removes.
	heldBlocks      int
	removedPerEvent float64
	// lastEvent is when events or a snapshot last arrived.
	lastEvent     stamp
	needsSnapshot bool
	nextSnapshot  stamp
}

// Store holds one router's beliefs.
type Store struct {
	config   Config
	start    time.Time
	engines  map[ident.Engine]*engineState
	blocks   *table
	nextSeed uint64
	counters Counters
}

// New returns an empty Store; start is any time not after those passed later.
func New(config Config, start time.Time) (*Store, error) {
	if config.MaxBlocks < 0 || config.DefaultLifetime < 0 || config.ExpectationLifetime < 0 || config.SnapshotInterval < 0 {
		return nil, fault.New(fault.InvalidSettings, "a setting of the cache beliefs is negative")
	}
	config = withDefaults(config)
	return &Store{config: config, start: start, engines: make(map[ident.Engine]*engineState), blocks: newTable(config.MaxBlocks)}, nil
}

func withDefaults(config Config) Config {
	config.MaxBlocks = cmp.Or(config.MaxBlocks, defaultMaxBlocks)
	config.DefaultLifetime = cmp.Or(config.DefaultLifetime, defaultLifetime)
	config.ExpectationLifetime = cmp.Or(config.ExpectationLifetime, defaultExpectationLifetime)
	config.SnapshotInterval = cmp.Or(config.SnapshotInterval, defaultSnapshotInterval)
	return config
}

// SetIncarnation sets the current incarnation of an engine, empty for none, and
// drops beliefs about any other. Observations never change it: a late answer of
// an earlier incarnation must not restore its beliefs.
func (s *Store) SetIncarnation(engine ident.Engine, incarnation ident.Incarnation) {
	state := s.engines[engine]
	if state == nil {
		state = &engineState{lifetime: s.config.DefaultLifetime}
		s.engines[engine] = state
	}
	if state.active && state.incarnation == incarnation {
		return
	}
	state.incarnation, state.active = incarnation, incarnation != ""
	s.drop(state)
	state.synced, state.sequence, state.needsSnapshot = false, 0, false
	state.removedPerEvent = 0
}

// RecordDeath drops all beliefs about an engine until SetIncarnation.
func (s *Store) RecordDeath(engine ident.Engine) {
	if state := s.engines[engine]; state != nil {
		state.active = false
		s.drop(state)
	}
}

// Remove drops the state of an engine that the fleet no longer has.
func (s *Store) Remove(engine ident.Engine) {
	s.RecordDeath(engine)
	delete(s.engines, engine)
}

// RecordWeightsChange drops all beliefs about an engine whose loaded versions or
// adapters changed; the incarnation stays.
func (s *Store) RecordWeightsChange(engine ident.Engine) {
	if state := s.engines[engine]; state != nil {
		s.drop(state)
		state.needsSnapshot = state.synced
	}
}

// Counters returns the counters.
func (s *Store) Counters() Counters {
	counters := s.counters
	counters.Blocks = len(s.blocks.index)
	counters.Evicted = s.blocks.evicted
	return counters
}

// Lifetime returns the block lifetime measured on an engine, or the default.
func (s *Store) Lifetime(engine ident.Engine) time.Duration {
	if state := s.engines[engine]; state != nil {
		return state.lifetime
	}
	return s.config.DefaultLifetime
}

// drop makes all blocks of an incarnation unreachable in constant time; the
// table evicts them as the least recently written ones.
func (s *Store) drop(state *engineState) {
	s.nextSeed++
	state.seed = s.nextSeed * 0x9e3779b97f4a7c15
	state.heldBlocks = 0
	s.counters.Dropped++
}

// current returns the engine's state if the incarnation is its current one, else nil.
func (s *Store) current(engine ident.Engine, incarnation ident.Incarnation) *engineState {
	state := s.engines[engine]
	if state == nil || !state.active || state.incarnation != incarnation {
		return nil
	}
	return state
}

// key returns the table key of a block under the incarnation's seed.
func (e *engineState) key(hash prefix.Hash) uint64 {
	mixed := (uint64(hash) ^ e.seed) * 0xff51afd7ed558ccd
	return mixed ^ mixed>>32
}

// stamp is a time in hundredths of a second since the Store's start, plus one;
// zero means never.
type stamp uint32

const stampUnit = 10 * time.Millisecond

func (s *Store) stamp(now time.Time) stamp {
	return stamp(max(0, now.Sub(s.start))/stampUnit) + 1
}

func (t stamp) age(now stamp) time.Duration {
	if t >= now {
		return 0
	}
	return time.Duration(now-t) * stampUnit
}
