package node

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/promptcache"
)

// fakeCaches is a prompt cache store that has one part and may be unreachable.
type fakeCaches struct {
	lists, changes    int
	lost, unreachable bool
}

var storedPart = promptcache.Change{Part: promptcache.Part{Salt: "v1", ID: "p"}, Tokens: 100}

// List implements CacheReader.
func (c *fakeCaches) List(context.Context, netip.AddrPort) (*promptcache.Listing, error) {
	c.lists++
	if c.unreachable {
		return nil, errors.New("unreachable")
	}
	return &promptcache.Listing{Epoch: 1, Next: 1, Held: []promptcache.Change{storedPart}}, nil
}

// Changes implements CacheReader.
func (c *fakeCaches) Changes(context.Context, netip.AddrPort, uint64) (*promptcache.Changes, error) {
	c.changes++
	if c.unreachable {
		return nil, errors.New("unreachable")
	}
	return &promptcache.Changes{Epoch: 1, Next: 1, Lost: c.lost}, nil
}

func TestCacheFollowerReadsStores(t *testing.T) {
	store := netip.MustParseAddrPort("10.0.0.1:1")
	snapshot := catalog.NewSnapshot(catalog.Content{
		Version: 1, Services: []catalog.Service{{Name: "kept", CacheStore: store}},
	})
	tests := []struct {
		name           string
		reader         fakeCaches
		follows        bool
		lists, changes int
		want           promptcache.Presence
	}{
		{name: "listed once, then followed", lists: 1, changes: 9, want: promptcache.Held},
		{name: "listed again after a gap", reader: fakeCaches{lost: true}, lists: 5, changes: 5, want: promptcache.Unknown},
		{name: "read by another router of the zone", follows: true, want: promptcache.Unknown},
		{name: "unreachable", reader: fakeCaches{unreachable: true}, lists: 10, want: promptcache.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				holder := &catalog.Holder{}
				holder.Adopt(snapshot, time.Now())
				index := promptcache.NewIndex()
				follower := &cacheFollower{
					reads: func() bool { return !tt.follows }, reader: &tt.reader, index: index, holder: holder,
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*cacheInterval+cacheInterval/2)
				defer cancel()
				follower.run(ctx)
				is.Equal(tt.reader.lists, tt.lists)
				is.Equal(tt.reader.changes, tt.changes)
				is.Equal(index.Holds(time.Now(), store, storedPart.Part, 100), tt.want)
			})
		})
	}
}
