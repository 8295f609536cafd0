package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// quotaTick is the time between two checks which hellos are due.
	quotaTick = 50 * time.Millisecond
	// idleQuotaTick replaces quotaTick while nothing has a limit.
	idleQuotaTick = 200 * time.Millisecond
	// pendingTick is the time between two checks whether an unanswered reservation is to be
	// requested again.
	pendingTick = 15 * time.Millisecond
)

// quotas runs one quota.Agent of this router.
type quotas struct {
	// name is the subject of the limits, for the log.
	name string
	// send sends a message to another router; it may be nil if there are none.
	send func(quota.Envelope)
	// routers returns the number of all routers, 0 if unknown.
	routers func() int
	// limited reports whether anything has a limit; it is used by run.
	limited func() bool
	// onResult is called with the result of each reservation.
	onResult func(reservation *quota.Reservation, result quota.Result)

	mu      sync.Mutex
	agent   *quota.Agent
	leader  netip.AddrPort
	member  bool
	waiting map[uint64]chan quota.Result
}

var _ forward.Quotas = (*quotas)(nil)

// Acquire implements forward.Quotas.
func (q *quotas) Acquire(ctx context.Context, reservation quota.Reservation) quota.Result {
	result := q.acquire(ctx, reservation)
	q.onResult(&reservation, result)
	return result
}

func (q *quotas) acquire(ctx context.Context, reservation quota.Reservation) quota.Result {
	decided := make(chan quota.Result, 1)
	var id uint64
	q.withAgent(func(now time.Time) {
		id = q.agent.Acquire(now, reservation)
		q.waiting[id] = decided
	})
	ticker := time.NewTicker(pendingTick)
	defer ticker.Stop()
	for {
		select {
		case result := <-decided:
			return result
		case <-ticker.C:
			q.withAgent(q.agent.Tick)
		case <-ctx.Done():
			q.withAgent(func(time.Time) {
				q.agent.Cancel(id)
				delete(q.waiting, id)
			})
			return quota.Unconfirmed{}
		}
	}
}

// Release implements forward.Quotas.
func (q *quotas) Release(grant quota.Grant) {
	q.withAgent(func(time.Time) { q.agent.Release(grant) })
}

// receive handles a message of another router.
func (q *quotas) receive(from netip.AddrPort, msg quota.Message) {
	q.withAgent(func(now time.Time) { q.agent.Receive(now, from, msg) })
}

// setRouters sets this router's row and those of the others. Only older ones may lead the pool.
func (q *quotas) setRouters(self upstream.Peer, peers []upstream.Peer) {
	older := slices.DeleteFunc(slices.Clone(peers), func(peer upstream.Peer) bool {
		return peer.Revision >= self.Revision || peer.Node == self.Node
	})
	slices.SortFunc(older, upstream.ByRevision)
	var addrs []netip.AddrPort
	for _, peer := range older {
		addrs = append(addrs, peer.Addr)
	}
	q.withAgent(func(time.Time) { q.agent.SetRouters(self.Revision, addrs) })
}

// members returns the number of routers that are members of this router's pool.
func (q *quotas) members() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.agent.Members()
}

// run keeps this router in a pool until ctx ends, while anything has a limit.
func (q *quotas) run(ctx context.Context) {
	for {
		limited := q.limited()
		q.updateMembership(limited)
		if !wait.For(ctx, quotaPause(limited)) {
			break
		}
	}
	q.updateMembership(false)
}

// quotaPause returns the time until the next check whether anything is limited.
func quotaPause(limited bool) time.Duration {
	if limited {
		return quotaTick
	}
	return idleQuotaTick
}

// updateMembership keeps this router in a pool while anything is limited, and leaves the pool
// after that. It is called by one goroutine.
func (q *quotas) updateMembership(limited bool) {
	switch {
	case limited:
		q.member = true
		q.withAgent(q.agent.Tick)
	case q.member:
		q.member = false
		q.withAgent(func(time.Time) { q.agent.Stop() })
	}
}

// shared reports whether other routers are in this router's pool.
func (q *quotas) shared() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.agent.Shared()
}

// withAgent calls a function that uses the agent, then delivers the agent's decisions and
// messages.
func (q *quotas) withAgent(call func(now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.agent.SetRouterCount(q.routers())
	call(clock.Now())
	out, done := q.agent.Flush()
	for _, decision := range done {
		if decided := q.waiting[decision.ID]; decided != nil {
			delete(q.waiting, decision.ID)
			decided <- decision.Result
		}
	}
	for _, envelope := range out {
		q.send(envelope)
	}
	if leader := q.agent.Leader(); leader != q.leader {
		log.WithFields(log.Fields{"of": q.name, "from": q.leader.String(), "to": leader.String()}).Info("quota_leader_changed")
		q.leader = leader
	}
}

// newQuotas completes and returns q.
func newQuotas(cfg quota.Config, q *quotas) *quotas {
	cfg.FirstID = rand.Uint64() >> 1
	q.agent = quota.NewAgent(cfg)
	q.waiting = make(map[uint64]chan quota.Result)
	return q
}
