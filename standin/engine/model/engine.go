package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// Output is one output of an engine. Exactly one of Event, Batch, Fetch and
// Truth is set.
type Output struct {
	Time time.Time
	// Event belongs to the stream named in it.
	Event *protocol.StreamEvent
	// Batch is a published cache event batch.
	Batch *protocol.CacheEventBatch
	// Fetch is a load order whose weights the driver must fetch (ExternalWeights).
	Fetch *protocol.Order
	// Truth is a record for the truth log.
	Truth *truth.Record
}

// fullRetryAfter is the Retry-After time of a full engine.
const fullRetryAfter = 200 * time.Millisecond

// Engine is the model of one engine over all its incarnations.
type Engine struct {
	config      Config
	random      *rand.Rand
	incarnation ident.Incarnation
	alive       bool
	draining    bool
	conditions  Conditions
	now         time.Time
	outbox      []Output

	blocks   *blockCache
	waiting  []*generation
	running  []*generation
	streams  map[ident.Stream]*generation
	arrivals uint64
	step     *step
	feed     eventFeed
	orders   orderBook
	reports  reportHistory
}

// New returns a running engine with an empty cache. The config must be valid.
func New(config Config, incarnation ident.Incarnation, random *rand.Rand, start time.Time) *Engine {
	engine := &Engine{config: config, random: random, conditions: config.Conditions()}
	engine.Restart(start, incarnation)
	return engine
}

// Restart starts a new incarnation with an empty cache and the configured models.
func (e *Engine) Restart(now time.Time, incarnation ident.Incarnation) {
	e.now = now
	e.incarnation = incarnation
	e.alive = true
	e.draining = false
	e.blocks = newBlockCache(e.config.CacheBlocks)
	e.waiting, e.running, e.step = nil, nil, nil
	e.streams = map[ident.Stream]*generation{}
	e.feed = eventFeed{}
	e.orders = newOrderBook(e.config)
	e.reports = reportHistory{}
	e.sampleLoad()
	e.record(truth.Record{Kind: truth.IncarnationStarted})
}

// Crash ends the incarnation: streams, cache, orders and unpublished events are
// lost. Until Restart the engine rejects everything; a driver that models the
// network should refuse connections instead.
func (e *Engine) Crash(now time.Time) {
	if !e.alive {
		return
	}
	e.advanceTo(now)
	for _, queue := range [][]*generation{e.running, e.waiting} {
		for _, lost := range queue {
			e.recordGeneration(truth.Lost, lost)
		}
	}
	e.record(truth.Record{Kind: truth.Crashed})
	e.alive = false
	e.waiting, e.running, e.step = nil, nil, nil
	e.streams = map[ident.Stream]*generation{}
	e.feed.pending = nil
	e.orders.loads = nil
	e.blocks = newBlockCache(e.config.CacheBlocks)
}

// Alive reports whether the engine is between Restart and Crash.
func (e *Engine) Alive() bool { return e.alive }

// Incarnation returns the current or last incarnation.
func (e *Engine) Incarnation() ident.Incarnation { return e.incarnation }

// Idle reports whether no generation is waiting or running.
func (e *Engine) Idle() bool { return len(e.waiting) == 0 && len(e.running) == 0 }

// CachedPrefixBlocks returns the number of leading blocks of a chain in the cache.
func (e *Engine) CachedPrefixBlocks(salt prefix.Salt, chain prefix.Chain) int {
	return e.blocks.cachedPrefix(salt, chain)
}

// Drain rejects new work for the rest of the incarnation.
func (e *Engine) Drain(now time.Time) {
	e.advanceTo(now)
	e.draining = true
	e.sampleLoad()
}

// SetConditions applies new conditions, for example when a fault begins.
func (e *Engine) SetConditions(now time.Time, conditions Conditions) {
	e.advanceTo(now)
	if conditions == e.conditions {
		return
	}
	wasStalled := e.conditions.Stalled
	e.conditions = conditions
	if e.step != nil && wasStalled && !conditions.Stalled {
		e.step.end = now.Add(e.step.remaining)
	}
	if e.step != nil && !wasStalled && conditions.Stalled {
		e.step.remaining = e.step.end.Sub(now)
	}
	e.startStep(now)
	e.sampleLoad()
}

// Submit refuses a request before anything runs or accepts it: then its start
// event is in the next outputs. The start event reports the tokens cached at
// acceptance, the end event those that were reused.
func (e *Engine) Submit(now time.Time, request protocol.GenerateRequest) (ident.Stream, *protocol.Refusal) {
	e.advanceTo(now)
	if refusal := e.check(request); refusal != nil {
		return "", refusal
	}
	e.arrivals++
	accepted := newGeneration(request, e.config.BlockTokens)
	accepted.arrival = e.arrivals
	accepted.stream = ident.Stream(fmt.Sprintf("%s-%06d", e.incarnation, e.arrivals))
	e.streams[accepted.stream] = accepted
	e.waiting = insertOrdered(e.waiting, accepted)
	cached := e.usableTokens(accepted, e.blocks.cachedPrefix(request.Salt, accepted.chain))
	e.emit(accepted, protocol.StreamEvent{
		Kind:  protocol.EventStart,
		Usage: &protocol.Usage{PromptTokens: accepted.promptTokens, CachedTokens: cached},
	})
	e.startStep(now)
	e.sampleLoad()
	return accepted.stream, nil
}

