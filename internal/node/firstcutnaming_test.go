package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// forgetfulStore tells what a router with a deaf watch is told, and keeps no changes of before
// a revision.
type forgetfulStore struct {
	deafForAWhile
	kept *atomic.Uint64
}

func (f *forgetfulStore) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	if err := f.countCall(&f.watches); err != nil {
		return Changes{}, err
	}
	if after < f.kept.Load() {
		return Changes{}, ErrHistoryGone
	}
	return f.deafForAWhile.Changes(ctx, after, hold)
}

// A store that forgets its history leaves changes out for a while. They are asked for once
// more, but only by the router that reads the store for all, which a router that is cut off
// from the store alone still is to its peers: the one that reads and watches in its place
// asks no second time. When the cut is over, the store keeps these changes no more.
func TestAVersionLeftOutWhileTheFirstRouterIsCutOffIsLearnt(t *testing.T) {
	for _, cut := range []ident.Node{"c", "a"} {
		t.Run("cut off: "+string(cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newNamedZone()
				fault, kept := &atomic.Bool{}, &atomic.Uint64{}
				startForgetful(t, z, fault, kept)
				time.Sleep(10 * time.Second)
				z.changeRouter(cut, func(r *zoneRouter) { r.cutOff = true })
				time.Sleep(5 * time.Second)
				fault.Store(true)
				z.store.name(3, 2)
				time.Sleep(time.Second)
				fault.Store(false)
				// The store keeps its changes for 20 s.
				time.Sleep(20 * time.Second)
				changes, err := z.store.Changes(t.Context(), 0, time.Millisecond)
				is.New(t).NoErr(err)
				kept.Store(changes.StoreRevision)
				z.changeRouter(cut, func(r *zoneRouter) { r.cutOff = false })
				time.Sleep(time.Minute)
				z.know(t, 3)
			})
		})
	}
}

// startForgetful starts three routers before a store that leaves changes out while it is at
// fault, and keeps none of before a revision.
func startForgetful(t *testing.T, z *zone, fault *atomic.Bool, kept *atomic.Uint64) {
	z.beforeStart = func(_ context.Context, running *zoneRouter) {
		running.follower.source = &forgetfulStore{deafForAWhile{running, fault}, kept}
		running.follower.routerList.table = &reachedTable{z.store, running}
	}
	for _, node := range []ident.Node{"a", "b", "c"} {
		z.start(t.Context(), node)
		time.Sleep(20 * time.Millisecond)
	}
}

// know fails the test unless each router knows a version as the newest.
func (z *zone) know(t *testing.T, want int) {
	for node, running := range z.routers {
		if newest := running.newest().Version; newest != want {
			t.Errorf("%s knows version %d as the newest, not %d", node, newest, want)
		}
	}
}
