package node

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// quotaRouter is the part of a router that handles quotas, with its socket.
type quotaRouter struct {
	peer   upstream.Peer
	quotas *quotas
	stop   context.CancelFunc
}

// startQuotas starts routers that each know the older ones.
func startQuotas(t *testing.T, count int, limited func() bool) []*quotaRouter {
	t.Helper()
	var routers []*quotaRouter
	var peers []upstream.Peer
	for index := range count {
		socket, err := listenNotifications(netip.MustParseAddrPort("127.0.0.1:0"), backend.NewRegistry(backend.Config{}), recipientsOf())
		if err != nil {
			t.Fatal(err)
		}
		addr := socket.socket.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
		peer := upstream.Peer{Node: ident.Node(fmt.Sprint("n", index)), Addr: addr, Revision: uint64(index + 1)}
		peers = append(peers, peer)
		cfg := quota.Config{Self: addr, Bounds: quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1}}
		router := &quotaRouter{peer: peer, quotas: newQuotas(cfg, &quotas{
			send: socket.sendQuota, routers: func() int { return count }, limited: limited,
			onResult: newMetrics(func() gaugeValues { return gaugeValues{} }).countTenantReservation,
		})}
		socket.quotas = router.quotas
		ctx, stop := context.WithCancel(t.Context())
		router.stop = stop
		router.quotas.setRouters(peer, peers)
		var running sync.WaitGroup
		running.Go(func() { socket.listen(ctx) })
		running.Go(func() { router.quotas.run(ctx) })
		// They must not log during another test.
		t.Cleanup(func() {
			stop()
			running.Wait()
		})
		routers = append(routers, router)
	}
	return routers
}

func reservationOf(amount float64) quota.Reservation {
	return quota.Reservation{Subject: "t", Limit: quota.Limit{Rate: 1e6, Burst: 1e6}, Version: 1, Amount: amount}
}

// Reservations are granted by the oldest router over sockets, and by the next one after its end.
func TestOldestRouterGrantsReservations(t *testing.T) {
	is := is.New(t)
	routers := startQuotas(t, 4, func() bool { return true })
	eventually(t, func() bool { return routers[0].quotas.members() == 4 })
	for _, router := range routers {
		eventually(t, func() bool {
			granted, ok := router.quotas.Acquire(t.Context(), reservationOf(1)).(quota.Granted)
			return ok && granted.Grant.Leader == routers[0].peer.Addr
		})
	}
	denied, ok := routers[3].quotas.Acquire(t.Context(), reservationOf(1e9)).(quota.Denied)
	is.True(ok)
	is.True(denied.RetryAfter > 0)
	routers[0].stop()
	eventually(t, func() bool {
		granted, ok := routers[3].quotas.Acquire(t.Context(), reservationOf(1)).(quota.Granted)
		return ok && granted.Grant.Leader == routers[1].peer.Addr
	})
	eventually(t, func() bool {
		// The others detect it by their hellos, some hundred ms apart.
		time.Sleep(quotaTick / 10)
		return routers[1].quotas.members() == 3
	})
}

func TestNoQuotaMessagesWithoutLimits(t *testing.T) {
	is := is.New(t)
	routers := startQuotas(t, 2, func() bool { return false })
	time.Sleep(2 * quotaTick)
	for _, router := range routers {
		is.Equal(router.quotas.members(), 0)
	}
}

func TestReservationEndsWithRequest(t *testing.T) {
	is := is.New(t)
	routers := startQuotas(t, 1, func() bool { return true })
	// The older router never answers.
	routers[0].quotas.setRouters(upstream.Peer{Node: "n0", Revision: 2}, []upstream.Peer{{Node: "x", Addr: routers[0].peer.Addr, Revision: 1}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	routers[0].quotas.Acquire(ctx, reservationOf(1))
	routers[0].quotas.mu.Lock()
	defer routers[0].quotas.mu.Unlock()
	is.Equal(len(routers[0].quotas.waiting), 0)
}
