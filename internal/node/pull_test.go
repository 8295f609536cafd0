package node

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
)

func TestOneRouterReadsTheStoreForItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b", "c", "d")
		time.Sleep(10 * time.Second)
		total, by := z.reads()
		is.Equal(by["a"], total)
		is.True(total <= 36) // 10s / 0.7s + 10s / 0.5s, and the ends
		z.writeConfiguration(5)
		time.Sleep(750 * time.Millisecond)
		z.requireVersion(t, 5)
		z.store.change(func() {
			z.store.records = append(z.store.records, backend.Record{Instance: "b", Service: "s", Revision: 2})
		})
		time.Sleep(550 * time.Millisecond)
		for _, running := range z.routers {
			is.Equal(len(running.follower.replica.backends.Records()), 2)
			is.Equal(running.follower.replica.Routers(), 4)
		}
	})
}

func TestOneRouterReadsTheStoreForAllZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a-x", "b-y", "c-x", "d-y", "e-z")
		time.Sleep(10 * time.Second)
		total, by := z.reads()
		is.Equal(by["a-x"], total)
		z.writeConfiguration(5)
		time.Sleep(750 * time.Millisecond)
		z.requireVersion(t, 5)
		z.kill("a-x")
		time.Sleep(3 * time.Second)
		z.reads()
		z.writeConfiguration(6)
		time.Sleep(1500 * time.Millisecond)
		z.requireVersion(t, 6)
		time.Sleep(10 * time.Second)
		total, by = z.reads()
		is.Equal(by["b-y"], total)
	})
}

// Routers that start or restart together, with the rows of former incarnations still there, must
// be supplied by the first of them instead of all reading the store.
func TestSimultaneousStartDoesNotOverloadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		const routers = 60
		name := func(i int) ident.Node { return ident.Node(fmt.Sprintf("r%02d-%d", i, i%3)) }
		startAll := func() {
			for i := range routers {
				z.start(t.Context(), name(i))
				time.Sleep(2 * time.Millisecond)
			}
		}
		startAll()
		time.Sleep(time.Second)
		z.requireVersion(t, 1)
		total, _ := z.reads()
		is.True(total <= 3*2) // the first of each zone, if at all
		for i := range routers {
			z.kill(name(i))
		}
		startAll()
		time.Sleep(time.Second)
		z.requireVersion(t, 1)
		total, _ = z.reads()
		t.Logf("%d reads after the restart", total)
		is.True(total <= routers/2)
	})
}

// What one router reads from a prompt cache store must reach all others of the zone.
func TestCacheContentsArePulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
		store := netip.MustParseAddrPort("10.0.0.9:1")
		part := promptcache.Part{Salt: "v1", ID: "p"}
		caches := func(node ident.Node) *promptcache.Index { return z.routers[node].follower.replica.caches }
		caches("a").Replace(time.Now(), store, &promptcache.Listing{Epoch: 1, Next: 5})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(caches("l").Holds(time.Now(), store, part, 100), promptcache.Missing)
		caches("a").Apply(time.Now(), store, &promptcache.Changes{
			Epoch: 1, Next: 6, Changes: []promptcache.Change{{Part: part, Tokens: 100}},
		})
		time.Sleep(1500 * time.Millisecond)
		for node := range z.routers {
			is.Equal(caches(node).Holds(time.Now(), store, part, 100), promptcache.Held)
		}
		time.Sleep(5 * time.Second) // the reader gets no more answers of the store
		is.Equal(caches("l").Holds(time.Now(), store, part, 100), promptcache.Unknown)
	})
}

// A router whose peers are dead must read the store soon.
func TestAStartingRouterDoesNotWaitForDeadPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, "a", "b", "c")
		for _, node := range []ident.Node{"a", "b", "c"} {
			z.kill(node)
		}
		z.start(t.Context(), "d")
		time.Sleep(startPeerWait + startStagger + startCheckInterval)
		z.requireVersion(t, 1)
	})
}

