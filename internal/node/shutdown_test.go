package node

// Guards against a time without a holder of the lease: a router that is shutting down still
// answers pulls, but its peers must not count on it as the first of the zone.

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

func (z *zone) shutDown(nodes ...ident.Node) {
	for _, node := range nodes {
		z.routers[node].follower.advertiseShutdown()
	}
}

func TestJoiningRouterLeadsWhileFirstRoutersStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b")
		z.shutDown("a", "b")
		joined := z.start(t.Context(), "c").follower
		time.Sleep(100 * time.Millisecond)
		is.True(joined.chain.leadsRegion())
		is.True(joined.chain.reads())
		z.requireVersion(t, 1)
		z.writeConfiguration(5)
		time.Sleep(750 * time.Millisecond)
		z.requireVersion(t, 5)
		time.Sleep(zoneSharers.Lag)
		is.Equal(joined.replica.Routers(), 3) // stopping routers may still send
	})
}

func TestRunningRouterLeadsOnceFirstRoutersStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b", "c", "d")
		z.shutDown("a", "b")
		time.Sleep(100 * time.Millisecond)
		is.True(z.routers["c"].follower.chain.leadsRegion())
		is.True(!z.routers["d"].follower.chain.leadsRegion())
		is.Equal(z.routers["c"].follower.replica.Routers(), 4)
		for _, node := range []ident.Node{"a", "b"} {
			z.kill(node)
			z.start(t.Context(), node)
		}
		time.Sleep(time.Second)
		z.reads()
		time.Sleep(10 * time.Second)
		total, by := z.reads()
		is.True(total > 0)
		is.Equal(by["a"]+by["b"]+by["d"], 0)
		z.kill("c")
		time.Sleep(3 * time.Second)
		is.True(z.routers["d"].follower.chain.reads())
	})
}

// Of routers that stop together only one reads the store.
func TestOneRouterReadsStoreWhileAllStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b", "c", "d", "e", "f", "g", "h")
		for _, node := range []ident.Node{"a", "c", "e", "g", "h", "f", "d", "b"} {
			z.shutDown(node)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		z.reads()
		time.Sleep(5 * time.Second)
		total, by := z.reads()
		is.True(total > 0)
		is.Equal(by["a"], total)
	})
}

// Peers that are shutting down supply a router that does not reach the store.
func TestStoppingRoutersSupplyRouterWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, "a", "b")
		z.changeRouter("b", func(r *zoneRouter) { r.cutOff = true })
		z.shutDown("a")
		time.Sleep(3 * time.Second)
		z.writeConfiguration(5)
		time.Sleep(750 * time.Millisecond)
		z.requireVersion(t, 5)
	})
}

// A stopping node advertises that to routers that pull from it, until it ends.
func TestStoppingNodeAdvertisesShutdown(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	store.reading.Revision = 1
	peer := upstream.Peer{Node: "n", Addr: netip.MustParseAddrPort(freeAddress(t))}
	config, stop, ended := startNodeAt(t, store, 0, peer.Addr)
	waitForReadyStatus(t, config, 200)
	shuttingDown := func() bool {
		update, _, err := upstream.NewClient().Pull(t.Context(), peer, &upstream.Pull{From: upstream.Peer{Node: "o", Revision: 1 << 40}})
		is.NoErr(err)
		return update.ShuttingDown
	}
	is.True(!shuttingDown())
	stop()
	waitForReadyStatus(t, config, 503)
	for tries := 0; !shuttingDown(); tries++ {
		is.True(tries < 100)
	}
	is.NoErr(<-ended)
}
