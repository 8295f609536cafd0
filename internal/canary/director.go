package canary

import (
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// DirectorConfig is what a Director is made with.
type DirectorConfig struct {
	Bounds Bounds
	// Tick is the time between two permits to the same router; 0 means 250 ms.
	Tick time.Duration
}

// Action is something that the owner of a Director is to do. It is one of Fetch, Write and
// Tell.
type Action interface{ action() }

// Fetch asks for the row of a service's state, which is told by Director.Read; a service
// without one has a zero State of version 0, in which the service is set.
type Fetch struct{ Service ident.Service }

// Write asks to write the row of a state, with the operator's status in the same
// transaction, under the condition that the row is the one of Version (0: none yet). What
// came of it is told by Director.Written.
type Write struct {
	State   State
	Version uint64
}

// SendPermit asks to send a permit to a router, which may be this one.
type SendPermit struct {
	To     netip.AddrPort
	Permit *Permit
}

func (Fetch) action()      {}
func (Write) action()      {}
func (SendPermit) action() {}

// WriteResult is what came of a Write. It is one of Stored, Conflict and Unanswered.
type WriteResult interface{ writeResult() }

// Stored says that the row was written and has a new version.
type Stored struct{ Version uint64 }

// Conflict says that the row was not of the version that was asked for, or that the lease
// is not held any more: nothing was written.
type Conflict struct{}

// Unanswered says that nothing is known of the write: it may have been done.
type Unanswered struct{}

func (Stored) writeResult()     {}
func (Conflict) writeResult()   {}
func (Unanswered) writeResult() {}

const (
	// defaultTick is the time between two permits: four in the time for which one is valid.
	defaultTick = 250 * time.Millisecond
	// largeFleet is the number of routers above which permits are sent half as often.
	largeFleet = 250
	// firstOrderAge is how long before its first look at the orders a router takes one
	// that it finds to have been written, at most: a lease is vacant for about as long.
	firstOrderAge = 3 * time.Second
)

// Director directs all rollouts while its router holds the lease for them. It is not safe
// for concurrent use.
type Director struct {
	cfg      DirectorConfig
	hooks    hooks
	fence    uint64
	rollouts []*rollout
	// storeEpoch is the local time of the store's time 0, the earliest that was seen.
	storeEpoch time.Time
	// observed says that orders were observed, last at the store's time observedAt.
	observed   bool
	observedAt time.Duration
	routers    []netip.AddrPort
}

// NewDirector returns a director that holds no lease.
func NewDirector(cfg DirectorConfig) *Director {
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
	}
	return &Director{cfg: cfg}
}

// SetLease says that the lease is held under a fence, or is not held any more if that is 0.
func (d *Director) SetLease(now time.Time, fence uint64) {
	if fence == d.fence {
		return
	}
	d.fence = fence
	for _, rollout := range d.rollouts {
		rollout.setFence(now, fence)
	}
}

// Observe takes in the orders, all back ends and all routers as they were read, and the
// store's own time at that moment. It is called whether the lease is held or not, so that
// a new holder knows since when an order can have been there.
func (d *Director) Observe(now time.Time, storeNow time.Duration, orders []Order, backends []backend.Record, routers []netip.AddrPort) {
	if origin := now.Add(-storeNow); d.storeEpoch.IsZero() || origin.Before(d.storeEpoch) {
		d.storeEpoch = origin
	}
	d.routers = routers
	listed := map[ident.Service]bool{}
	for _, order := range orders {
		listed[order.Service] = true
		d.observeOrder(now, storeNow, order)
	}
	for _, rollout := range d.rollouts {
		rollout.observe(now, d.storeEpoch, listed[rollout.service], backends, routers)
	}
	d.observed, d.observedAt = true, storeNow
}

// observeOrder takes in an order that is listed.
func (d *Director) observeOrder(now time.Time, storeNow time.Duration, order Order) {
	known := d.rollout(order.Service)
	if known == nil {
		known = d.addRollout(now, order)
	} else if order.Revision <= known.order.Revision {
		return
	}
	known.order = order
	known.orderedAt = max(0, storeNow-firstOrderAge)
	if d.observed {
		known.orderedAt = d.observedAt
	}
}

// rollout returns the rollout of a service, or nil.
func (d *Director) rollout(service ident.Service) *rollout {
	for _, known := range d.rollouts {
		if known.service == service {
			return known
		}
	}
	return nil
}

// ApplyState takes in the row of a service's state as it lies in the store. A new holder is told
// also those rows that it has not asked for: their orders may have been withdrawn.
func (d *Director) ApplyState(now time.Time, state State, version uint64) {
	if d.fence == 0 {
		return
	}
	known := d.rollout(state.Order.Service)
	if known == nil && state.Phase != 0 && !state.Phase.Final() {
		known = d.addRollout(now, state.Order)
	}
	if known != nil {
		known.applyState(now, state, version)
	}
}

// addRollout begins to direct the rollout of an order.
func (d *Director) addRollout(now time.Time, order Order) *rollout {
	added := &rollout{service: order.Service, cfg: d.cfg, hooks: d.hooks, order: order, routers: d.routers, storeEpoch: d.storeEpoch}
	added.setFence(now, d.fence)
	d.rollouts = append(d.rollouts, added)
	return added
}

// ApplyReport takes in a report of a router.
func (d *Director) ApplyReport(now time.Time, from netip.AddrPort, report *Report) {
	if !report.sound() {
		return
	}
	known := d.rollout(report.Service)
	if known != nil && d.fence != 0 && known.state.Order.Revision == report.Revision {
		known.fleet.applyReport(now, from, report)
	}
}

// Step returns what is to be done now. It is called a few times in each tick.
func (d *Director) Step(now time.Time) []Action {
	if d.fence == 0 {
		return nil
	}
	var actions []Action
	for _, rollout := range d.rollouts {
		actions = append(actions, rollout.step(now)...)
	}
	return actions
}

// ApplyWriteResult takes in what came of the Write of a service's state.
func (d *Director) ApplyWriteResult(now time.Time, service ident.Service, result WriteResult) {
	if known := d.rollout(service); known != nil {
		known.applyWriteResult(now, result)
	}
}
