package node

// The slack of repeats is divided by the number of routers, which those that read the
// store's rows count and tell on. A router that is cut off from the store and its peers, or
// whose reader died just before a count, knew an old number for longer than the others rely
// on, and kept the part of the slack that one of so few has while machines joined.

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

// cutTable is the store's rows as a router sees them that may be cut off from them.
type cutTable struct {
	store.Table
	router *zoneRouter
}

// List implements store.Table.
func (c *cutTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	c.router.zone.mu.Lock()
	cut := c.router.cutOff
	c.router.zone.mu.Unlock()
	if cut {
		return protocol.RowList{}, errors.New("cut off")
	}
	return c.Table.List(ctx, prefix, limit)
}

// newCutFleet returns a fleet whose routers, when cut off, cannot read the rows either.
func newCutFleet() *fleet {
	f := &fleet{zone: newZone()}
	f.beforeStart = func(_ context.Context, running *zoneRouter) {
		running.follower.routerList.table = &cutTable{Table: f.store, router: running}
	}
	return f
}

// upQuiet starts a life of a router that wants no repeat for a while.
func (f *fleet) upQuiet(t *testing.T, node ident.Node, quiet time.Duration) *zoneRouter {
	ctx, cancel := context.WithCancel(t.Context())
	running := f.start(ctx, node)
	stop := running.stop
	running.stop = func() {
		stop()
		cancel()
	}
	go func() {
		if wait.For(ctx, quiet) {
			f.grab(ctx, running)
		}
	}()
	return running
}

// join starts routers that are greedy from the moment on at which they have a part.
func (f *fleet) join(t *testing.T, routers int) {
	for index := range routers {
		f.up(t, ident.Node(fmt.Sprint("new", index)))
	}
}

// A router that is cut off from the store and all peers does not know who joins.
func TestARouterThatIsCutOffGrantsNothingFromTheSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutFleet()
		f.partitioned = func(a, b ident.Zone) bool { return (a == "zfar") != (b == "zfar") }
		for _, node := range []ident.Node{"a", "b", "c-far"} {
			f.up(t, node)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = true })
		f.join(t, 8)
		time.Sleep(time.Minute)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = false })
		time.Sleep(time.Minute)
		f.keepsTheSlack(t)
	})
}

// Routers that joined, were granted something and left while this one was cut off are in
// no count that it knows when it is back.
func TestARouterThatIsBackAwaitsAWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutFleet()
		f.partitioned = func(a, b ident.Zone) bool { return (a == "zfar") != (b == "zfar") }
		far := f.upQuiet(t, "c-far", 60*time.Second+34*time.Second)
		f.up(t, "a")
		time.Sleep(time.Minute)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = true })
		for _, node := range []ident.Node{"d", "e", "f", "g"} {
			running, end := f.up(t, node)
			time.AfterFunc(30*time.Second, func() {
				end()
				running.follower.routerList.leave(context.Background())
			})
		}
		time.Sleep(31 * time.Second)
		f.changeRouter("c-far", func(r *zoneRouter) { r.cutOff = false })
		time.Sleep(time.Minute)
		if far.follower.replica.Sharers() == 0 {
			t.Error("the router that is back has no part of the slack")
		}
		f.keepsTheSlack(t)
	})
}

// The router that reads for all is killed just before a count, after machines joined.
func TestACountIsNotLateWhenItsReaderDies(t *testing.T) {
	for _, died := range []time.Duration{4 * time.Second, 4500 * time.Millisecond, 4900 * time.Millisecond, 4990 * time.Millisecond} {
		t.Run(died.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCutFleet()
				f.up(t, "a")
				time.Sleep(100 * time.Millisecond)
				f.upQuiet(t, "b", 66*time.Second)
				time.Sleep(60*time.Second - 90*time.Millisecond)
				f.join(t, 8)
				time.Sleep(died - 10*time.Millisecond)
				f.kill("a")
				time.Sleep(time.Minute)
				f.keepsTheSlack(t)
			})
		})
	}
}

// A router that joins counts the rows itself; what the peer that it pulls from counted some
// seconds before has fewer. Connections and limits of tenants are divided by that number.
func TestARouterThatJoinsKeepsItsOwnCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCutFleet()
		f.up(t, "a")
		time.Sleep(time.Minute + time.Second)
		var last *zoneRouter
		for index := range 6 {
			last, _ = f.up(t, ident.Node(fmt.Sprint("new", index)))
			time.Sleep(100 * time.Millisecond)
		}
		for range 50 {
			if routers := last.follower.replica.Routers(); routers != 7 {
				t.Fatalf("the router that joined last divides by %d, not by 7", routers)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