// Cancel stops a generation; an unknown or ended stream is no error.
func (e *Engine) Cancel(now time.Time, stream ident.Stream) {
	e.advanceTo(now)
	cancelled := e.streams[stream]
	if cancelled == nil {
		return
	}
	e.emit(cancelled, protocol.StreamEvent{Kind: protocol.EventError, Message: "generation was cancelled"})
	e.recordGeneration(truth.Cancelled, cancelled)
	e.close(cancelled)
	e.sampleLoad()
}

// check returns a refusal if the request must not run.
func (e *Engine) check(request protocol.GenerateRequest) *protocol.Refusal {
	namespace := prefix.Namespace{
		Tenant: request.Tenant, Model: request.Model,
		Version: request.Version, Adapter: request.Adapter,
	}
	switch {
	case !e.alive:
		return e.refuse(protocol.RefusalDraining, "the engine is down")
	case request.ExpectedIncarnation != e.incarnation:
		return e.refuse(protocol.RefusalMismatch, "another incarnation is in force")
	case e.draining || e.conditions.Draining:
		return e.refuse(protocol.RefusalDraining, "the engine is stopping")
	case request.Prompt == "" || request.MaxTokens <= 0 || request.RequestID == "":
		return e.refuse(protocol.RefusalBadRequest, "request_id, prompt and max_tokens must be set")
	case prefix.Tokens(request.Prompt)+prefix.Tokens(request.Continued) > e.config.MaxPromptTokens,
		request.MaxTokens > e.config.MaxOutputTokens:
		return e.refuse(protocol.RefusalBadRequest, "prompt or max_tokens is above the engine's limit")
	case !e.orders.serves(request.Model, request.Version, request.Adapter):
		return e.refuse(protocol.RefusalMismatch, "model, version or adapter is not loaded")
	case request.Salt != namespace.Salt():
		return e.refuse(protocol.RefusalMismatch, "the salt is not that of tenant, model, version and adapter")
	case e.conditions.RefuseFull || len(e.waiting) >= e.config.MaxWaiting:
		refusal := e.refuse(protocol.RefusalFull, "the waiting queue is full")
		refusal.RetryAfterMillis = fullRetryAfter.Milliseconds()
		return refusal
	}
	return nil
}

func (e *Engine) refuse(kind protocol.RefusalKind, message string) *protocol.Refusal {
	return &protocol.Refusal{Kind: kind, Message: message, Ran: fault.RanNo, Incarnation: e.incarnation}
}

// close ends a generation and releases its blocks and queue entry.
func (e *Engine) close(closing *generation) {
	closing.done = true
	delete(e.streams, closing.stream)
	e.blocks.unpin(closing.pinned)
	closing.pinned = nil
	if closing.running {
		e.running = without(e.running, closing)
	} else {
		e.waiting = without(e.waiting, closing)
	}
}

func (e *Engine) emit(owner *generation, event protocol.StreamEvent) {
	event.RequestID = owner.request.RequestID
	event.Attempt = owner.request.Attempt
	event.Incarnation = e.incarnation
	event.Stream = owner.stream
	event.Sequence = owner.sequence
	owner.sequence++
	e.outbox = append(e.outbox, Output{Time: e.now, Event: &event})
}

func (e *Engine) record(record truth.Record) {
	record.Time = e.now
	record.Engine = e.config.Name
	record.Zone = e.config.Zone
	record.Incarnation = e.incarnation
	e.outbox = append(e.outbox, Output{Time: e.now, Truth: &record})
}

func (e *Engine) recordGeneration(kind truth.Kind, target *generation) {
	record := truth.Record{
		Kind:            kind,
		RequestID:       target.request.RequestID,
		Attempt:         target.request.Attempt,
		Stream:          target.stream,
		Tenant:          target.request.Tenant,
		Model:           target.request.Model,
		Version:         target.request.Version,
		Adapter:         target.request.Adapter,
		Ran:             target.running,
		PromptTokens:    target.promptTokens,
		CachedTokens:    target.cachedTokens,
		PrefilledTokens: target.prefilled,
		GeneratedTokens: target.emitted,
		Reused:          target.reused,
	}
	if kind == truth.Started && e.config.TruthBlocks {
		record.Salt = target.request.Salt
		record.Hashes = append(prefix.Chain(nil), target.chain...)
	}
	e.record(record)
}
