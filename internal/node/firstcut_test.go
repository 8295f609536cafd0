package node

// The number of routers, by which the slack of repeats is divided, is read by the router
// that reads the store for all. When the first router of all is cut off from the store
// alone, its peers go on pulling from it, find its state stale, and one of them reads the
// store in its place. But the cut-off one still counts as up, so that none of the others
// takes itself for the first one, and nobody counts the routers that join.

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// reachedTable is the store's table as a router reaches it, or not.
type reachedTable struct {
	*fakeStore
	router *zoneRouter
}

func (t *reachedTable) Commit(ctx context.Context, tx protocol.Transaction) (protocol.TransactionResult, error) {
	if err := t.router.ask(); err != nil {
		return protocol.TransactionResult{}, err
	}
	return t.fakeStore.Commit(ctx, tx)
}

func (t *reachedTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	if err := t.router.ask(); err != nil {
		return protocol.RowList{}, err
	}
	return t.fakeStore.List(ctx, prefix, limit)
}

func TestRoutersThatJoinWhileTheFirstOneIsCutOffAreCounted(t *testing.T) {
	tests := []struct {
		name string
		// cut is the router that does not reach the store.
		cut ident.Node
	}{
		{"the last one is cut off", "g"},
		{"the first one is cut off", "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fleet{zone: newZone()}
				f.guard = func(_ context.Context, running *zoneRouter) {
					running.follower.roster.table = &reachedTable{f.store, running}
				}
				for _, node := range []ident.Node{"a", "b", "c", "d", "e", "f", "g"} {
					f.up(t, node)
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(time.Minute)
				f.set(tt.cut, func(r *zoneRouter) { r.cut = true })
				time.Sleep(3 * time.Second)
				f.adopt(5)
				for _, node := range []ident.Node{"h", "i", "j"} {
					f.up(t, node)
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(30 * time.Second)
				f.adopted(t, 5) // all are supplied meanwhile
				for node, running := range f.routers {
					if routers := running.follower.replica.Routers(); routers != 10 {
						t.Errorf("%s counts %d routers, not 10", node, routers)
					}
				}
				t.Logf("at most %d repeats in a window, %d may be", f.most(), greedySlack)
				is.True(f.most() <= greedySlack)
			})
		})
	}
}
