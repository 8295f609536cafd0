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

// RecordDispatch tells that a request with this chain was just sent to an engine,
// which will soon hold all of it. Requests decided next then follow it in
// place of each starting a recomputation elsewhere.
func (s *Store) RecordDispatch(now time.Time, engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain) {
	known := s.observe(engine, incarnation)
	if known == nil {
		return
	}
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		block, _ := s.blocks.write(known.key(chain[prefix.CheckpointAt(checkpoint, len(chain))]))
		block.expected = s.stamp(now)
	}
}

// RecordRefusal tells that the engine refused a request of which Dispatched was told:
// it will not hold the chain because of it.
func (s *Store) RecordRefusal(engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain) {
	known := s.current(engine, incarnation)
	if known == nil {
		return
	}
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		key := known.key(chain[prefix.CheckpointAt(checkpoint, len(chain))])
		if block := s.blocks.find(key); block != nil {
			block.expected = 0
		}
	}
}

// RecordAnswer tells an engine's own count: it held the first held blocks of the
// chain when it took the request, and has computed the rest.
func (s *Store) RecordAnswer(now time.Time, engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain, held int) {
	known := s.observe(engine, incarnation)
	if known == nil {
		return
	}
	at := s.stamp(now)
	missed := false
	survived := time.Duration(0)
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		position := prefix.CheckpointAt(checkpoint, len(chain))
		block, existed := s.blocks.write(known.key(chain[position]))
		if existed && block.source != sourceNone {
			age := block.seen.age(at)
			switch {
			case position < held:
				survived = age
			case !missed:
				missed = true
				known.measureAtMost(age)
			}
		}
		s.confirm(now, known, block, sourceAnswer)
	}
	known.measureAtLeast(survived)
}

// measureAtMost learns from a block that was believed held and was not: it did
// not live as long as it had been out of sight.
func (l *life) measureAtMost(age time.Duration) {
	if age < l.lifetime {
		l.measure(age)
	}
}

// measureAtLeast learns from a block that was still held after that time.
func (l *life) measureAtLeast(age time.Duration) {
	if age > l.lifetime {
		l.measure(age)
	}
}

// RecordDirectoryAnswer records an answer of the directory: the incarnation holds the first
// blocks blocks of the chain. Better knowledge is left as it is.
func (s *Store) RecordDirectoryAnswer(now time.Time, engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain, blocks int) {
	known := s.observe(engine, incarnation)
	if known == nil {
		return
	}
	for checkpoint := range prefix.CheckpointCount(len(chain)) {
		position := prefix.CheckpointAt(checkpoint, len(chain))
		if position >= blocks {
			return
		}
		if block, _ := s.blocks.write(known.key(chain[position])); block.source <= sourceTold {
			s.confirm(now, known, block, sourceTold)
		}
	}
}

// ApplyEvents applies a batch of an engine's event stream. A gap in the sequence
// lessens the trust in what events gave so far, by the blocks that the lost
// events may have removed, and asks for a snapshot.
func (s *Store) ApplyEvents(now time.Time, engine ident.Engine, batch protocol.CacheEventBatch) {
	known := s.observe(engine, batch.Incarnation)
	if known == nil {
		return
	}
	known.heard = s.stamp(now)
	for _, event := range batch.Events {
		if event.Sequence <= known.sequence {
			continue
		}
		if event.Sequence != known.sequence+1 {
			s.counters.Gaps++
			known.lose(event.Sequence - known.sequence - 1)
			known.snapshotWanted = true
		}
		known.sequence, known.synced = event.Sequence, true
		s.apply(now, known, event)
	}
}

// lose counts events that did not arrive. One gap counts for at most maxLost,
// which leaves no trust and keeps the counter from going all the way round.
func (l *life) lose(events uint64) { l.lost += uint16(min(events, maxLost)) }

// removed takes in how many blocks one event removed.
func (l *life) removed(blocks int) {
	l.held = max(0, l.held-blocks)
	l.removedPerEvent += removalGain * (float64(blocks) - l.removedPerEvent)
}

func (s *Store) apply(now time.Time, known *life, event protocol.CacheEvent) {
	switch event.Kind {
	case protocol.CacheStored:
		known.held += len(event.Hashes)
		known.removed(0)
		for _, hash := range event.Hashes {
			block, _ := s.blocks.write(known.key(hash))
			s.confirm(now, known, block, sourceEvent)
		}
	case protocol.CacheRemoved:
		known.removed(len(event.Hashes))
		for _, hash := range event.Hashes {
			key := known.key(hash)
			if block := s.blocks.find(key); block != nil && (block.source == sourceEvent || block.source == sourceAnswer) {
				known.measure(block.seen.age(s.stamp(now)))
			}
			s.blocks.remove(key)
		}
	case protocol.CacheCleared:
		s.drop(known)
	}
}

// ApplySnapshot replaces what is believed of an engine by its whole state. One that
// is older than the events already applied is ignored and asked for again.
func (s *Store) ApplySnapshot(now time.Time, engine ident.Engine, snapshot protocol.CacheSnapshot) {
	known := s.observe(engine, snapshot.Incarnation)
	if known == nil {
		return
	}
	if snapshot.Sequence < known.sequence {
		known.snapshotWanted = true
		return
	}
	s.drop(known)
	known.sequence, known.synced, known.snapshotWanted = snapshot.Sequence, true, false
	known.heard, known.held = s.stamp(now), len(snapshot.Hashes)
	for _, hash := range snapshot.Hashes {
		block, _ := s.blocks.write(known.key(hash))
		s.confirm(now, known, block, sourceSnapshot)
	}
}

// SnapshotDue reports whether the caller should fetch a snapshot of the
// engine now; it says so at most once in a SnapshotInterval.
func (s *Store) SnapshotDue(now time.Time, engine ident.Engine) bool {
	known := s.lives[engine]
	if known == nil || !known.active || !known.snapshotWanted || s.stamp(now) < known.nextSnapshot {
		return false
	}
	known.nextSnapshot = s.stamp(now.Add(s.config.SnapshotInterval))
	return true
}

// observe is current, counting observations of another life.
func (s *Store) observe(engine ident.Engine, incarnation ident.Incarnation) *life {
	known := s.current(engine, incarnation)
	if known == nil {
		s.counters.Stale++
	}
	return known
}

// confirm records that a block is held now. An engine's events stay the source
// of a block that they gave: they will also tell its eviction.
func (s *Store) confirm(now time.Time, known *life, block *slot, from source) {
	if block.source < from || block.lost != known.lost {
		block.source = from
	}
	block.seen, block.lost, block.expected = s.stamp(now), known.lost, 0
}

func (l *life) measure(sample time.Duration) {
	l.lifetime += time.Duration(lifetimeGain * float64(sample-l.lifetime))
	l.lifetime = min(max(l.lifetime, minLifetime), maxLifetime)
}
