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
	// limitPools is the number of pools among which the back ends with limits are divided, each
	// led by one router. A pool costs every router some six small datagrams a second, and as many
	// answers, while one of its back ends has a limit.
	limitPools = 4
	// limitHelloInterval is the time between two hellos to a leader. It is short, as a router
	// that changes its leader may be counted by both for three of them, in which a limit is exceeded
	// by less than a quarter of what it allows in limitWindow.
	limitHelloInterval = 300 * time.Millisecond
	// limitWindow is the window over which limits of back ends apply.
	limitWindow = 4 * time.Second
)

// limitMessage is a message between the agents of one pool.
type limitMessage struct {
	// Pool is the place of the pool's leader (quota.Config.Place).
	Pool  uint8          `cbor:"1,keyasint,omitempty"`
	Quota quota.Datagram `cbor:"2,keyasint"`
}

// backendLimits keeps back ends within their advertised limits: it reserves each request at
// the leader of the back end's pool. It sends nothing while no limit is known.
type backendLimits struct {
	backends *backend.Registry
	metrics  *metrics
	pools    [limitPools]*quotas
}

var _ forward.BackendLimits = (*backendLimits)(nil)

// newBackendLimits returns the limits of back ends for the router at an address; routers
// returns the number of all routers, 0 if unknown.
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

// connect sets the socket over which messages are sent.
func (b *backendLimits) connect(socket *notifier) {
	for index, pool := range b.pools {
		pool.send = func(envelope quota.Envelope) {
			message := limitMessage{Pool: uint8(index), Quota: *quota.Pack(envelope.Message)}
			socket.sendTo(envelope.To, datagram{Limit: &message})
		}
	}
}

// setRouters sets this router's row and those of the others.
func (b *backendLimits) setRouters(self upstream.Peer, peers []upstream.Peer) {
	for _, pool := range b.pools {
		pool.setRouters(self, peers)
	}
}

// receive handles a message of another router.
func (b *backendLimits) receive(from netip.AddrPort, message *limitMessage) {
	if msg := message.Quota.Message(); msg != nil && int(message.Pool) < len(b.pools) {
		b.pools[message.Pool].receive(from, msg)
	}
}

// poolOf returns the index of a back end's pool.
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
		// Other routers share the limit, and would have reported its end.
		b.backends.ConfirmLimit(clock.Now(), choice.Instance)
	}
	return result
}

// Release implements forward.BackendLimits.
func (b *backendLimits) Release(to ident.Incarnation, grant quota.Grant) {
	b.pools[poolOf(to)].Release(grant)
}

// joinPool joins the pool of a back end at once, so that it exists before requests arrive.
func (b *backendLimits) joinPool(instance ident.Incarnation) {
	pool := b.pools[poolOf(instance)]
	pool.withAgent(pool.agent.Tick)
}

// run keeps this router in the pools of the back ends that have limits, until ctx ends.
func (b *backendLimits) run(ctx context.Context) {
	for {
		var limited [limitPools]bool
		instances := b.backends.LimitedInstances(clock.Now())
		for _, instance := range instances {
			limited[poolOf(instance)] = true
		}
		for index, pool := range b.pools {
			pool.updateMembership(limited[index])
		}
		if !wait.For(ctx, quotaPause(len(instances) > 0)) {
			break
		}
	}
	for _, pool := range b.pools {
		pool.updateMembership(false)
	}
}

// members returns the number of members of all pools that this router leads.
func (b *backendLimits) members() int {
	members := 0
	for _, pool := range b.pools {
		members += pool.members()
	}
	return members
}

// quotaResultName returns the metric label of a result.
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
