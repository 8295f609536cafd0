package promptcache

import (
	"net/netip"
	"time"
)

// Entry is the number of tokens of a part that a store holds. On the wire it is an
// array of two.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Key is Part.Key.
	Key uint64
	// Tokens is 0 if nothing is left.
	Tokens int
}

// Position identifies a version of a store's content.
type Position struct {
	Store netip.AddrPort `cbor:"1,keyasint"`
	// Epoch and Next are those of the newest changes included.
	Epoch uint64 `cbor:"2,keyasint"`
	Next  uint64 `cbor:"3,keyasint"`
}

// Update brings another router's copy of a store's content up to date.
type Update struct {
	// Position is that of the updated copy.
	Position Position `cbor:"1,keyasint"`
	// Full means that Entries are all that the store holds; else they apply to
	// the copy of the same epoch at position Since.
	Full    bool    `cbor:"2,keyasint,omitempty"`
	Since   uint64  `cbor:"3,keyasint,omitempty"`
	Entries []Entry `cbor:"4,keyasint,omitempty"`
	// Age is the time since the store was read.
	Age time.Duration `cbor:"5,keyasint"`
}

const (
	// maxBatches and maxBatchEntries bound the changes kept for other routers. A
	// router that lacks older ones gets a full update.
	maxBatches      = 32
	maxBatchEntries = 4096
)

// batch holds the changes of one response of a store.
type batch struct {
	// since is the position before the changes.
	since   uint64
	entries []Entry
}

// Positions returns the positions of all copies.
func (x *Index) Positions() []Position {
	x.mu.Lock()
	defer x.mu.Unlock()
	positions := make([]Position, 0, len(x.stores))
	for store, state := range x.stores {
		positions = append(positions, Position{Store: store, Epoch: state.epoch, Next: state.next})
	}
	return positions
}

// Updates returns the updates for another router whose copies have the positions
// held. Stores not read within staleAfter are left out.
func (x *Index) Updates(now time.Time, held []Position) []Update {
	x.mu.Lock()
	defer x.mu.Unlock()
	positions := make(map[netip.AddrPort]Position, len(held))
	for _, position := range held {
		positions[position.Store] = position
	}
	var updates []Update
	for store, state := range x.stores {
		age := now.Sub(state.asOf)
		if age > staleAfter {
			continue
		}
		update := state.since(positions[store])
		update.Position = Position{Store: store, Epoch: state.epoch, Next: state.next}
		update.Age = age
		updates = append(updates, update)
	}
	return updates
}

// ApplyUpdates applies updates of another router whose ages are relative to at. It
// ignores those that are not newer than this router's copies or have a gap to them.
func (x *Index) ApplyUpdates(at time.Time, updates []Update) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, update := range updates {
		x.applyUpdate(at.Add(-update.Age), &update)
	}
}

func (x *Index) applyUpdate(asOf time.Time, update *Update) {
	position := &update.Position
	state := x.stores[position.Store]
	switch {
	case state != nil && !asOf.After(state.asOf):
		return
	case update.Full:
		state = newStoreState(position.Epoch, position.Next, state)
		x.stores[position.Store] = state
	case state == nil || state.epoch != position.Epoch || state.next != update.Since:
		return
	default:
		state.addBatch(update.Entries)
		state.next = position.Next
	}
	state.asOf = asOf
	state.apply(update.Entries)
	state.expireSaves(asOf)
}

// since returns the changes since another router's copy, or a full update.
func (s *storeState) since(held Position) Update {
	if held.Epoch == s.epoch && held.Next == s.next {
		return Update{Since: s.next}
	}
	for index, kept := range s.batches {
		if held.Epoch != s.epoch || kept.since != held.Next {
			continue
		}
		update := Update{Since: held.Next}
		for _, later := range s.batches[index:] {
			update.Entries = append(update.Entries, later.entries...)
		}
		return update
	}
	update := Update{Full: true, Entries: make([]Entry, 0, len(s.heldTokens))}
	for key, tokens := range s.heldTokens {
		update.Entries = append(update.Entries, Entry{Key: key, Tokens: tokens})
	}
	return update
}

// addBatch keeps changes after the current position for other routers.
func (s *storeState) addBatch(entries []Entry) {
	s.batches = append(s.batches, batch{since: s.next, entries: entries})
	s.batchEntries += len(entries)
	for len(s.batches) > maxBatches || s.batchEntries > maxBatchEntries {
		s.batchEntries -= len(s.batches[0].entries)
		s.batches = s.batches[1:]
	}
}