// Pulled state must never count as newer than the read it comes from.
func TestPulledStateKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b")
		z.store.change(func() { z.store.down = true })
		time.Sleep(time.Minute)
		one, other := z.routers["a"].follower.replica, z.routers["b"].follower.replica
		is.True(!other.holder.View().ConfirmedAt.After(one.holder.View().ConfirmedAt))
		is.True(one.holder.View().Age(time.Now()) >= time.Minute)
	})
}

// New configurations must reach all routers whatever fault hits the one that reads the store.
func TestUpdatesReachAllRoutersAfterReaderFaults(t *testing.T) {
	tests := []struct {
		name string
		hit  func(ctx context.Context, z *zone)
	}{
		{"killed", func(_ context.Context, z *zone) { z.kill("a") }},
		{"two killed", func(_ context.Context, z *zone) { z.kill("a"); z.kill("b") }},
		{"cut from the store", func(_ context.Context, z *zone) { z.changeRouter("a", func(r *zoneRouter) { r.cutOff = true }) }},
		{"restarted", func(ctx context.Context, z *zone) { z.kill("a"); z.start(ctx, "a") }},
		{"all restarted", func(ctx context.Context, z *zone) {
			for _, node := range []ident.Node{"d", "c", "b", "a"} {
				z.kill(node)
				z.start(ctx, node)
			}
		}},
		{"most cut from the store", func(_ context.Context, z *zone) {
			for _, node := range []ident.Node{"a", "b", "c"} {
				z.changeRouter(node, func(r *zoneRouter) { r.cutOff = true })
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := startZone(t, "a", "b", "c", "d")
				tt.hit(t.Context(), z)
				time.Sleep(3 * time.Second) // routers that pull have detected it
				z.writeConfiguration(7)
				time.Sleep(2 * time.Second)
				z.requireVersion(t, 7)
				time.Sleep(time.Minute)
				z.writeConfiguration(9)
				time.Sleep(2 * time.Second)
				z.requireVersion(t, 9)
			})
		})
	}
}

// While the store is down only its reader may retry at full pace.
func TestStoreOutageCausesNoRequestStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var nodes []ident.Node
		for index := range 20 {
			nodes = append(nodes, ident.Node(fmt.Sprintf("n%02d", index)))
		}
		z := startZone(t, nodes...)
		z.store.change(func() { z.store.down = true })
		time.Sleep(5 * time.Second)
		total, by := z.reads()
		is.True(by["n00"] >= 80) // the reader retries often
		is.True(total-by["n00"] <= 19*20)
		z.store.change(func() { z.store.down = false })
		z.writeConfiguration(3)
		time.Sleep(time.Second)
		z.requireVersion(t, 3)
	})
}

// A publication must have the same age at a router that pulled it.
func TestPulledPublicationsKeepTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b")
		z.store.change(func() { z.store.reading.Models = map[ident.Model]int{model: 2} })
		time.Sleep(10 * time.Second)
		late := z.start(t.Context(), "c")
		time.Sleep(5 * time.Second)
		first := z.routers["a"].follower.replica.holder.View().Models[model].Publications[0]
		for _, node := range []ident.Node{"b", "c"} {
			publication := z.routers[node].follower.replica.holder.View().Models[model].Publications[0]
			is.Equal(publication.Version, 2)
			is.True(!publication.SeenAt.After(first.SeenAt.Add(time.Second)))
		}
		is.True(!late.follower.replica.holder.View().Models[model].Publications[0].SeenAtStart)
	})
}

func TestRouterRemovesOnlyItsOwnRow(t *testing.T) {
	is := is.New(t)
	table := newFakeStore()
	first := &routerList{table: table, timeout: time.Second, node: "n", zone: "z", incarnation: "1"}
	second := &routerList{table: table, timeout: time.Second, node: "n", zone: "z", incarnation: "2"}
	_, err := first.join(t.Context())
	is.NoErr(err)
	view, err := second.join(t.Context())
	is.NoErr(err)
	is.Equal(view.routers, 1)
	first.leave(t.Context()) // its row was overwritten
	_, routers, err := second.read(t.Context())
	is.NoErr(err)
	is.Equal(routers, 1)
	second.leave(t.Context())
	_, routers, err = second.read(t.Context())
	is.NoErr(err)
	is.Equal(routers, 0)
}
