package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// CacheReader reads the contents of prompt cache stores.
type CacheReader interface {
	// Changes returns the changes of a store since a position in its history.
	Changes(ctx context.Context, store netip.AddrPort, since uint64) (*promptcache.Changes, error)
	// List returns the whole content of a store.
	List(ctx context.Context, store netip.AddrPort) (*promptcache.Listing, error)
}

const (
	// cacheInterval is the time between two reads of a store's changes.
	cacheInterval = time.Second
	// cacheTimeout bounds one read.
	cacheTimeout = 300 * time.Millisecond
)

// cacheFollower reads the prompt cache stores for all routers of its region (of its zone, if
// there is one region), which pull the result. The content of a store that cannot be read
// becomes unknown after a while.
type cacheFollower struct {
	// reads reports whether this router reads the stores for the others.
	reads  func() bool
	reader CacheReader
	index  *promptcache.Index
	holder *catalog.Holder
}

// run reads all stores of the current configuration while reads returns true, until ctx
// ends.
func (f *cacheFollower) run(ctx context.Context) {
	wait.Every(ctx, cacheInterval, func() {
		view := f.holder.View()
		if view.Snapshot == nil {
			return
		}
		stores := view.Snapshot.CacheStores()
		f.index.Retain(stores)
		if !f.reads() {
			return
		}
		for _, store := range stores {
			f.read(ctx, store)
		}
	})
}

// read applies the changes of one store since the last read.
func (f *cacheFollower) read(ctx context.Context, store netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	askedAt := clock.Now()
	since, known := f.index.Position(store)
	if !known {
		if listing, err := f.reader.List(ctx, store); err == nil {
			f.index.Replace(askedAt, store, listing)
		}
		return
	}
	if changes, err := f.reader.Changes(ctx, store, since); err == nil {
		f.index.Apply(askedAt, store, changes)
	}
}
