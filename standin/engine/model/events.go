package model

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// eventFeed delays cache events; lost events leave gaps in the sequence.
type eventFeed struct {
	sequence uint64
	pending  []pendingEvent
}

type pendingEvent struct {
	due   time.Time
	event protocol.CacheEvent
}

// queueCacheEvent numbers an event and queues it unless it is lost.
func (e *Engine) queueCacheEvent(event protocol.CacheEvent) {
	if len(event.Hashes) == 0 && event.Kind != protocol.CacheCleared {
		return
	}
	e.feed.sequence++
	event.Sequence = e.feed.sequence
	if e.config.TruthBlocks {
		kind := truth.CacheStored
		if event.Kind == protocol.CacheRemoved {
			kind = truth.CacheRemoved
		}
		e.record(truth.Record{Kind: kind, Salt: event.Salt, Hashes: event.Hashes})
	}
	if e.random.Float64() < e.conditions.EventLoss {
		return
	}
	due := e.now.Add(e.conditions.EventDelay)
	if count := len(e.feed.pending); count > 0 && due.Before(e.feed.pending[count-1].due) {
		due = e.feed.pending[count-1].due
	}
	e.feed.pending = append(e.feed.pending, pendingEvent{due: due, event: event})
}

// queueRemovedEvents queues one event for each run of blocks with the same salt.
func (e *Engine) queueRemovedEvents(removed []*block) {
	for start := 0; start < len(removed); {
		salt := removed[start].key.salt
		var hashes prefix.Chain
		for start < len(removed) && removed[start].key.salt == salt {
			hashes = append(hashes, removed[start].key.hash)
			start++
		}
		e.queueCacheEvent(protocol.CacheEvent{Kind: protocol.CacheRemoved, Salt: salt, Hashes: hashes})
	}
}

// publishDue publishes the due events as one batch.
func (e *Engine) publishDue(now time.Time) {
	batch := &protocol.CacheEventBatch{Incarnation: e.incarnation}
	count := 0
	for count < len(e.feed.pending) && !e.feed.pending[count].due.After(now) {
		batch.Events = append(batch.Events, e.feed.pending[count].event)
		count++
	}
	e.feed.pending = e.feed.pending[count:]
	e.outbox = append(e.outbox, Output{Time: e.now, Batch: batch})
}

// Snapshot returns all cached blocks and the sequence number of the last event,
// published or not.
func (e *Engine) Snapshot(now time.Time) protocol.CacheSnapshot {
	e.advanceTo(now)
	return protocol.CacheSnapshot{
		Incarnation: e.incarnation,
		Sequence:    e.feed.sequence,
		Hashes:      e.blocks.hashes(),
	}
}
