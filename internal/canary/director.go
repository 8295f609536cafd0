package canary

import (
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// DirectorConfig configures a Director.
type DirectorConfig struct {
	Bounds Bounds
	// Tick is the time between two permits to the same router; 0 means 250 ms.
	Tick time.Duration
}

// Action is a Fetch, Write or SendPermit for the owner of a Director to carry out.
type Action interface{ action() }

// Fetch requests the row of a service's state, passed to Director.ApplyState; a missing row
// is a zero State of version 0 with the service set.
type Fetch struct{ Service ident.Service }

// Write requests to write a state and the operator's status in one transaction if the row
// has Version (0: none yet). Its result is passed to Director.ApplyWriteResult.
type Write struct {
	State   State
	Version uint64
}

// SendPermit requests to send a permit to a router, possibly this one.
type SendPermit struct {
	To     netip.AddrPort
	Permit *Permit
}

func (Fetch) action()      {}
func (Write) action()      {}
func (SendPermit) action() {}

// WriteResult is the result of a Write: Stored, Conflict or Unanswered.
type WriteResult interface{ writeResult() }

// Stored means that the row was written and has a new version.
type Stored struct{ Version uint64 }

// Conflict means that nothing was written: the row had another version, or the lease is
// lost.
type Conflict struct{}

// Unanswered means that the result is unknown: the row may have been written.
type Unanswered struct{}

func (Stored) writeResult()     {}
func (Conflict) writeResult()   {}
func (Unanswered) writeResult() {}

const (
	// defaultTick sends four permits in the time for which one is valid.
	defaultTick = 250 * time.Millisecond
	// largeFleet is the number of routers above which permits are sent half as often.
	largeFleet = 250
	// firstOrderAge is the greatest age assumed of an order that is found at the first
	// read: a lease is vacant for about as long.
	firstOrderAge = 3 * time.Second
)

// Director directs all rollouts while its router holds the lease for them. It is not safe
// for concurrent use.
type Director struct {
	cfg      DirectorConfig
	hooks    hooks
	fence    uint64
	rollouts []*rollout
	// storeEpoch is the local time of the store's time 0, the earliest observed.
	storeEpoch time.Time
	// observed is set once orders were observed, last at the store's time observedAt.
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

// SetLease sets the fence under which the lease is held; 0 means that it is not held.
func (d *Director) SetLease(now time.Time, fence uint64) {
	if fence == d.fence {
		return
	}
	d.fence = fence
	for _, rollout := range d.rollouts {
		rollout.setFence(now, fence)
	}
}

// Observe applies the orders, back ends and routers read from the store, and the store's
// time then. It is also called without the lease, so that a new holder can bound the age
// of an order.
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

// observeOrder records a listed order if it is new.
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

// ApplyState applies the stored row of a service's state. A new holder also receives rows
// that it did not fetch: their orders may have been withdrawn.
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

func (d *Director) addRollout(now time.Time, order Order) *rollout {
	added := &rollout{service: order.Service, cfg: d.cfg, hooks: d.hooks, order: order, routers: d.routers, storeEpoch: d.storeEpoch}
	added.setFence(now, d.fence)
	d.rollouts = append(d.rollouts, added)
	return added
}

// ApplyReport applies a router's report.
func (d *Director) ApplyReport(now time.Time, from netip.AddrPort, report *Report) {
	if !report.valid() {
		return
	}
	known := d.rollout(report.Service)
	if known != nil && d.fence != 0 && known.state.Order.Revision == report.Revision {
		known.fleet.applyReport(now, from, report)
	}
}

// Step returns the actions that are due. It is called several times per tick.
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

// ApplyWriteResult applies the result of the Write of a service's state.
func (d *Director) ApplyWriteResult(now time.Time, service ident.Service, result WriteResult) {
	if known := d.rollout(service); known != nil {
		known.applyWriteResult(now, result)
	}
}
