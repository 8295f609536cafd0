package model

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// Changes of the prefill budget by role.
const (
	prefillRoleFactor = 2
	decodeRoleDivisor = 4
)

// prefillShare is one request's part of a step's prefill budget.
type prefillShare struct {
	owner  *generation
	tokens int
}

// step is one pass of the batch: a prefill chunk and one token for each
// decoding request.
type step struct {
	end time.Time
	// remaining is the time left to end; valid while the engine is stalled.
	remaining time.Duration
	prefill   []prefillShare
	decode    []*generation
}

// Advance runs the engine up to now and returns its outputs since the last call,
// in order of time.
func (e *Engine) Advance(now time.Time) []Output {
	e.advanceTo(now)
	drained := e.outbox
	e.outbox = nil
	return drained
}

// NextTime returns the time of the next event without further input: the current
// time if outputs are pending, false if there is no event.
func (e *Engine) NextTime() (time.Time, bool) {
	if len(e.outbox) > 0 {
		return e.now, true
	}
	next, found := e.nextInternal()
	return next, found
}

func (e *Engine) nextInternal() (next time.Time, found bool) {
	consider := func(candidate time.Time) {
		if !found || candidate.Before(next) {
			next, found = candidate, true
		}
	}
	if !e.alive {
		return next, false
	}
	if e.step != nil && !e.conditions.Stalled {
		consider(e.step.end)
	}
	if len(e.feed.pending) > 0 {
		consider(e.feed.pending[0].due)
	}
	for _, load := range e.orders.loads {
		if load.weightsFetched {
			consider(load.due)
		}
	}
	return next, found
}

// advanceTo runs everything due up to now, in order of time.
func (e *Engine) advanceTo(now time.Time) {
	for {
		next, found := e.nextInternal()
		if !found || next.After(now) {
			break
		}
		if next.After(e.now) {
			e.now = next
		}
		switch {
		case len(e.feed.pending) > 0 && !e.feed.pending[0].due.After(next):
			e.publishDue(next)
		case e.step != nil && !e.conditions.Stalled && !e.step.end.After(next):
			e.finishStep()
		default:
			e.finishLoads(next)
		}
	}
	if now.After(e.now) {
		e.now = now
	}
}

