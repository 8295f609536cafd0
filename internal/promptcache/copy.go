package promptcache

import (
	"net/netip"
	"time"
)

// Entry is how much of the cache of a part a store holds, under a short name of the
// part. It is an array of two on the wire.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Key is that of Part.Key.
	Key uint64
	// Tokens is 0 if nothing is left.
	Tokens int
}

// Position names a copy of what a store held.
type Position struct {
	Store netip.AddrPort `cbor:"1,keyasint"`
	// Epoch and Next are those of the newest changes that the copy has.
	Epoch uint64 `cbor:"2,keyasint"`
	Next  uint64 `cbor:"3,keyasint"`
}

// Update brings a copy of another router up to date.
type Update struct {
	// Position names the copy that comes out.
	Position Position `cbor:"1,keyasint"`
	// Full says that Entries are all that the store holds; else they change the
	// copy of the same epoch that ends at Since.
	Full    bool    `cbor:"2,keyasint,omitempty"`
	Since   uint64  `cbor:"3,keyasint,omitempty"`
	Entries []Entry `cbor:"4,keyasint,omitempty"`
	// Age is the time since the store was asked.
	Age time.Duration `cbor:"5,keyasint"`
}

const (
	// maxBatches and maxBatchEntries bound the changes that are kept for other routers, as
	// answers of a store and as entries. Who lacks older ones is told everything.
	maxBatches      = 32
	maxBatchEntries = 4096
)

// batch holds the changes of one answer of a store.
type batch struct {
	// since is the position that the answer begins at.
	since   uint64
	entries []Entry
}

// Positions names the copies held here.
func (x *Index) Positions() []Position {
	x.mu.Lock()
	defer x.mu.Unlock()
	positions := make([]Position, 0, len(x.stores))
	for store, state := range x.stores {
		positions = append(positions, Position{Store: store, Epoch: state.epoch, Next: state.next})
	}
	return positions
}

// Updates returns what brings the copies of another router up to date. Stores that
// were not heard of lately are left out.
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

// ApplyUpdates takes in updates of another router, whose ages count up to a time. Those that
// are not newer than the copies held here, or do not fit them, change nothing.
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

// since returns the changes since another router's copy, or everything.
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

// addBatch keeps changes from the present position on for other routers.
func (s *storeState) addBatch(entries []Entry) {
	s.batches = append(s.batches, batch{since: s.next, entries: entries})
	s.batchEntries += len(entries)
	for len(s.batches) > maxBatches || s.batchEntries > maxBatchEntries {
		s.batchEntries -= len(s.batches[0].entries)
		s.batches = s.batches[1:]
	}
}
