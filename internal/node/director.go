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

// orderLookback is how long before a read an order is taken to have been written that nobody
// looked for before: a router is supplied by others within this time after its start.
const orderLookback = 3 * time.Second

// leaseTerm is what a router does while it holds the lease.
type leaseTerm struct {
	fence    uint64
	director *canary.Director
	// newestRevision is the revision of the newest order that the director was told.
	newestRevision uint64
	// withdrawnReadAt is when the states of withdrawn orders were last read for it.
	withdrawnReadAt time.Time
}

// withdrawnReadInterval is the time between two reads of a state whose order is withdrawn.
const withdrawnReadInterval = time.Second

// setFence takes in the fence of the lease, 0 while it is not held; the caller holds the mutex.
// Each holding has a director of its own, which reads what the one before has written.
func (c *canaries) setFence(now time.Time, fence uint64) {
	if c.term != nil && c.term.fence == fence {
		return
	}
	c.term = nil
	if fence == 0 {
		return
	}
	c.term = &leaseTerm{fence: fence, director: canary.NewDirector(canary.DirectorConfig{Bounds: c.bounds})}
	c.term.director.Hold(now, fence)
}

// direct lets the director decide, and carries out what it wants; the caller holds the
// mutex.
func (c *canaries) direct(ctx context.Context, now time.Time, engines []backend.Record, routers []netip.AddrPort) {
	if c.rollouts == nil {
		return
	}
	term := c.term
	term.observe(now, c.rollouts, engines, routers)
	c.readWithdrawn(ctx, now)
	for _, action := range term.director.Step(now) {
		switch action := action.(type) {
		case canary.Tell:
			c.sendPermit(now, &action)
		case canary.Fetch:
			go c.readState(ctx, term, action.Service)
		case canary.Write:
			go c.writeState(ctx, term, &action)
		}
	}
}

// readWithdrawn reads the states of rollouts that have not ended and whose orders are
// withdrawn: a director that comes later would not ask for them; the caller holds the mutex.
func (c *canaries) readWithdrawn(ctx context.Context, now time.Time) {
	if now.Sub(c.term.withdrawnReadAt) < withdrawnReadInterval {
		return
	}
	for _, service := range c.rollouts.withdrawn() {
		c.term.withdrawnReadAt = now
		go c.readState(ctx, c.term, service)
	}
}

// observe tells the director what was read. Of a new order it learns first since when it
// can have been there.
func (d *leaseTerm) observe(now time.Time, rollouts *knownRollouts, engines []backend.Record, routers []netip.AddrPort) {
	origin := rollouts.readAt.Add(-rollouts.storeTime)
	if newest := rollouts.newestRevision(); newest > d.newestRevision {
		d.newestRevision = newest
		absent := rollouts.absentAt
		if absent == 0 {
			absent = max(rollouts.storeTime-orderLookback, 0)
		}
		before := slices.DeleteFunc(slices.Clone(rollouts.orders), func(order canary.Order) bool {
			return order.Revision == newest
		})
		d.director.Observe(origin.Add(absent), absent, before, engines, routers)
	}
	d.director.Observe(now, now.Sub(origin), rollouts.orders, engines, routers)
}

// sendPermit sends a permit to a router, which may be this one.
func (c *canaries) sendPermit(now time.Time, action *canary.Tell) {
	if action.To != c.self {
		c.send(action.To, datagram{Permit: action.Permit})
		return
	}
	if report := c.applyPermit(now, action.Permit); report != nil {
		c.term.director.Reported(now, c.self, report)
	}
}

// fetch reads the row of a state for the director.
func (c *canaries) readState(ctx context.Context, term *leaseTerm, service ident.Service) {
	state, version, err := c.states.read(ctx, service)
	if err != nil {
		log.WithFields(log.Fields{"service": service, "cause": err.Error()}).Warn("rollout_state_not_read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	term.director.Read(clock.Now(), state, version)
}

// writeState writes a state for the director, if the lease is still held.
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
	term.director.Written(clock.Now(), service, result)
}
