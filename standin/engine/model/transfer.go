package model

import (
	"encoding/json"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// exportedBlocks is the content of an opaque export. It includes the owner, so
// that an import under another namespace is refused.
type exportedBlocks struct {
	Owner  prefix.Namespace `json:"owner"`
	Hashes prefix.Chain     `json:"hashes"`
}

// Export returns those of the requested blocks that are cached, in request order,
// and their number.
func (e *Engine) Export(now time.Time, request protocol.TransferRequest) ([]byte, int, *protocol.Refusal) {
	e.advanceTo(now)
	if !e.alive || request.ExpectedIncarnation != e.incarnation {
		return nil, 0, e.refuse(protocol.RefusalMismatch, "another incarnation is in force")
	}
	exported := exportedBlocks{Hashes: prefix.Chain{}}
	for _, hash := range request.Hashes {
		if cached := e.blocks.blocks[blockKey{request.Salt, hash}]; cached != nil {
			exported.Owner = cached.owner
			exported.Hashes = append(exported.Hashes, hash)
		}
	}
	content, err := json.Marshal(exported)
	if err != nil {
		return nil, 0, e.refuse(protocol.RefusalBadRequest, "the blocks cannot be encoded: "+err.Error())
	}
	return content, len(exported.Hashes), nil
}

// Import caches exported blocks under the salt. Blocks of another namespace or
// of a version that is not loaded are refused as a mismatch.
func (e *Engine) Import(now time.Time, salt prefix.Salt, content []byte) (protocol.TransferResult, *protocol.Refusal) {
	e.advanceTo(now)
	result := protocol.TransferResult{Incarnation: e.incarnation}
	var imported exportedBlocks
	if err := json.Unmarshal(content, &imported); err != nil {
		return result, e.refuse(protocol.RefusalBadRequest, "the body is not an engine export")
	}
	if !e.alive || e.draining || e.conditions.Draining {
		return result, e.refuse(protocol.RefusalDraining, "the engine is stopping")
	}
	if len(imported.Hashes) == 0 {
		return result, nil
	}
	owner := imported.Owner
	if owner.Salt() != salt || !e.orders.serves(owner.Model, owner.Version, owner.Adapter) {
		return result, e.refuse(protocol.RefusalMismatch, "the blocks belong to another salt or to a version that is not loaded")
	}
	var stored prefix.Chain
	var pinned, evicted []*block
	for _, hash := range imported.Hashes {
		cached, removed, isNew := e.blocks.storePinned(blockKey{salt, hash}, owner)
		if cached == nil {
			break
		}
		pinned = append(pinned, cached)
		if removed != nil {
			evicted = append(evicted, removed)
		}
		if isNew {
			stored = append(stored, hash)
		}
	}
	e.blocks.unpin(pinned)
	e.queueRemovedEvents(evicted)
	e.queueCacheEvent(protocol.CacheEvent{Kind: protocol.CacheStored, Salt: salt, Hashes: stored})
	e.sampleLoad()
	result.Imported = len(pinned)
	return result, nil
}
