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

// truncatedHistory is lossyChanges without the changes before the revision oldest.
type truncatedHistory struct {
	lossyChanges
	oldest *atomic.Uint64
}

func (t *truncatedHistory) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	if err := t.countCall(&t.watches); err != nil {
		return Changes{}, err
	}
	if after < t.oldest.Load() {
		return Changes{}, ErrHistoryGone
	}
	return t.lossyChanges.Changes(ctx, after, hold)
}

// If the first router is cut off from the store alone, the one that watches in its place must
// recheck changes, as the store may forget them before the first one is back.
func TestOmittedVersionIsFoundWhileReaderIsCutOff(t *testing.T) {
	for _, cut := range []ident.Node{"c", "a"} {
		t.Run("cut off: "+string(cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newPublishedZone()
				fault, oldest := &atomic.Bool{}, &atomic.Uint64{}
				startTruncated(t, z, fault, oldest)
				time.Sleep(10 * time.Second)
				z.changeRouter(cut, func(r *zoneRouter) { r.cutOff = true })
				time.Sleep(5 * time.Second)
				fault.Store(true)
				z.store.publish(3, 2)
				time.Sleep(time.Second)
				fault.Store(false)
				// The store keeps its changes for 20 s.
				time.Sleep(20 * time.Second)
				changes, err := z.store.Changes(t.Context(), 0, time.Millisecond)
				is.New(t).NoErr(err)
				oldest.Store(changes.StoreRevision)
				z.changeRouter(cut, func(r *zoneRouter) { r.cutOff = false })
				time.Sleep(time.Minute)
				z.requireNewest(t, 3)
			})
		})
	}
}

// startTruncated starts three routers at a store that omits changes while fault is set, and has
// none before a revision.
func startTruncated(t *testing.T, z *zone, fault *atomic.Bool, oldest *atomic.Uint64) {
	z.beforeStart = func(_ context.Context, running *zoneRouter) {
		running.follower.source = &truncatedHistory{lossyChanges{running, fault}, oldest}
		running.follower.routerList.table = &reachableTable{z.store, running}
	}
	for _, node := range []ident.Node{"a", "b", "c"} {
		z.start(t.Context(), node)
		time.Sleep(20 * time.Millisecond)
	}
}

// requireNewest fails the test unless want is the newest version at each router.
func (z *zone) requireNewest(t *testing.T, want int) {
	for node, running := range z.routers {
		if newest := running.newest().Version; newest != want {
			t.Errorf("%s has version %d as the newest, not %d", node, newest, want)
		}
	}
}
