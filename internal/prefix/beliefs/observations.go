package beliefs

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

const (
	// lifetimeGain is the weight of one sample in the measured lifetime.
	lifetimeGain = 0.125
	minLifetime  = 500 * time.Millisecond
	maxLifetime  = 10 * time.Minute
	// removalGain is the weight of one event in the measured removals.
	removalGain = 0.02
	// maxLost bounds what one gap adds to the count of lost events.
	maxLost = 1 << 12
)

// RecordDispatch records that a request with this chain was sent to an engine,
// which will soon hold all of it. The next requests with the prefix then follow
// it and don't each start a recomputation elsewhere.
func (s *Store) RecordDispatch(now time.Time, engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain) {
	state := s.observedState(engine, incarnation)
	if state == nil {
		return
	}
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		block, _ := s.blocks.write(state.key(chain[prefix.CheckpointAt(checkpoint, len(chain))]))
		block.expected = s.stamp(now)
	}
}

// RecordRefusal cancels a RecordDispatch after the engine refused the request.
func (s *Store) RecordRefusal(engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain) {
	state := s.current(engine, incarnation)
	if state == nil {
		return
	}
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		key := state.key(chain[prefix.CheckpointAt(checkpoint, len(chain))])
		if block := s.blocks.find(key); block != nil {
			block.expected = 0
		}
	}
}

// RecordAnswer records an engine's own count: it held the first held blocks of
// the chain when it accepted the request, and has computed the rest.
func (s *Store) RecordAnswer(now time.Time, engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain, held int) {
	state := s.observedState(engine, incarnation)
	if state == nil {
		return
	}
	at := s.stamp(now)
	missed := false
	survived := time.Duration(0)
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		position := prefix.CheckpointAt(checkpoint, len(chain))
		block, existed := s.blocks.write(state.key(chain[position]))
		if existed && block.source != sourceNone {
			age := block.confirmed.age(at)
			switch {
			case position < held:
				survived = age
			case !missed:
				missed = true
				state.measureAtMost(age)
			}
		}
		s.confirmHeld(now, state, block, sourceAnswer)
	}
	state.measureAtLeast(survived)
}

// measureAtMost lowers the lifetime for a block that was evicted by that age.
func (e *engineState) measureAtMost(age time.Duration) {
	if age < e.lifetime {
		e.measure(age)
	}
}

// measureAtLeast raises the lifetime for a block still held at that age.
func (e *engineState) measureAtLeast(age time.Duration) {
	if age > e.lifetime {
		e.measure(age)
	}
}

// RecordDirectoryAnswer records an answer of the directory: the incarnation
// holds the first blocks blocks of the chain. Better sources are not overwritten.
func (s *Store) RecordDirectoryAnswer(now time.Time, engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain, blocks int) {
	state := s.observedState(engine, incarnation)
	if state == nil {
		return
	}
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		position := prefix.CheckpointAt(checkpoint, len(chain))
		if position >= blocks {
			return
		}
		if block, _ := s.blocks.write(state.key(chain[position])); block.source <= sourceDirectory {
			s.confirmHeld(now, state, block, sourceDirectory)
		}
	}
}

// ApplyEvents applies a batch of an engine's event stream. A gap in the sequence
// lowers the probability of all blocks known from earlier events, since the lost
// ones may have removed them, and requests a snapshot.
func (s *Store) ApplyEvents(now time.Time, engine ident.Engine, batch protocol.CacheEventBatch) {
	state := s.observedState(engine, batch.Incarnation)
	if state == nil {
		return
	}
	state.lastEvent = s.stamp(now)
	for _, event := range batch.Events {
		if event.Sequence <= state.sequence {
			continue
		}
		if event.Sequence != state.sequence+1 {
			s.counters.Gaps++
			state.addLost(event.Sequence - state.sequence - 1)
			state.needsSnapshot = true
		}
		state.sequence, state.synced = event.Sequence, true
		s.apply(now, state, event)
	}
}

// addLost counts lost events. One gap counts for at most maxLost, so that the
// counter does not wrap around to an old value.
func (e *engineState) addLost(events uint64) { e.lostCount += uint16(min(events, maxLost)) }

// recordRemoval records how many blocks one event removed.
func (e *engineState) recordRemoval(blocks int) {
	e.heldBlocks = max(0, e.heldBlocks-blocks)
	e.removedPerEvent += removalGain * (float64(blocks) - e.removedPerEvent)
}

func (s *Store) apply(now time.Time, state *engineState, event protocol.CacheEvent) {
	switch event.Kind {
	case protocol.CacheStored:
		state.heldBlocks += len(event.Hashes)
		state.recordRemoval(0)
		for _, hash := range event.Hashes {
			block, _ := s.blocks.write(state.key(hash))
			s.confirmHeld(now, state, block, sourceEvent)
		}
	case protocol.CacheRemoved:
		state.recordRemoval(len(event.Hashes))
		for _, hash := range event.Hashes {
			key := state.key(hash)
			if block := s.blocks.find(key); block != nil && (block.source == sourceEvent || block.source == sourceAnswer) {
				state.measure(block.confirmed.age(s.stamp(now)))
			}
			s.blocks.remove(key)
		}
	case protocol.CacheCleared:
		s.drop(state)
	}
}

// ApplySnapshot replaces the beliefs about an engine by a snapshot. One that is
// older than the events already applied is ignored and requested again.
func (s *Store) ApplySnapshot(now time.Time, engine ident.Engine, snapshot protocol.CacheSnapshot) {
	state := s.observedState(engine, snapshot.Incarnation)
	if state == nil {
		return
	}
	if snapshot.Sequence < state.sequence {
		state.needsSnapshot = true
		return
	}
	s.drop(state)
	state.sequence, state.synced, state.needsSnapshot = snapshot.Sequence, true, false
	state.lastEvent, state.heldBlocks = s.stamp(now), len(snapshot.Hashes)
	for _, hash := range snapshot.Hashes {
		block, _ := s.blocks.write(state.key(hash))
		s.confirmHeld(now, state, block, sourceSnapshot)
	}
}

// SnapshotDue reports whether the caller should fetch a snapshot of the engine
// now; it returns true at most once in a SnapshotInterval.
func (s *Store) SnapshotDue(now time.Time, engine ident.Engine) bool {
	state := s.engines[engine]
	if state == nil || !state.active || !state.needsSnapshot || s.stamp(now) < state.nextSnapshot {
		return false
	}
	state.nextSnapshot = s.stamp(now.Add(s.config.SnapshotInterval))
	return true
}

// observedState is current, but counts observations of other incarnations.
func (s *Store) observedState(engine ident.Engine, incarnation ident.Incarnation) *engineState {
	state := s.current(engine, incarnation)
	if state == nil {
		s.counters.Stale++
	}
	return state
}

// confirmHeld records that a block is held now. A block known from events keeps
// that source until a gap, because they also report its eviction.
func (s *Store) confirmHeld(now time.Time, state *engineState, block *slot, from source) {
	if block.source < from || block.lostCount != state.lostCount {
		block.source = from
	}
	block.confirmed, block.lostCount, block.expected = s.stamp(now), state.lostCount, 0
}

func (e *engineState) measure(sample time.Duration) {
	e.lifetime += time.Duration(lifetimeGain * float64(sample-e.lifetime))
	e.lifetime = min(max(e.lifetime, minLifetime), maxLifetime)
}
