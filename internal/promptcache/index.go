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
	// savedWithin is how long after it was asked for a save is expected to show
	// in the store.
	savedWithin = 1500 * time.Millisecond
	// heldPart is the least part of a cache, in tenths, that is worth a fetch:
	// stores keep whole blocks only.
	heldPart = 9
	// maxParts bounds the parts remembered of one store.
	maxParts = 1 << 16
)

// Index holds the beliefs about all stores. It is safe for concurrent use.
type Index struct {
	mu     sync.Mutex
	stores map[netip.AddrPort]*contents
}

// contents is what is believed of one store.
type contents struct {
	epoch, next uint64
	heardAt     time.Time
	// held are the tokens kept of each part, by the part's key.
	held map[uint64]int
	// saving holds when the save of a part was asked for by this router.
	saving map[uint64]time.Time
	// batches are the newest changes, for other routers; logged counts their entries.
	batches []batch
	logged  int
}

// newContents returns contents that are empty but for the saves that a former copy of
// the store waits for.
func newContents(epoch, next uint64, former *contents) *contents {
	fresh := &contents{epoch: epoch, next: next, held: make(map[uint64]int), saving: make(map[uint64]time.Time)}
	if former != nil {
		fresh.saving = former.saving
	}
	return fresh
}

// NewIndex returns an index that knows no store.
func NewIndex() *Index {
	return &Index{stores: make(map[netip.AddrPort]*contents)}
}

// Position returns where to ask a store's changes from; false means that its
// whole listing is wanted.
func (x *Index) Position(store netip.AddrPort) (since uint64, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	found := x.stores[store]
	if found == nil {
		return 0, false
	}
	return found.next, true
}

// Replace takes in the listing of a store that was asked for at a time.
func (x *Index) Replace(askedAt time.Time, store netip.AddrPort, listing *Listing) {
	x.mu.Lock()
	defer x.mu.Unlock()
	found := newContents(listing.Epoch, listing.Next, nil)
	found.heardAt = askedAt
	found.take(entries(listing.Held))
	x.stores[store] = found
}

// Apply takes in the changes of a store that were asked for at a time. After a
// gap or a restart it forgets the store, whose listing is wanted then.
func (x *Index) Apply(askedAt time.Time, store netip.AddrPort, changes *Changes) {
	x.mu.Lock()
	defer x.mu.Unlock()
	found := x.stores[store]
	if found == nil {
		return
	}
	if changes.Lost || changes.Epoch != found.epoch {
		delete(x.stores, store)
		return
	}
	changed := entries(changes.Changes)
	found.log(changed)
	found.next, found.heardAt = changes.Next, askedAt
	found.take(changed)
	found.settle(askedAt)
}

// Retain forgets all stores but those given.
func (x *Index) Retain(stores []netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := make(map[netip.AddrPort]*contents, len(stores))
	for _, store := range stores {
		if found := x.stores[store]; found != nil {
			kept[store] = found
		}
	}
	x.stores = kept
}

// Holds returns whether a store holds a part of a length in tokens.
func (x *Index) Holds(now time.Time, store netip.AddrPort, part Part, tokens int) Presence {
	x.mu.Lock()
	defer x.mu.Unlock()
	found := x.stores[store]
	switch {
	case found == nil || now.Sub(found.heardAt) > staleAfter:
		return Unknown
	case found.held[part.Key()]*10 >= tokens*heldPart && tokens > 0:
		return Held
	}
	return Missing
}

// ReserveSave reports whether this router should have a missing part saved now, and
// counts on it for a while if so.
func (x *Index) ReserveSave(now time.Time, store netip.AddrPort, part Part) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	found := x.stores[store]
	if found == nil {
		return false
	}
	key := part.Key()
	if askedAt, asked := found.saving[key]; asked && now.Sub(askedAt) < savedWithin {
		return false
	}
	found.saving[key] = now
	return true
}

// entries names the parts of changes by their keys.
func entries(changes []Change) []Entry {
	named := make([]Entry, 0, len(changes))
	for _, change := range changes {
		named = append(named, Entry{Key: change.Part.Key(), Tokens: change.Tokens})
	}
	return named
}

// take takes in changes; parts beyond the bound are taken for missing.
func (c *contents) take(changes []Entry) {
	for _, change := range changes {
		if change.Tokens <= 0 {
			delete(c.held, change.Key)
			continue
		}
		if _, known := c.held[change.Key]; known || len(c.held) < maxParts {
			c.held[change.Key] = change.Tokens
		}
	}
}

// settle forgets the saves that must have shown by now.
func (c *contents) settle(now time.Time) {
	for key, askedAt := range c.saving {
		if now.Sub(askedAt) >= savedWithin {
			delete(c.saving, key)
		}
	}
}
