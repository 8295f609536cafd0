// Package promptcache tracks the content of the prompt cache stores from the
// changes that they report.
//
// Index is a state machine without I/O or clock. A mutex guards it, because
// requests use it from any goroutine.
package promptcache

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies the cache of one part of a prompt.
type Part struct {
	// Salt separates caches of different weights and of isolated tenants.
	Salt string
	ID   string
}

// Key returns a 64-bit hash of the part, which takes little memory and few bytes
// between routers. A collision costs one missing save.
func (p Part) Key() uint64 { return xxhash.Sum64String(p.Salt + "\x00" + p.ID) }

// Change is the new size of a part's cache in a store.
type Change struct {
	Part
	// Tokens is 0 once nothing is left.
	Tokens int
}

// Changes are a store's changes since a position in its history.
type Changes struct {
	// Epoch changes when the store restarts, which empties it.
	Epoch uint64
	// Next is the position of the next request.
	Next uint64
	// Lost means that older changes are missing.
	Lost    bool
	Changes []Change
}

// Listing is all that a store holds.
type Listing struct {
	Epoch, Next uint64
	Held        []Change
}

// Presence is whether a store holds a part.
type Presence uint8

const (
	// Unknown means that the store was not read lately.
	Unknown Presence = iota
	// Missing means that an engine would have to prefill the part.
	Missing
	// Held means that the part can be fetched.
	Held
)

const (
	// staleAfter is how long a store's response counts as its current state.
	staleAfter = 3 * time.Second
	// saveTimeout is the time from a save's request until the store should report
	// the part.
	saveTimeout = 1500 * time.Millisecond
	// minHeldTenths is the least share of a part, in tenths, that counts as held:
	// stores keep whole blocks only.
	minHeldTenths = 9
	// maxParts bounds the parts remembered of one store.
	maxParts = 1 << 16
)

// Index holds the known content of all stores. It is safe for concurrent use.
type Index struct {
	mu     sync.Mutex
	stores map[netip.AddrPort]*storeState
}

// storeState is the known content of one store.
type storeState struct {
	epoch, next uint64
	asOf        time.Time
	// heldTokens is the number of tokens held of each part, by Part.Key.
	heldTokens map[uint64]int
	// saves is when this router requested the save of a part, by Part.Key.
	saves map[uint64]time.Time
	// batches are the newest changes, for other routers; batchEntries counts their entries.
	batches      []batch
	batchEntries int
}

// newStoreState returns a state without parts that keeps the pending saves of the
// previous state, which may be nil.
func newStoreState(epoch, next uint64, previous *storeState) *storeState {
	state := &storeState{epoch: epoch, next: next, heldTokens: make(map[uint64]int), saves: make(map[uint64]time.Time)}
	if previous != nil {
		state.saves = previous.saves
	}
	return state
}

// NewIndex returns an index without stores.
func NewIndex() *Index {
	return &Index{stores: make(map[netip.AddrPort]*storeState)}
}

// Position returns the position to request a store's changes from; known is false
// if its listing is needed.
func (x *Index) Position(store netip.AddrPort) (since uint64, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := x.stores[store]
	if state == nil {
		return 0, false
	}
	return state.next, true
}

// Replace sets a store's content to a listing requested at requestedAt.
func (x *Index) Replace(requestedAt time.Time, store netip.AddrPort, listing *Listing) {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := newStoreState(listing.Epoch, listing.Next, nil)
	state.asOf = requestedAt
	state.apply(entriesOf(listing.Held))
	x.stores[store] = state
}

// Apply applies changes of a store requested at requestedAt. After a gap or a restart
// it removes the store, so that its listing is requested.
func (x *Index) Apply(requestedAt time.Time, store netip.AddrPort, changes *Changes) {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := x.stores[store]
	if state == nil {
		return
	}
	if changes.Lost || changes.Epoch != state.epoch {
		delete(x.stores, store)
		return
	}
	changed := entriesOf(changes.Changes)
	state.addBatch(changed)
	state.next, state.asOf = changes.Next, requestedAt
	state.apply(changed)
	state.expireSaves(requestedAt)
}

// Retain removes all stores but those given.
func (x *Index) Retain(stores []netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := make(map[netip.AddrPort]*storeState, len(stores))
	for _, store := range stores {
		if state := x.stores[store]; state != nil {
			kept[store] = state
		}
	}
	x.stores = kept
}

// Holds returns whether a store holds a part with a length in tokens.
func (x *Index) Holds(now time.Time, store netip.AddrPort, part Part, tokens int) Presence {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := x.stores[store]
	switch {
	case state == nil || now.Sub(state.asOf) > staleAfter:
		return Unknown
	case state.heldTokens[part.Key()]*10 >= tokens*minHeldTenths && tokens > 0:
		return Held
	}
	return Missing
}

// ReserveSave reports whether this router should have a missing part saved now; if
// so, it returns false for that part until saveTimeout has passed.
func (x *Index) ReserveSave(now time.Time, store netip.AddrPort, part Part) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := x.stores[store]
	if state == nil {
		return false
	}
	key := part.Key()
	if requestedAt, pending := state.saves[key]; pending && now.Sub(requestedAt) < saveTimeout {
		return false
	}
	state.saves[key] = now
	return true
}

// entriesOf returns changes as entries with the parts' keys.
func entriesOf(changes []Change) []Entry {
	entries := make([]Entry, 0, len(changes))
	for _, change := range changes {
		entries = append(entries, Entry{Key: change.Part.Key(), Tokens: change.Tokens})
	}
	return entries
}

// apply applies changes; new parts beyond maxParts are ignored.
func (s *storeState) apply(changes []Entry) {
	for _, change := range changes {
		if change.Tokens <= 0 {
			delete(s.heldTokens, change.Key)
			continue
		}
		if _, known := s.heldTokens[change.Key]; known || len(s.heldTokens) < maxParts {
			s.heldTokens[change.Key] = change.Tokens
		}
	}
}

// expireSaves removes the saves older than saveTimeout.
func (s *storeState) expireSaves(now time.Time) {
	for key, requestedAt := range s.saves {
		if now.Sub(requestedAt) >= saveTimeout {
			delete(s.saves, key)
		}
	}
}
