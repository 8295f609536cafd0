package model

import (
	"container/list"
	"sort"

	"github.com/fieldpond/fieldpond/internal/prefix"
)

// blockKey identifies a block. The chain hash is already seeded by the salt; the
// salt is kept so that a hash collision cannot cross namespaces.
type blockKey struct {
	salt prefix.Salt
	hash prefix.Hash
}

// block is one cached block. A pinned block is in use by a running generation
// and not on the eviction list.
type block struct {
	key     blockKey
	owner   prefix.Namespace
	pins    int
	element *list.Element
}

// blockCache holds at most capacity blocks and evicts the least recently used
// one that is not pinned.
type blockCache struct {
	capacity int
	blocks   map[blockKey]*block
	// idle lists the unpinned blocks, the next to evict first.
	idle *list.List
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: map[blockKey]*block{}, idle: list.New()}
}

// cachedPrefix returns the number of leading blocks of the chain in the cache.
func (c *blockCache) cachedPrefix(salt prefix.Salt, chain prefix.Chain) int {
	for index, hash := range chain {
		if c.blocks[blockKey{salt, hash}] == nil {
			return index
		}
	}
	return len(chain)
}

func (c *blockCache) pin(found *block) {
	if found.pins == 0 && found.element != nil {
		c.idle.Remove(found.element)
		found.element = nil
	}
	found.pins++
}

// unpin releases pinned blocks, the last of the chain first, so that leaves are
// evicted before the shared blocks that precede them.
func (c *blockCache) unpin(pinned []*block) {
	for index := len(pinned) - 1; index >= 0; index-- {
		released := pinned[index]
		released.pins--
		if released.pins == 0 && c.blocks[released.key] == released {
			released.element = c.idle.PushBack(released)
		}
	}
}

// storePinned stores and pins the block. It returns nil if every block is
// pinned, the evicted block if any, and whether the block is new.
func (c *blockCache) storePinned(key blockKey, owner prefix.Namespace) (stored, evicted *block, isNew bool) {
	if found := c.blocks[key]; found != nil {
		c.pin(found)
		return found, nil, false
	}
	if len(c.blocks) >= c.capacity {
		oldest := c.idle.Front()
		if oldest == nil {
			return nil, nil, false
		}
		evicted = oldest.Value.(*block)
		c.remove(evicted)
	}
	stored = &block{key: key, owner: owner, pins: 1}
	c.blocks[key] = stored
	return stored, evicted, true
}

func (c *blockCache) remove(removed *block) {
	if removed.element != nil {
		c.idle.Remove(removed.element)
		removed.element = nil
	}
	delete(c.blocks, removed.key)
}

// removeOwned removes the blocks whose owner matches, in a deterministic order.
func (c *blockCache) removeOwned(matches func(prefix.Namespace) bool) []*block {
	var removed []*block
	for _, cached := range c.blocks {
		if matches(cached.owner) {
			removed = append(removed, cached)
		}
	}
	sort.Slice(removed, func(i, j int) bool {
		if removed[i].key.salt != removed[j].key.salt {
			return removed[i].key.salt < removed[j].key.salt
		}
		return removed[i].key.hash < removed[j].key.hash
	})
	for _, dropped := range removed {
		c.remove(dropped)
	}
	return removed
}

// hashes returns all cached hashes in ascending order.
func (c *blockCache) hashes() prefix.Chain {
	all := make(prefix.Chain, 0, len(c.blocks))
	for key := range c.blocks {
		all = append(all, key.hash)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
