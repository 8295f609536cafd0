package canary

import (
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// fetchInterval is the time between two tries to read the row of a state.
	fetchInterval = 250 * time.Millisecond
	// writeTimeout is the time after which a write that nothing is heard of, as when this
	// router stood still, counts as unanswered.
	writeTimeout = 2 * time.Second
	// finalPermitTime is the time for which a final phase is told to routers that do not say
	// they know of it. Those that come later learn it from the shared state.
	finalPermitTime = 10 * time.Second
	// withdrawnAfter is the time for which an order has to be missing to count as
	// withdrawn: a list of orders may have been read before the state.
	withdrawnAfter = 3 * time.Second
)

// rollout directs the newest order of one service.
type rollout struct {
	service ident.Service
	cfg     DirectorConfig
	hooks   hooks

	// order is the newest that is listed, orderedAt the store's time before which it was
	// not written, awaitedSince when it was not listed any more.
	order        Order
	orderedAt    time.Duration
	missingSince time.Time
	backends     backendCounts
	routers      []netip.AddrPort

	// fence is that of this holder's lease. The state is the row as it was last read or
	// written, at a version; until it is known nothing is done.
	fence     uint64
	state     State
	version   uint64
	loaded    bool
	refetch   bool
	fetchedAt time.Time
	// writing is the state of which a write is under way since writeStartedAt.
	writing        *State
	writeStartedAt time.Time

	// storeEpoch is the local time of the store's time 0.
	storeEpoch time.Time
	fleet      *fleet
	account    account
	windows    openWindows
	evaluator  evaluator
	// haltReason is why the target is bad, from the moment at which that was found.
	haltReason string
	// caughtUp says that what routers had to report at a takeover was judged.
	caughtUp bool
	// pulseLeft is the number of grants that are left of those that were saved up, and
	// pulseStartedAt when they began to be given.
	pulseLeft      uint64
	pulseStartedAt time.Time
	// ownedAt is when this holder's first write was stored, promotedAt and finalAt when
	// those phases were.
	ownedAt, promotedAt, finalAt time.Time
	permitsSentAt                time.Time
}

// setFence begins anew under a fence.
func (r *rollout) setFence(now time.Time, fence uint64) {
	r.fence, r.loaded, r.writing = fence, false, nil
	r.fetchedAt, r.permitsSentAt = time.Time{}, time.Time{}
	r.reset(now)
}

// reset forgets what was reported, as for a new order.
func (r *rollout) reset(now time.Time) {
	r.fleet = newFleet(r.fence ^ r.order.Revision)
	r.fleet.setRouters(now, r.routers)
	r.account = account{bounds: r.cfg.Bounds, hooks: &r.hooks}
	r.windows, r.evaluator, r.haltReason = openWindows{}, r.hooks.evaluator(), ""
	r.ownedAt, r.promotedAt, r.finalAt = time.Time{}, time.Time{}, time.Time{}
}

// observe takes in what is listed.
func (r *rollout) observe(now, origin time.Time, ordered bool, records []backend.Record, routers []netip.AddrPort) {
	r.storeEpoch, r.routers = origin, routers
	r.fleet.setRouters(now, routers)
	r.backends = countBackends(records, r.service, r.order.Target)
	switch {
	case ordered:
		r.missingSince = time.Time{}
	case r.missingSince.IsZero():
		r.missingSince = now
	}
}

// applyState takes in the row as it lies in the store. One that was read before this holder's last
// write was stored is dropped, as a read that nobody asked for may be: it would take back a
// phase, a final one too, until the next write fails.
func (r *rollout) applyState(now time.Time, state State, version uint64) {
	if r.loaded && !r.refetch && version < r.version {
		return
	}
	same := state.Order.Revision == r.state.Order.Revision
	if !same {
		r.reset(now)
	}
	if own := r.loaded && same && state.Fence == r.fence; !own {
		r.account.takeOver(state.Ceiling)
	}
	r.loaded, r.refetch, r.writing = true, false, nil
	r.setState(now, state, version)
}

// setState makes a state of the store the one that is acted upon.
func (r *rollout) setState(now time.Time, state State, version uint64) {
	r.state, r.version = state, version
	r.account.ceiling = state.Ceiling
	if state.Fence == r.fence && r.ownedAt.IsZero() {
		r.ownedAt = now
	}
	if state.Phase == Promoting && r.promotedAt.IsZero() {
		r.promotedAt = now
		r.fleet.awaitReports(now)
	}
	if state.Phase.Final() && r.finalAt.IsZero() {
		r.finalAt = now
	}
}