// startStep starts the next step if none is in progress and there is work.
func (e *Engine) startStep(now time.Time) {
	if e.step != nil || e.conditions.Stalled || !e.alive {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	started := &step{}
	budget := e.prefillBudget()
	for _, member := range e.running {
		if left := member.remainingPrefill(); left > 0 {
			tokens := min(left, budget)
			budget -= tokens
			if tokens > 0 {
				started.prefill = append(started.prefill, prefillShare{member, tokens})
			}
			continue
		}
		started.decode = append(started.decode, member)
	}
	started.end = now.Add(e.stepDuration(started))
	e.step = started
}

func (e *Engine) prefillBudget() int {
	switch e.orders.role {
	case RolePrefill:
		return e.config.PrefillChunkTokens * prefillRoleFactor
	case RoleDecode:
		return max(e.config.PrefillChunkTokens/decodeRoleDivisor, 1)
	}
	return e.config.PrefillChunkTokens
}

func (e *Engine) stepDuration(started *step) time.Duration {
	tokens := 0
	for _, share := range started.prefill {
		tokens += share.tokens
	}
	duration := float64(tokens) * float64(e.config.PrefillPerToken)
	if others := len(started.decode) - 1; others >= 0 {
		duration += float64(e.config.DecodePerToken) * (1 + e.config.DecodeGrowth*float64(others))
	}
	return time.Duration(duration * max(e.conditions.SlowFactor, 1))
}

// admit moves waiting requests into the batch and pins their cached prefixes.
func (e *Engine) admit() {
	for len(e.running) < e.config.MaxRunning && len(e.waiting) > 0 {
		admitted := e.waiting[0]
		e.waiting = e.waiting[1:]
		admitted.running = true
		e.running = insertOrdered(e.running, admitted)
		e.pinCachedPrefix(admitted)
		e.recordGeneration(truth.Started, admitted)
	}
}

// pinCachedPrefix pins the cached prefix and counts the reused tokens. The
// last token of a prompt is always computed.
func (e *Engine) pinCachedPrefix(admitted *generation) {
	salt := admitted.request.Salt
	cachedBlocks := e.blocks.cachedPrefix(salt, admitted.chain)
	admitted.cachedTokens = e.usableTokens(admitted, cachedBlocks)
	left := admitted.cachedTokens
	for _, hash := range admitted.chain[:cachedBlocks] {
		found := e.blocks.blocks[blockKey{salt, hash}]
		e.blocks.pin(found)
		admitted.pinned = append(admitted.pinned, found)
		used := min(left, e.config.BlockTokens)
		left -= used
		admitted.addReuse(found.owner, e.incarnation, used)
	}
}

func (e *Engine) usableTokens(target *generation, cachedBlocks int) int {
	return min(cachedBlocks*e.config.BlockTokens, target.promptTokens-1)
}

// finishStep applies the effects of the current step and starts the next.
func (e *Engine) finishStep() {
	finished := e.step
	e.step = nil
	for _, share := range finished.prefill {
		if share.owner.done {
			continue
		}
		share.owner.prefilled += share.tokens
		e.storeBlocks(share.owner)
		if share.owner.remainingPrefill() == 0 {
			e.emitToken(share.owner)
		}
	}
	for _, member := range finished.decode {
		if !member.done {
			e.emitToken(member)
		}
	}
	e.startStep(e.now)
	e.sampleLoad()
}

// emitToken emits the next token and, after the last one, the end event.
func (e *Engine) emitToken(owner *generation) {
	if owner.emitted < owner.limit {
		text := owner.source.token(owner.offset + owner.emitted)
		owner.emitted++
		e.emit(owner, protocol.StreamEvent{Kind: protocol.EventChunk, Text: text, Tokens: 1})
		owner.extend(text, e.config.BlockTokens)
		e.storeBlocks(owner)
	}
	if owner.emitted < owner.limit {
		return
	}
	e.emit(owner, protocol.StreamEvent{
		Kind:         protocol.EventEnd,
		FinishReason: owner.finishReason(),
		Usage: &protocol.Usage{
			PromptTokens:     owner.promptTokens,
			CachedTokens:     owner.cachedTokens,
			CompletionTokens: owner.emitted,
		},
	})
	e.recordGeneration(truth.Finished, owner)
	e.close(owner)
}

// storeBlocks caches the blocks that prefill or decode has computed, as long as
// the version is loaded and the cache has room.
func (e *Engine) storeBlocks(owner *generation) {
	if owner.uncacheable || !e.orders.serves(owner.request.Model, owner.request.Version, owner.request.Adapter) {
		owner.uncacheable = true
		return
	}
	computed := len(owner.chain)
	if owner.remainingPrefill() > 0 {
		computed = min(computed, (owner.cachedTokens+owner.prefilled)/e.config.BlockTokens)
	}
	var stored prefix.Chain
	var evicted []*block
	for len(owner.pinned) < computed {
		hash := owner.chain[len(owner.pinned)]
		cached, removed, isNew := e.blocks.storePinned(blockKey{owner.request.Salt, hash}, owner.namespace)
		if cached == nil {
			owner.uncacheable = true
			break
		}
		owner.pinned = append(owner.pinned, cached)
		if removed != nil {
			evicted = append(evicted, removed)
		}
		if isNew {
			stored = append(stored, hash)
		}
	}
	e.queueRemovedEvents(evicted)
	e.queueCacheEvent(protocol.CacheEvent{Kind: protocol.CacheStored, Salt: owner.request.Salt, Hashes: stored})
}
