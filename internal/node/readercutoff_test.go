package node

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

// reachableTable is the store's table for a router, which fails while that is cut off.
type reachableTable struct {
	*fakeStore
	router *zoneRouter
}

func (t *reachableTable) Commit(ctx context.Context, tx protocol.Transaction) (protocol.TransactionResult, error) {
	if err := t.router.countRead(); err != nil {
		return protocol.TransactionResult{}, err
	}
	return t.fakeStore.Commit(ctx, tx)
}

func (t *reachableTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	if err := t.router.countRead(); err != nil {
		return protocol.RowList{}, err
	}
	return t.fakeStore.List(ctx, prefix, limit)
}

// While the first router is cut off from the store alone, it still counts as up, so another one
// must count routers that join. Otherwise the retry slack is divided by too few.
func TestRoutersJoinedWhileReaderIsCutOffAreCounted(t *testing.T) {
	oneZone := [][]ident.Node{{"a", "b", "c", "d", "e", "f", "g"}, {"h", "i", "j"}}
	zones := [][]ident.Node{{"a-1", "b-2", "c-3", "d-1", "e-2", "f-3", "g-1"}, {"h-2", "i-3", "j-1"}}
	tests := []struct {
		name string
		// nodes are those that run first and those that join while one is cut off.
		nodes [][]ident.Node
		// cut is the router that does not reach the store, holder the holder of the lease, if
		// any, which also counts the routers.
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
				f := newReachableFleet(tt.holder)
				f.startInOrder(t, tt.nodes[0])
				time.Sleep(time.Minute)
				f.changeRouter(tt.cut, func(r *zoneRouter) { r.cutOff = true })
				time.Sleep(3 * time.Second)
				f.writeConfiguration(5)
				f.startInOrder(t, tt.nodes[1])
				time.Sleep(30 * time.Second)
				f.requireVersion(t, 5) // all are supplied
				f.requireCount(t, 10)
				t.Logf("at most %d retries in a window, %d are allowed", f.maxInWindow(), totalSlack)
				is.True(f.maxInWindow() <= totalSlack)
			})
		})
	}
}

// newReachableFleet returns a fleet whose cut-off routers do not reach the store's table either.
// The holder of the lease, if any, also counts the routers.
func newReachableFleet(holder ident.Node) *slackFleet {
	f := &slackFleet{zone: newZone()}
	f.beforeStart = func(ctx context.Context, running *zoneRouter) {
		if running.node == holder {
			go running.follower.countRouters(ctx, func() bool { return true })
		}
		running.follower.routerList.table = &reachableTable{f.store, running}
	}
	return f
}

func (f *slackFleet) startInOrder(t *testing.T, nodes []ident.Node) {
	for _, node := range nodes {
		f.startRouter(t, node)
		time.Sleep(20 * time.Millisecond)
	}
}

// requireCount fails the test unless each router counts want routers.
func (f *slackFleet) requireCount(t *testing.T, want int) {
	for node, running := range f.routers {
		if routers := running.follower.replica.Routers(); routers != want {
			t.Errorf("%s counts %d routers, not %d", node, routers, want)
		}
	}
}

// While the first router is cut off from the store alone, another one must contend for the lease.
func TestAnotherRouterContendsWhileReaderIsCutOff(t *testing.T) {
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

// contenders returns the routers that contend for the lease, in the order of their names.
func (z *zone) contenders() (nodes []ident.Node) {
	for _, node := range slices.Sorted(maps.Keys(z.routers)) {
		if z.routers[node].follower.contends() {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
