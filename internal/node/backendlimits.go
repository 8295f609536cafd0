package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// limitPools is the number of routers that share out the granting for back ends with
	// limits. Each costs every router some six small datagrams a second and as many answers,
	// while a back end that it grants for has a limit.
	limitPools = 4
	// limitHelloInterval is the time between two hellos to each of them. A router that goes from one
	// pool to another may count in both for three of them, in which a limit is exceeded by
	// less than a quarter of what it allows in limitWindow.
	limitHelloInterval = 300 * time.Millisecond
	// limitWindow is the window in which what back ends get is judged.
	limitWindow = 4 * time.Second
)

// limitMessage is a message between the agents that grant for a part of the back ends.
type limitMessage struct {
	// Pool is that of the router which leads (quota.Config.Place).
	Pool  uint8          `cbor:"1,keyasint,omitempty"`
	Quota quota.Datagram `cbor:"2,keyasint"`
}

// backendLimits keeps back ends within the limits that they name: it claims each request from
// the router that grants for its back end. It sends nothing while no limit is known. It
// implements forward.BackendLimits.
type backendLimits struct {
	backends *backend.Registry
	metrics  *metrics
	pools    [limitPools]*quotas
}

var _ forward.BackendLimits = (*backendLimits)(nil)

// newBackendLimits returns the limits of back ends as the router at an address keeps them;
// routers returns the number of all routers, 0 if it is not known.
func newBackendLimits(self netip.AddrPort, backends *backend.Registry, routers func() int, counters *metrics) *backendLimits {
	b := &backendLimits{backends: backends, metrics: counters}
	for index := range b.pools {
		cfg := quota.Config{
			Self: self, Bounds: quota.Bounds{Window: limitWindow, Unit: 1}, Place: index, HelloInterval: limitHelloInterval,
			Standalone: !self.IsValid(),
		}
		b.pools[index] = newQuotas(cfg, &quotas{
			name: "back ends", send: func(quota.Envelope) {}, routers: routers,
			onResult: func(*quota.Reservation, quota.Result) {},
		})
	}
	return b
}

// connect sends messages by the socket of this router.
func (b *backendLimits) connect(socket *notifier) {
	for index, pool := range b.pools {
		pool.send = func(envelope quota.Envelope) {
			message := limitMessage{Pool: uint8(index), Quota: *quota.Pack(envelope.Message)}
			socket.sendTo(envelope.To, datagram{Limit: &message})
		}
	}
}

// setRouters takes in this router's row and those of the others.
func (b *backendLimits) setRouters(self upstream.Peer, peers []upstream.Peer) {
	for _, pool := range b.pools {
		pool.setRouters(self, peers)
	}
}

// receive takes in a message of another router.
func (b *backendLimits) receive(from netip.AddrPort, message *limitMessage) {
	if msg := message.Quota.Message(); msg != nil && int(message.Pool) < len(b.pools) {
		b.pools[message.Pool].receive(from, msg)
	}
}

// poolOf returns the place of the router that grants for a back end.
func poolOf(instance ident.Incarnation) int {
	return int(xxhash.Sum64String(string(instance)) % limitPools)
}

// Acquire implements forward.BackendLimits.
func (b *backendLimits) Acquire(ctx context.Context, choice *backend.Choice, preferred bool) quota.Result {
	pool := b.pools[poolOf(choice.Instance)]
	result := pool.Acquire(ctx, quota.Reservation{
		Subject: quota.Subject(choice.Instance), Limit: quota.Limit{Rate: choice.Limit.Rate}, Version: choice.Limit.Sequence,
		Amount: 1, Preferred: preferred,
	})
	b.metrics.limitReservations.WithLabelValues(quotaResultName(result)).Inc()
	if _, unconfirmed := result.(quota.Unconfirmed); !unconfirmed && pool.shared() {
		// Others keep to the limit as well: an answer that ends it would have been told.
		b.backends.ConfirmLimit(clock.Now(), choice.Instance)
	}
	return result
}

// Release implements forward.BackendLimits.
func (b *backendLimits) Release(to ident.Incarnation, grant quota.Grant) {
	b.pools[poolOf(to)].Release(grant)
}

// joinPool joins the pool for a back end at once, so that it is formed when requests come.
func (b *backendLimits) joinPool(instance ident.Incarnation) {
	pool := b.pools[poolOf(instance)]
	pool.withAgent(pool.agent.Tick)
}

// run keeps this router in the pools for the back ends that have limits, until ctx ends.
func (b *backendLimits) run(ctx context.Context) {
	wait.Every(ctx, quotaTick, func() {
		var limited [limitPools]bool
		for _, instance := range b.backends.LimitedInstances(clock.Now()) {
			limited[poolOf(instance)] = true
		}
		for index, pool := range b.pools {
			pool.updateMembership(limited[index])
		}
	})
	for _, pool := range b.pools {
		pool.updateMembership(false)
	}
}

// members returns the number of routers that are members of pools which this router leads.
func (b *backendLimits) members() int {
	members := 0
	for _, pool := range b.pools {
		members += pool.members()
	}
	return members
}

// quotaResultName is the name of a verdict in metrics.
func quotaResultName(result quota.Result) string {
	switch result.(type) {
	case quota.Granted:
		return "granted"
	case quota.Denied:
		return "denied"
	default:
		return "unconfirmed"
	}
}
