package canary

import (
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// fetchInterval is the time between two attempts to read a state's row.
	fetchInterval = 250 * time.Millisecond
	// writeTimeout is the time after which a write without a result counts as unanswered,
	// for example because this router was suspended.
	writeTimeout = 2 * time.Second
	// finalPermitTime is the time for which routers that do not report a final phase are
	// notified of it. Later ones read it from the store.
	finalPermitTime = 10 * time.Second
	// withdrawnAfter is the time for which an order must be missing to count as withdrawn:
	// orders may have been read before the state.
	withdrawnAfter = 3 * time.Second
)

// rollout directs the newest order of one service.
type rollout struct {
	service ident.Service
	cfg     DirectorConfig
	hooks   hooks

	// order is the newest one listed, orderedAt a store time before which it was not
	// written, missingSince when it was no longer listed.
	order        Order
	orderedAt    time.Duration
	missingSince time.Time
	backends     backendCounts
	routers      []netip.AddrPort

	// fence is that of this holder's lease. The state is the row as last read or written,
	// at a version; until it is loaded, nothing is done.
	fence     uint64
	state     State
	version   uint64
	loaded    bool
	refetch   bool
	fetchedAt time.Time
	// writing is the state being written since writeStartedAt.
	writing        *State
	writeStartedAt time.Time

	// storeEpoch is the local time of the store's time 0.
	storeEpoch time.Time
	fleet      *fleet
	account    account
	windows    openWindows
	evaluator  evaluator
	// haltReason is why the target is bad, set as soon as that is found.
	haltReason string
	// caughtUp is set once the reports due after a takeover were evaluated.
	caughtUp bool
	// pulseLeft is the number of grants left of the current pulse, pulseStartedAt its
	// start.
	pulseLeft      uint64
	pulseStartedAt time.Time
	// ownedAt is when this holder's first write was stored, promotedAt and finalAt when
	// those phases were.
	ownedAt, promotedAt, finalAt time.Time
	permitsSentAt                time.Time
}

// setFence restarts the rollout under a fence.
func (r *rollout) setFence(now time.Time, fence uint64) {
	r.fence, r.loaded, r.writing = fence, false, nil
	r.fetchedAt, r.permitsSentAt = time.Time{}, time.Time{}
	r.reset(now)
}

// reset drops all reports, as for a new order.
func (r *rollout) reset(now time.Time) {
	r.fleet = newFleet(r.fence ^ r.order.Revision)
	r.fleet.setRouters(now, r.routers)
	r.account = account{bounds: r.cfg.Bounds, hooks: &r.hooks}
	r.windows, r.evaluator, r.haltReason = openWindows{}, r.hooks.evaluator(), ""
	r.ownedAt, r.promotedAt, r.finalAt = time.Time{}, time.Time{}, time.Time{}
}

// observe applies what is listed.
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

// applyState applies the stored row. A read from before this holder's last stored write is
// dropped, as it would revert the phase, even a final one, until the next write fails.
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

// setState makes a stored state the current one.
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

// applyWriteResult applies the result of the write under way.
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

// applyOrderChange restarts permits and counts if the state is that of another order. If
// the rollout continues under it, grants and evidence are kept.
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

// owned reports whether the state was written under this holder's fence, so that any change
// by another makes this one's next write fail.
func (r *rollout) owned() bool { return r.state.Fence == r.fence || r.hooks.ignoreFence }

// step returns the actions that are due.
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

// evaluate evaluates the reports since the last step.
func (r *rollout) evaluate(now time.Time) {
	for _, router := range r.fleet.routers {
		gate := router.current
		if gate == nil || gate.evaluated == gate.newest {
			continue
		}
		r.windows.add(now, gate.newest, gate.evaluated, gate.evaluated == nil && gate.sentBefore > 0)
		gate.evaluated = gate.newest
	}
	// The reports of most routers are evaluated before anything is granted.
	settled := !r.ownedAt.IsZero() && now.Sub(r.ownedAt) >= settleTime
	for _, window := range r.windows.removeDue(now, settled && !r.caughtUp) {
		r.evaluator.addWindow(window)
	}
	r.caughtUp = settled
	if r.haltReason == "" && !r.state.Phase.Final() {
		r.haltReason = r.evaluator.rejection(r.backends.target > 1)
	}
}

// nextState returns the state to store, and whether it differs from the stored one.
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

// firstCeiling returns the ceiling of an adopted order's state.
func (r *rollout) firstCeiling(next *State) uint64 {
	if next.Phase != Observing && next.Phase != Promoting {
		return next.Ceiling
	}
	return max(next.Ceiling, minCeilingStep)
}
