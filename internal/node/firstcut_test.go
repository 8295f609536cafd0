package node

// The number of routers, by which the slack of repeats is divided, is read by the router
// that reads the store for all. When the first router of all is cut off from the store
// alone, its peers go on pulling from it, find its state stale, and one of them reads the
// store in its place. But the cut-off one still counts as up, so that none of the others
// takes itself for the first one, and nobody counts the routers that join.

import (
	"context"
	"maps"
	"slices"
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
	if err := t.router.countRead(); err != nil {
		return protocol.TransactionResult{}, err
	}
	return t.fakeStore.Commit(ctx, tx)
}

func (t *reachedTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	if err := t.router.countRead(); err != nil {
		return protocol.RowList{}, err
	}
	return t.fakeStore.List(ctx, prefix, limit)
}

func TestRoutersThatJoinWhileTheFirstOneIsCutOffAreCounted(t *testing.T) {
	oneZone := [][]ident.Node{{"a", "b", "c", "d", "e", "f", "g"}, {"h", "i", "j"}}
	zones := [][]ident.Node{{"a-1", "b-2", "c-3", "d-1", "e-2", "f-3", "g-1"}, {"h-2", "i-3", "j-1"}}
	tests := []struct {
		name string
		// nodes run first, and join while one is cut off.
		nodes [][]ident.Node
		// cut is the router that does not reach the store, holder the one that holds the
		// lease, if there is one: a holder counts as well.
		cut, holder ident.Node
	}{
		{"the last one is cut off", oneZone, "g", ""},
		{"the first one is cut off", oneZone, "a", ""},
		{"the first one of three zones is cut off, the one that reads in its place holds the lease", zones, "a-1", "b-2"},
		{"the first one of three zones is cut off, the first of another one holds the lease", zones, "a-1", "c-3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newReachedFleet(tt.holder)
				f.upInTurn(t, tt.nodes[0])
				time.Sleep(time.Minute)
				f.changeRouter(tt.cut, func(r *zoneRouter) { r.cutOff = true })
				time.Sleep(3 * time.Second)
				f.writeConfiguration(5)
				f.upInTurn(t, tt.nodes[1])
				time.Sleep(30 * time.Second)
				f.requireVersion(t, 5) // all are supplied meanwhile
				f.count(t, 10)
				t.Logf("at most %d repeats in a window, %d may be", f.most(), greedySlack)
				is.True(f.most() <= greedySlack)
			})
		})
	}
}

// newReachedFleet returns a fleet whose routers reach the table of the store as they reach
// the store. The holder of the lease, if there is one, counts the routers as well.
func newReachedFleet(holder ident.Node) *fleet {
	f := &fleet{zone: newZone()}
	f.beforeStart = func(ctx context.Context, running *zoneRouter) {
		if running.node == holder {
			go running.follower.countRouters(ctx, func() bool { return true })
		}
		running.follower.routerList.table = &reachedTable{f.store, running}
	}
	return f
}

// upInTurn starts routers one after the other.
func (f *fleet) upInTurn(t *testing.T, nodes []ident.Node) {
	for _, node := range nodes {
		f.up(t, node)
		time.Sleep(20 * time.Millisecond)
	}
}

// count fails the test unless each router counts so many.
func (f *fleet) count(t *testing.T, want int) {
	for node, running := range f.routers {
		if routers := running.follower.replica.Routers(); routers != want {
			t.Errorf("%s counts %d routers, not %d", node, routers, want)
		}
	}
}

func TestAnotherRouterContendsWhileTheFirstOneIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b", "c", "d")
		z.writeConfiguration(5)
		time.Sleep(10 * time.Second)
		z.changeRouter("a", func(r *zoneRouter) { r.cutOff = true })
		time.Sleep(5 * time.Second)
		is.Equal(z.contenders(), []ident.Node{"a", "b"})
		z.changeRouter("a", func(r *zoneRouter) { r.cutOff = false })
		time.Sleep(5 * time.Second)
		is.Equal(z.contenders(), []ident.Node{"a"})
	})
}

// contenders returns the routers that are to hold the lease, in the order of their names.
func (z *zone) contenders() (nodes []ident.Node) {
	for _, node := range slices.Sorted(maps.Keys(z.routers)) {
		if z.routers[node].follower.contends() {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
