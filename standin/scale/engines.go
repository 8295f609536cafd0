package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
)

const (
	// batchPeriod is the time between two batches of an engine's cache events.
	batchPeriod = 100 * time.Millisecond
	// storedFor is how many batches a filling block stays in an engine's cache.
	storedFor = 50
	// prefixLifetime is how long an engine holds a prefix that nobody uses: by
	// the target's sums, 49 million blocks stored at half of the event rate.
	prefixLifetime = 377 * time.Second
	// maxRunning is the batch limit that an engine reports.
	maxRunning = 64
	// sseFraming is the size of an event's fields without its data.
	sseFraming = 40
)

// engineTruth is one engine as it truly is.
type engineTruth struct {
	name        ident.Engine
	zone        int
	model       ident.Model
	incarnation ident.Incarnation
	running     int
	// used says when each prefix was last used here.
	used     map[int]time.Time
	sequence uint64
	// pending are blocks computed since the last batch; recent the filling
	// blocks of the last batches, the oldest first.
	pending  prefix.Chain
	recent   []prefix.Chain
	nextFill uint64
	readers  []*hollow
	// reportBytes is the size of its load report, batchBytes that of a batch.
	reportBytes int
}

func (c *cluster) addEngines() {
	for index := range c.config.engines() {
		name := ident.Engine(fmt.Sprintf("engine-%03d", index))
		engine := &engineTruth{
			name: name, zone: index % zoneCount, model: modelName(index / zoneCount),
			incarnation: ident.Incarnation(fmt.Sprintf("%s-%016x", name, index)), used: map[int]time.Time{},
			nextFill: uint64(index+1) << 32,
		}
		report, _ := json.Marshal(engine.report(c.network.Now()))
		engine.reportBytes = len(report)
		c.engines = append(c.engines, engine)
		c.engineByName[name] = engine
	}
}

func modelName(index int) ident.Model {
	return ident.Model(fmt.Sprintf("model-%02d", index%targetModels))
}

// modelCount is how many models the engines of this run serve.
func (c *cluster) modelCount() int { return max(1, min(targetModels, len(c.engines)/zoneCount)) }

// assignReaders makes each engine's owner and standby read its cache events.
func (c *cluster) assignReaders(view membership.View) {
	for _, engine := range c.engines {
		for _, owner := range directory.EngineOwners(view, engine.name) {
			engine.readers = append(engine.readers, c.byName[owner.Node])
		}
	}
}

func (e *engineTruth) report(now time.Time) protocol.LoadReport {
	return protocol.LoadReport{
		Incarnation: e.incarnation, MeasuredAt: now, AgeMillis: 50, Running: e.running, MaxRunning: maxRunning,
		PrefillMicrosPerToken: 100, CacheBlocks: 57000, CacheCapacityBlocks: 57000, BlockTokens: prefix.DefaultBlockTokens,
		Role: "mixed", Fence: 1, Loaded: []protocol.LoadedModel{{Model: e.model, Version: modelVersion}},
	}
}

// accept takes in a request and returns how many leading blocks were held.
func (e *engineTruth) accept(now time.Time, request *job) int {
	last, known := e.used[request.prefix]
	e.used[request.prefix] = now
	held := 0
	if known && now.Sub(last) < prefixLifetime {
		held = sharedBlocks
	}
	e.pending = append(e.pending, request.chain[held:]...)
	return held
}

// batch returns the next batch of events: what requests have stored, filled up
// to the rate of the target, and filling blocks removed. What requests have
// stored stays: its lifetime is longer than a run.
func (e *engineTruth) batch() protocol.CacheEventBatch {
	stored := e.pending
	e.pending = nil
	const wanted = targetEvents / targetEngines / 2 * int(batchPeriod) / int(time.Second)
	var fill prefix.Chain
	for len(stored)+len(fill) < wanted {
		e.nextFill++
		fill = append(fill, prefix.Hash(e.nextFill*0x9e3779b97f4a7c15))
	}
	e.recent = append(e.recent, fill)
	e.sequence++
	events := []protocol.CacheEvent{{Sequence: e.sequence, Kind: protocol.CacheStored, Hashes: append(stored, fill...)}}
	if len(e.recent) > storedFor {
		e.sequence++
		events = append(events, protocol.CacheEvent{Sequence: e.sequence, Kind: protocol.CacheRemoved, Hashes: e.recent[0]})
		e.recent = e.recent[1:]
	}
	return protocol.CacheEventBatch{Incarnation: e.incarnation, Events: events}
}

// sendEvents gives every reader the next batch and plans the one after it.
func (c *cluster) sendEvents(engine *engineTruth) {
	batch := engine.batch()
	size := sseFraming
	if data, err := json.Marshal(batch); err == nil {
		size += len(data)
	}
	blocks := uint64(0)
	for _, event := range batch.Events {
		blocks += uint64(len(event.Hashes))
	}
	for _, reader := range engine.readers {
		reader.eventsIn += blocks
		reader.traffic[dutyEvents].received(size + segmentHeaders)
		reader.traffic[dutyEvents].sent(segmentHeaders)
		c.network.After(zoneDelay(engine.zone, reader.zone), func() {
			reader.busy(dutyEvents, func() { reader.core.CacheEvents(reader.now(), engine.name, batch) })
		})
	}
	if c.loaded {
		c.network.After(batchPeriod, func() { c.sendEvents(engine) })
	}
}