// applyWriteResult takes in what came of the write that was under way.
func (r *rollout) applyWriteResult(now time.Time, result WriteResult) {
	if r.writing == nil {
		return
	}
	state := *r.writing
	r.writing = nil
	switch result := result.(type) {
	case Stored:
		r.applyOrderChange(now, &state)
		r.setState(now, state, result.Version)
	case Conflict:
		r.loaded = false
	case Unanswered:
		r.refetch = true
	}
}

// applyOrderChange begins anew what routers are told and count under an order, if the state is that of
// another one. If the rollout goes on under it, what was granted stays granted, and the
// evidence is kept.
func (r *rollout) applyOrderChange(now time.Time, state *State) {
	if state.Order.Revision == r.state.Order.Revision {
		return
	}
	if r.state.Phase == 0 || r.state.Phase.Final() {
		r.reset(now)
		return
	}
	r.fleet = newFleet(r.fence ^ r.order.Revision)
	r.fleet.setRouters(now, r.routers)
	r.account.takeOver(state.Ceiling)
}

// deadline returns the local time at which the order ends.
func (r *rollout) deadline(state *State) time.Time {
	return r.storeEpoch.Add(state.OrderedAt + state.Order.Duration)
}

// owned reports whether the state was written under this holder's fence, so that no other
// can have changed it since without this one's next write failing.
func (r *rollout) owned() bool { return r.state.Fence == r.fence || r.hooks.ignoreFence }

// step returns what is to be done now.
func (r *rollout) step(now time.Time) []Action {
	r.evaluate(now)
	if r.writing != nil && now.Sub(r.writeStartedAt) >= writeTimeout {
		r.applyWriteResult(now, Unanswered{})
	}
	var actions []Action
	if (!r.loaded || r.refetch) && r.writing == nil && now.Sub(r.fetchedAt) >= fetchInterval {
		r.fetchedAt = now
		actions = append(actions, Fetch{Service: r.service})
	}
	if r.loaded && !r.refetch && r.writing == nil {
		if next, changed := r.nextState(now); changed {
			next.Fence = r.fence
			r.writing, r.writeStartedAt = &next, now
			actions = append(actions, Write{State: next, Version: r.version})
		}
	}
	return append(actions, r.sendPermits(now)...)
}

// evaluate takes in what was reported since the last step.
func (r *rollout) evaluate(now time.Time) {
	for _, router := range r.fleet.routers {
		gate := router.current
		if gate == nil || gate.evaluated == gate.newest {
			continue
		}
		r.windows.add(now, gate.newest, gate.evaluated, gate.evaluated == nil && gate.sentBefore > 0)
		gate.evaluated = gate.newest
	}
	// What most routers had to report is judged before anything is granted.
	settled := !r.ownedAt.IsZero() && now.Sub(r.ownedAt) >= settleTime
	for _, window := range r.windows.removeDue(now, settled && !r.caughtUp) {
		r.evaluator.addWindow(window)
	}
	r.caughtUp = settled
	if r.haltReason == "" && !r.state.Phase.Final() {
		r.haltReason = r.evaluator.rejection(r.backends.target > 1)
	}
}

// nextState returns the state that should lie in the store, and whether it differs from the one
// that does.
func (r *rollout) nextState(now time.Time) (State, bool) {
	state := r.state
	if state.Fence > r.fence {
		return state, false
	}
	if r.order.Revision > state.Order.Revision {
		timeLeft := r.storeEpoch.Add(r.orderedAt + r.order.Duration).Sub(now)
		next := adoptOrder(&state, r.order, r.orderedAt, timeLeft, &r.backends)
		next.Ceiling = r.firstCeiling(&next)
		return next, true
	}
	if state.Phase == 0 || state.Phase.Final() {
		return state, false
	}
	if phase, reason := r.decide(now); phase != state.Phase {
		state.Phase, state.Reason = phase, reason
		if phase == Succeeded || phase == Promoting {
			state.Proved = r.backends.releases
		}
		return state, true
	}
	if state.Phase == Observing {
		burst := r.burstSize()
		if r.pulseLeft > 0 {
			burst = 0 // the ceiling has room for the pulse that is under way
		}
		state.Ceiling = r.account.nextCeiling(r.fleet.requests(), r.fleet.rate(), burst)
	}
	return state, state.Ceiling != r.state.Ceiling || state.Fence != r.fence
}

// firstCeiling returns the ceiling of a state that was adopted.
func (r *rollout) firstCeiling(next *State) uint64 {
	if next.Phase != Observing && next.Phase != Promoting {
		return next.Ceiling
	}
	return max(next.Ceiling, minCeilingStep)
}
