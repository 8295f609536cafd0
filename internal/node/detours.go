package node

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/detour"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// DetourPorts open connections to back ends.
type DetourPorts struct {
	// Dialer asks other routers for connections.
	Dialer *detour.Dialer
	// Dial opens a direct connection.
	Dial exchange.DialFunc
	// CloseIdleDirect closes the idle direct connections.
	CloseIdleDirect func()
	// Lend reserves a connection to a back end for another router, of the limit of this router's own,
	// and keeps spare ones; Return ends that.
	Lend   func(address string, limit, spare int) bool
	Return func(address string)
}

// routersRefreshInterval is the least time between two reads of the router list for detours.
const routersRefreshInterval = 2 * time.Second

// detours lets this router open connections through others, and others through this one.
type detours struct {
	ports    *DetourPorts
	follower *follower
	server   *detour.Server
	// refresh asks for a read of the router list; it never blocks.
	refresh chan struct{}
}

// newDetours returns nil if detours are disabled.
func (n *Node) newDetours() *detours {
	if n.ports.Detours == nil || !n.config.PeerAddr.IsValid() {
		return nil
	}
	d := &detours{ports: n.ports.Detours, follower: n.follower, refresh: make(chan struct{}, 1)}
	d.server = detour.NewServer(detour.ServerConfig{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.ports.Dialer.DialDirect(ctx, address, d.ports.Dial)
		},
		Credible: func(address string) bool {
			d.ports.Dialer.Verify(address, d.ports.Dial)
			return d.ports.Dialer.Credible()
		},
		Available: func() bool { return !n.stopping.Load() && !d.allLost() },
		IsRouter:  d.isRouter,
		IsBackend: func(address string) bool { return n.backends.HasAddress(address) || n.isCacheStore(address) },
		Lend:      n.lendConnection,
	})
	d.ports.Dialer.SetRouters(&detour.Routers{Peers: d.helpers, OnFailed: d.observeFailed, OnAllLost: func() {
		d.ports.CloseIdleDirect()
		d.requestRefresh()
	}})
	return d
}

// keptConnectionsDivisor divides this router's share of the connections to a back end into those that it
// does not lend.
const keptConnectionsDivisor = 4

// lendConnection reserves one of this router's connections to a back end for another router.
func (n *Node) lendConnection(address string) (done func(), lent bool) {
	name, known := n.backends.ServiceAt(address)
	snapshot := n.holder.View().Snapshot
	if !known || snapshot == nil {
		return nil, false
	}
	service := snapshot.Service(name)
	if service == nil || service.MaxConnections <= 0 {
		return nil, false
	}
	share := forward.ConnectionShare(service.MaxConnections, n.follower.sharingRouters())
	if !n.ports.Detours.Lend(address, share, max(share/keptConnectionsDivisor, 1)) {
		return nil, false
	}
	return func() { n.ports.Detours.Return(address) }, true
}

// isCacheStore reports whether an address is that of a configured prompt cache store.
func (n *Node) isCacheStore(address string) bool {
	snapshot := n.holder.View().Snapshot
	return snapshot != nil && slices.ContainsFunc(snapshot.CacheStores(), func(store netip.AddrPort) bool { return store.String() == address })
}

// allLost reports whether this router reaches no back end directly while others do.
func (d *detours) allLost() bool { return d != nil && d.ports.Dialer.AllLost() }

// minOrderLoss is how long a router must reach no back end directly to leave orders to another one:
// a lease that changes hands costs more time than a short loss.
const minOrderLoss = time.Second

// mayOrder reports whether this router reaches back ends directly, as orders must be sent.
func (d *detours) mayOrder() bool { return d == nil || d.ports.Dialer.AllLostFor() < minOrderLoss }

// helpers returns the routers that may open connections for this one. Those of a large fleet know
// only the backbone of their zone.
func (d *detours) helpers() []detour.Peer {
	if helpers := d.follower.recipients.helpersNow(); len(helpers) > 0 {
		return helpers
	}
	var helpers []detour.Peer
	for _, peer := range d.peers() {
		helpers = append(helpers, d.follower.recipients.helper(&peer))
	}
	return helpers
}

// observeFailed requests a read of the router list if routers may be missing that could have helped.
func (d *detours) observeFailed(proven bool) {
	if !proven || d.follower.replica.Routers() != d.follower.recipients.count()+1 {
		d.requestRefresh()
	}
}

// isRouter reports whether an address is that of another router. An unknown one may have started
// since the list was read, which is then read again.
func (d *detours) isRouter(addr netip.Addr) bool {
	addr = addr.Unmap()
	known := slices.ContainsFunc(d.follower.recipients.helpersNow(), func(peer detour.Peer) bool { return peer.Addr.Addr() == addr }) ||
		slices.ContainsFunc(d.peers(), func(peer upstream.Peer) bool { return peer.Addr.Addr() == addr })
	if !known {
		d.requestRefresh()
	}
	return known
}

// peers returns the peers that the chain knows.
func (d *detours) peers() (peers []upstream.Peer) {
	d.follower.chain.use(func(chain *upstream.Chain) { peers = chain.Peers() })
	return peers
}

func (d *detours) requestRefresh() {
	select {
	case d.refresh <- struct{}{}:
	default:
	}
}

// run reads the router list when that is requested, until ctx ends.
func (d *detours) run(ctx context.Context) {
	var readAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.refresh:
		}
		if clock.Since(readAt) < routersRefreshInterval || d.follower.chain.large() {
			continue
		}
		readAt = clock.Now()
		d.follower.readRouters(ctx)
	}
}
