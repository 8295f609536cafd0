package node

// The retry slack is divided by the number of routers. A router with an old, too low number, as
// after a cut-off or the death of the reader, must not keep a large share while routers join.

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// cutOffTable is a table that cannot be listed while the router is cut off.
type cutOffTable struct {
	store.Table
	router *zoneRouter
}

// List implements store.Table.
func (c *cutOffTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	c.router.zone.mu.Lock()
	cut := c.router.cutOff
	c.router.zone.mu.Unlock()
	if cut {
		return protocol.RowList{}, errors.New("cut off")
	}
	return c.Table.List(ctx, prefix, limit)
}

// newCutOffFleet returns a fleet whose cut-off routers cannot read the router list either.
func newCutOffFleet() *slackFleet {
	f := &slackFleet{zone: newZone()}
	f.beforeStart = func(_ context.Context, running *zoneRouter) {
		running.follower.routerList.table = &cutOffTable{Table: f.store, router: running}
	}
	return f
}

// startIdle starts a router that sends no retries for a while.
func (f *slackFleet) startIdle(t *testing.T, node ident.Node, quiet time.Duration) *zoneRouter {
	ctx, cancel := context.WithCancel(t.Context())
	running := f.start(ctx, node)
	stop := running.stop
	running.stop = func() {
		stop()
		cancel()
	}
	go func() {
		if wait.For(ctx, quiet) {
			f.useSlack(ctx, running)
		}
	}()
	return running
}

// startNew starts further routers, which use their whole share of the slack from the start.
func (f *slackFleet) startNew(t *testing.T, routers int) {
	for index := range routers {
		f.startRouter(t, ident.Node(fmt.Sprint("new", index)))
	}
}

// A router that is cut off from the store and all peers does not observe that others join.
func TestCutOffRouterGetsNoShareOfTheSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutOffFleet()
		f.partitioned = func(a, b ident.Zone) bool { return (a == "zfar") != (b == "zfar") }
		for _, node := range []ident.Node{"a", "b", "c-far"} {
			f.startRouter(t, node)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = true })
		f.startNew(t, 8)
		time.Sleep(time.Minute)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = false })
		time.Sleep(time.Minute)
		f.requireWithinSlack(t)
	})
}

// A reconnected router must wait a window: routers that joined, used a share and left while it
// was cut off are in none of its counts.
func TestReconnectedRouterWaitsOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutOffFleet()
		f.partitioned = func(a, b ident.Zone) bool { return (a == "zfar") != (b == "zfar") }
		far := f.startIdle(t, "c-far", 60*time.Second+34*time.Second)
		f.startRouter(t, "a")
		time.Sleep(time.Minute)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = true })
		for _, node := range []ident.Node{"d", "e", "f", "g"} {
			running, end := f.startRouter(t, node)
			time.AfterFunc(30*time.Second, func() {
				end()
				running.follower.routerList.leave(context.Background())
			})
		}
		time.Sleep(31 * time.Second)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = false })
		time.Sleep(time.Minute)
		if far.follower.replica.Sharers() == 0 {
			t.Error("the reconnected router has no share of the slack")
		}
		f.requireWithinSlack(t)
	})
}

// The count must stay timely if the router that reads for all is killed just before a count,
// after others joined.
func TestRouterCountIsTimelyWhenReaderDies(t *testing.T) {
	for _, died := range []time.Duration{4 * time.Second, 4500 * time.Millisecond, 4900 * time.Millisecond, 4990 * time.Millisecond} {
		t.Run(died.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCutOffFleet()
				f.startRouter(t, "a")
				time.Sleep(100 * time.Millisecond)
				f.startIdle(t, "b", 66*time.Second)
				time.Sleep(60*time.Second - 90*time.Millisecond)
				f.startNew(t, 8)
				time.Sleep(died - 10*time.Millisecond)
				f.kill("a")
				time.Sleep(time.Minute)
				f.requireWithinSlack(t)
			})
		})
	}
}

// A joining router's own count must not be replaced by an older, lower one of the peer that it
// pulls from: tenants' connections and limits are divided by that number.
func TestJoiningRouterKeepsItsOwnCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutOffFleet()
		f.startRouter(t, "a")
		time.Sleep(time.Minute + time.Second)
		var last *zoneRouter
		for index := range 6 {
			last, _ = f.startRouter(t, ident.Node(fmt.Sprint("new", index)))
			time.Sleep(100 * time.Millisecond)
		}
		for range 50 {
			if routers := last.follower.replica.Routers(); routers != 7 {
				t.Fatalf("the router that joined last counts %d routers, not 7", routers)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against bounds that are divided by the few routers that each counted before itself, after
// all routers started at once.
func TestRoutersThatStartTogetherCountEachOtherSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutOffFleet()
		var routers []*zoneRouter
		for index := range 6 {
			running, _ := f.startRouter(t, ident.Node(fmt.Sprint("r", index)))
			routers = append(routers, running)
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for _, running := range routers {
			if count := running.follower.replica.Routers(); count != 6 {
				t.Errorf("%s counts %d routers, not 6", running.node, count)
			}
		}
	})
}
