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

// checkHistory is how long before a read an order is taken to have been written that nobody
// looked for before: a router is supplied by others within this time after its start.
const lookBack = 3 * time.Second

// directing is what a router does while it holds the lease.
type directing struct {
	fence    uint64
	director *canary.Director
	// newest is the revision of the newest order that the director was told.
	newest uint64
	// withdrawnAt is when the states of withdrawn orders were last read for it.
	withdrawnAt time.Time
}

// withdrawnEvery is the time between two reads of a state whose order is withdrawn.
const withdrawnEvery = time.Second

// hold takes in the fence of the lease, 0 while it is not held; the caller holds the mutex.
// Each holding has a director of its own, which reads what the one before has written.
func (c *canaries) hold(now time.Time, fence uint64) {
	if c.directing != nil && c.directing.fence == fence {
		return
	}
	c.directing = nil
	if fence == 0 {
		return
	}
	c.directing = &directing{fence: fence, director: canary.NewDirector(canary.DirectorConfig{Bounds: c.bounds})}
	c.directing.director.SetLease(now, fence)
}

// direct lets the director decide, and carries out what it wants; the caller holds the
// mutex.
func (c *canaries) direct(ctx context.Context, now time.Time, engines []backend.Record, routers []netip.AddrPort) {
	if c.rollouts == nil {
		return
	}
	held := c.directing
	held.observe(now, c.rollouts, engines, routers)
	c.fetchWithdrawn(ctx, now)
	for _, action := range held.director.Step(now) {
		switch action := action.(type) {
		case canary.SendPermit:
			c.tell(now, &action)
		case canary.Fetch:
			go c.fetch(ctx, held, action.Service)
		case canary.Write:
			go c.write(ctx, held, &action)
		}
	}
}

// fetchWithdrawn reads the states of rollouts that have not ended and whose orders are
// withdrawn: a director that comes later would not ask for them; the caller holds the mutex.
func (c *canaries) fetchWithdrawn(ctx context.Context, now time.Time) {
	if now.Sub(c.directing.withdrawnAt) < withdrawnEvery {
		return
	}
	for _, service := range c.rollouts.withdrawn() {
		c.directing.withdrawnAt = now
		go c.fetch(ctx, c.directing, service)
	}
}

// observe tells the director what was read. Of a new order it learns first since when it
// can have been there.
func (d *directing) observe(now time.Time, rollouts *knownRollouts, engines []backend.Record, routers []netip.AddrPort) {
	origin := rollouts.readAt.Add(-rollouts.storeTime)
	if newest := rollouts.newestRevision(); newest > d.newest {
		d.newest = newest
		absent := rollouts.absentAt
		if absent == 0 {
			absent = max(rollouts.storeTime-lookBack, 0)
		}
		before := slices.DeleteFunc(slices.Clone(rollouts.orders), func(order canary.Order) bool {
			return order.Revision == newest
		})
		d.director.Observe(origin.Add(absent), absent, before, engines, routers)
	}
	d.director.Observe(now, now.Sub(origin), rollouts.orders, engines, routers)
}

// tell sends a permit to a router, which may be this one.
func (c *canaries) tell(now time.Time, action *canary.SendPermit) {
	if action.To != c.self {
		c.send(action.To, datagram{Permit: action.Permit})
		return
	}
	if report := c.permitted(now, action.Permit); report != nil {
		c.directing.director.ApplyReport(now, c.self, report)
	}
}

// fetch reads the row of a state for the director.
func (c *canaries) fetch(ctx context.Context, held *directing, service ident.Service) {
	state, version, err := c.states.read(ctx, service)
	if err != nil {
		log.WithFields(log.Fields{"service": service, "cause": err.Error()}).Warn("rollout_state_not_read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	held.director.ApplyState(clock.Now(), state, version)
}

// write writes a state for the director, if the lease is still held.
func (c *canaries) write(ctx context.Context, held *directing, action *canary.Write) {
	result := canary.WriteResult(canary.Conflict{})
	if grant, err := c.lease.Held(); err == nil && grant.Fence == held.fence {
		result = c.states.write(ctx, &action.State, action.Version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	service := action.State.Order.Service
	if _, stored := result.(canary.Stored); stored {
		c.wrote(held.fence, &action.State)
	}
	held.director.ApplyWriteResult(clock.Now(), service, result)
}
