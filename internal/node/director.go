package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// orderLookback is how long before its first read an order is assumed to have been written,
// if no earlier read is known: a new router is supplied by others within this time.
const orderLookback = 3 * time.Second

// leaseTerm is the state of one holding of the lease.
type leaseTerm struct {
	fence    uint64
	director *canary.Director
	// newestRevision is the revision of the newest order that was passed to the director.
	newestRevision uint64
	// withdrawnReadAt is when states of withdrawn orders were last read.
	withdrawnReadAt time.Time
}

const withdrawnReadInterval = time.Second

// setFence sets the fence of the lease, 0 while it is not held; the caller holds the mutex.
// Each term has its own director, which reads what the previous one has written.
func (c *canaries) setFence(now time.Time, fence uint64) {
	if c.term != nil && c.term.fence == fence {
		return
	}
	c.term = nil
	if fence == 0 {
		return
	}
	c.term = &leaseTerm{fence: fence, director: canary.NewDirector(canary.DirectorConfig{Bounds: c.bounds})}
	c.term.director.SetLease(now, fence)
}

// direct runs one step of the director and its actions; the caller holds the mutex.
func (c *canaries) direct(ctx context.Context, now time.Time, engines []backend.Record, routers []netip.AddrPort) {
	if c.rollouts == nil {
		return
	}
	term := c.term
	term.observe(now, c.rollouts, engines, routers)
	c.readWithdrawn(ctx, now)
	for _, action := range term.director.Step(now) {
		switch action := action.(type) {
		case canary.SendPermit:
			c.sendPermit(now, &action)
		case canary.Fetch:
			go c.readState(ctx, term, action.Service)
		case canary.Write:
			go c.writeState(ctx, term, &action)
		}
	}
}

// readWithdrawn reads the states of unfinished rollouts whose orders are withdrawn, as a new
// director does not request them; the caller holds the mutex.
func (c *canaries) readWithdrawn(ctx context.Context, now time.Time) {
	if now.Sub(c.term.withdrawnReadAt) < withdrawnReadInterval {
		return
	}
	for _, service := range c.rollouts.withdrawn() {
		c.term.withdrawnReadAt = now
		go c.readState(ctx, c.term, service)
	}
}

// observe passes to the director what was read. If there is a new order it first passes the
// other orders, as of the latest time at which the new one was absent.
func (t *leaseTerm) observe(now time.Time, rollouts *knownRollouts, engines []backend.Record, routers []netip.AddrPort) {
	origin := rollouts.readAt.Add(-rollouts.storeTime)
	if newest := rollouts.newestRevision(); newest > t.newestRevision {
		t.newestRevision = newest
		absent := rollouts.absentAt
		if absent == 0 {
			absent = max(rollouts.storeTime-orderLookback, 0)
		}
		before := slices.DeleteFunc(slices.Clone(rollouts.orders), func(order canary.Order) bool {
			return order.Revision == newest
		})
		t.director.Observe(origin.Add(absent), absent, before, engines, routers)
	}
	t.director.Observe(now, now.Sub(origin), rollouts.orders, engines, routers)
}

// sendPermit sends a permit to a router, or applies it if this is the router.
func (c *canaries) sendPermit(now time.Time, action *canary.SendPermit) {
	if action.To != c.self {
		c.send(action.To, datagram{Permit: action.Permit})
		return
	}
	if report := c.applyPermit(now, action.Permit); report != nil {
		c.term.director.ApplyReport(now, c.self, report)
	}
}

// readState reads a rollout's state for the director.
func (c *canaries) readState(ctx context.Context, term *leaseTerm, service ident.Service) {
	state, version, err := c.states.read(ctx, service)
	if err != nil {
		log.WithFields(log.Fields{"service": service, "cause": err.Error()}).Warn("rollout_state_not_read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	term.director.ApplyState(clock.Now(), state, version)
}

// writeState writes a state for the director, if the lease is still held under its fence.
func (c *canaries) writeState(ctx context.Context, term *leaseTerm, action *canary.Write) {
	result := canary.WriteResult(canary.Conflict{})
	if grant, err := c.lease.Held(); err == nil && grant.Fence == term.fence {
		result = c.states.write(ctx, &action.State, action.Version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	service := action.State.Order.Service
	if _, stored := result.(canary.Stored); stored {
		c.logWritten(term.fence, &action.State)
	}
	term.director.ApplyWriteResult(clock.Now(), service, result)
}
