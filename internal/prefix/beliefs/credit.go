package beliefs

import (
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// source is the origin of a belief in a block; it sets the prior probability.
type source uint8

const (
	// sourceNone marks a block known only from a dispatch.
	sourceNone source = iota
	// sourceDirectory is an answer of the directory.
	sourceDirectory
	// sourceAnswer is an engine's own answer to this router.
	sourceAnswer
	// sourceEvent is the engine's event stream.
	sourceEvent
	// sourceSnapshot is a snapshot; the time of the block's last use is unknown.
	sourceSnapshot
)

const (
	// directoryProbability is the prior of a block known from the directory.
	directoryProbability = 0.95
	// expectedProbability is the prior of a block that a dispatched request fills.
	expectedProbability = 0.98
	// minRemovalShare is the least share of an engine's blocks that a lost event
	// is assumed to have removed.
	minRemovalShare = 0.001
	// gapSteps is how many checkpoints beyond an absent one are checked after a
	// gap in the stream: the event that stored it may be lost.
	gapSteps = 2
	// presenceFloor is the probability below which a block counts as absent.
	presenceFloor = 0.05
	// creditSamples bounds the checkpoints sampled for a credit.
	creditSamples = 4
)

// View is a Store at one time; it implements framework.Credits.
type View struct {
	store *Store
	now   stamp
}

// At returns the beliefs as of now.
func (s *Store) At(now time.Time) *View { return &View{store: s, now: s.stamp(now)} }

// Credit returns the expected number of leading blocks of chain that the
// incarnation holds. It reads checkpoints only: a binary search finds the deepest
// one believed held, and a few above it give the probabilities.
func (v *View) Credit(engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain) float64 {
	state := v.store.current(engine, incarnation)
	if state == nil || len(chain) == 0 {
		return 0
	}
	deepest := v.deepest(state, chain)
	if deepest < 0 {
		return 0
	}
	// Engines evict the last blocks of a chain first, so the probability does
	// not rise with the depth.
	expected, atLeast := 0.0, 0.0
	steps := min(creditSamples, deepest+1)
	above := prefix.CheckpointAt(deepest, len(chain)) + 1
	for step := steps; step >= 1; step-- {
		position := prefix.CheckpointAt((deepest+1)*step/steps-1, len(chain))
		next := 0
		if step > 1 {
			next = prefix.CheckpointAt((deepest+1)*(step-1)/steps-1, len(chain)) + 1
		}
		atLeast = max(atLeast, v.probability(state, chain[position]))
		expected += atLeast * float64(above-next)
		above = next
	}
	return expected
}

// deepest returns the deepest checkpoint believed held, or -1.
func (v *View) deepest(state *engineState, chain prefix.Chain) int {
	low, high := 0, prefix.CheckpointCount(len(chain))
	if low = v.present(state, chain, 0); low < 0 {
		return -1
	}
	for high-low > 1 {
		middle := (low + high) / 2
		if found := v.present(state, chain, middle); found >= 0 {
			low = found
		} else {
			high = middle
		}
	}
	return low
}

// present returns the first checkpoint from the given one on that is believed
// held, or -1. It checks later ones only if the stream had gaps.
func (v *View) present(state *engineState, chain prefix.Chain, checkpoint int) int {
	last := checkpoint
	if state.lostCount > 0 {
		last = min(checkpoint+gapSteps, prefix.CheckpointCount(len(chain))-1)
	}
	for ; checkpoint <= last; checkpoint++ {
		if v.probability(state, chain[prefix.CheckpointAt(checkpoint, len(chain))]) >= presenceFloor {
			return checkpoint
		}
	}
	return -1
}

func (v *View) probability(state *engineState, hash prefix.Hash) float64 {
	block := v.store.blocks.find(state.key(hash))
	if block == nil {
		return 0
	}
	probability := v.observed(state, block)
	if block.expected > 0 && block.expected.age(v.now) < v.store.config.ExpectationLifetime {
		probability = max(probability, expectedProbability)
	}
	return probability
}

// observed is the probability from observations alone. A block known from
// events does not decay while the stream is received: an eviction is an event.
func (v *View) observed(state *engineState, block *slot) float64 {
	prior, since := 1.0, block.confirmed
	switch block.source {
	case sourceNone:
		return 0
	case sourceDirectory:
		prior = directoryProbability
	case sourceAnswer:
	case sourceEvent, sourceSnapshot:
		if missed := state.lostCount - block.lostCount; missed > 0 {
			prior = math.Exp(-float64(missed) * state.removalShare())
		}
		since = max(since, state.lastEvent)
	}
	return prior * math.Exp(-float64(since.age(v.now))/float64(state.lifetime))
}

// removalShare is the mean share of the held blocks that one event removes.
func (e *engineState) removalShare() float64 {
	return max(minRemovalShare, e.removedPerEvent/float64(max(1, e.heldBlocks)))
}

// Holds reports whether the incarnation holds the block according to its event
// stream; known is false if the stream is incomplete or not read.
func (s *Store) Holds(engine ident.Engine, incarnation ident.Incarnation, hash prefix.Hash) (held, known bool) {
	current := s.current(engine, incarnation)
	if current == nil || !current.synced || current.needsSnapshot {
		return false, false
	}
	block := s.blocks.find(current.key(hash))
	return block != nil && block.source >= sourceEvent, true
}
