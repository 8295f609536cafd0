// Package promptcache believes what the stores of kept prompt caches hold, from
// the changes that they tell.
//
// Index is a state machine without I/O or clock. It is guarded by a mutex, because
// requests ask it in any goroutine.
package promptcache

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part names the cache of one part of a prompt.
type Part struct {
	// Salt separates caches of different weights and of isolated tenants.
	Salt string
	ID   string
}

// Key is a short name of the part: 64 bits, so that beliefs about thousands of parts
// take little memory and few bytes between routers. Two parts of the same name would
// be taken for one, at the price of one save too few.
func (p Part) Key() uint64 { return xxhash.Sum64String(p.Salt + "\x00" + p.ID) }

// Change says how much of a part's cache a store holds from now on.
type Change struct {
	Part
	// Tokens is 0 once nothing is left.
	Tokens int
}

// Changes are what changed in a store since a position in its history.
type Changes struct {
	// Epoch changes when the store restarts, which empties it.
	Epoch uint64
	// Next is the position to ask from the next time.
	Next uint64
	// Lost says that older changes are missing.
	Lost    bool
	Changes []Change
}

// Listing is all that a store holds.
type Listing struct {
	Epoch, Next uint64
	Held        []Change
}

// Presence says whether a store holds a part.
type Presence uint8

const (
	// Unknown means that too little was heard of the store.
	Unknown Presence = iota
	// Missing means that the part would have to be read by an engine.
	Missing
	// Held means that the part can be fetched.
	Held
)

const (
	// staleAfter is how long a store's word is taken for its present state.
	staleAfter = 3 * time.Second
	// saveTimeout is how long after it was asked for a save is expected to show
	// in the store.
	saveTimeout = 1500 * time.Millisecond
	// minHeldTenths is the least part of a cache, in tenths, that is worth a fetch:
	// stores keep whole blocks only.
	minHeldTenths = 9
	// maxParts bounds the parts remembered of one store.
	maxParts = 1 << 16
)

// Index holds the beliefs about all stores. It is safe for concurrent use.
type Index struct {
	mu     sync.Mutex
	stores map[netip.AddrPort]*storeState
}

// storeState is what is believed of one store.
type storeState struct {
	epoch, next uint64
	asOf        time.Time
	// heldTokens are the tokens kept of each part, by the part's key.
	heldTokens map[uint64]int
	// saves holds when the save of a part was asked for by this router.
	saves map[uint64]time.Time
	// batches are the newest changes, for other routers; logged counts their entries.
	batches      []batch
	batchEntries int
}

// newStoreState returns contents that are empty but for the saves that a former copy of
// the store waits for.
func newStoreState(epoch, next uint64, previous *storeState) *storeState {
	state := &storeState{epoch: epoch, next: next, heldTokens: make(map[uint64]int), saves: make(map[uint64]time.Time)}
	if previous != nil {
		state.saves = previous.saves
	}
	return state
}

// NewIndex returns an index that knows no store.
func NewIndex() *Index {
	return &Index{stores: make(map[netip.AddrPort]*storeState)}
}

// Position returns where to ask a store's changes from; false means that its
// whole listing is wanted.
func (x *Index) Position(store netip.AddrPort) (since uint64, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := x.stores[store]
	if state == nil {
		return 0, false
	}
	return state.next, true
}

// Replace takes in the listing of a store that was asked for at a time.
func (x *Index) Replace(askedAt time.Time, store netip.AddrPort, listing *Listing) {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := newStoreState(listing.Epoch, listing.Next, nil)
	state.asOf = askedAt
	state.apply(entriesOf(listing.Held))
	x.stores[store] = state
}

// Apply takes in the changes of a store that were asked for at a time. After a
// gap or a restart it forgets the store, whose listing is wanted then.
func (x *Index) Apply(askedAt time.Time, store netip.AddrPort, changes *Changes) {
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
	state.next, state.asOf = changes.Next, askedAt
	state.apply(changed)
	state.expireSaves(askedAt)
}

// Retain forgets all stores but those given.
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

// Holds returns whether a store holds a part of a length in tokens.
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

// ReserveSave reports whether this router should have a missing part saved now, and
// counts on it for a while if so.
func (x *Index) ReserveSave(now time.Time, store netip.AddrPort, part Part) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := x.stores[store]
	if state == nil {
		return false
	}
	key := part.Key()
	if askedAt, asked := state.saves[key]; asked && now.Sub(askedAt) < saveTimeout {
		return false
	}
	state.saves[key] = now
	return true
}

// entriesOf names the parts of changes by their keys.
func entriesOf(changes []Change) []Entry {
	entries := make([]Entry, 0, len(changes))
	for _, change := range changes {
		entries = append(entries, Entry{Key: change.Part.Key(), Tokens: change.Tokens})
	}
	return entries
}

// apply takes in changes; parts beyond the bound are taken for missing.
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

// expireSaves forgets the saves that must have shown by now.
func (s *storeState) expireSaves(now time.Time) {
	for key, askedAt := range s.saves {
		if now.Sub(askedAt) >= saveTimeout {
			delete(s.saves, key)
		}
	}
}
