package canary

import (
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// fetchEvery is the time between two tries to read the row of a state.
	fetchEvery = 250 * time.Millisecond
	// writeFor is the time after which a write that nothing is heard of, as when this
	// router stood still, counts as unanswered.
	writeFor = 2 * time.Second
	// finalFor is the time for which a final phase is told to routers that do not say
	// they know of it. Those that come later learn it from the shared state.
	finalFor = 10 * time.Second
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
	// not written, missingSince when it was not listed any more.
	order        Order
	orderedAt    time.Duration
	missingSince time.Time
	engines      engines
	routers      []netip.AddrPort

	// fence is that of this holder's lease. The state is the row as it was last read or
	// written, at a version; until it is known nothing is done.
	fence     uint64
	state     State
	version   uint64
	known     bool
	refetch   bool
	fetchedAt time.Time
	// writing is the state of which a write is under way since wroteAt.
	writing *State
	wroteAt time.Time

	// origin is the local time of the store's time 0.
	origin  time.Time
	fleet   *fleet
	account account
	open    evidence
	verdict verdict
	// halted is why the target is bad, from the moment at which that was found.
	halted string
	// settled says that what routers had to report at a takeover was judged.
	settled bool
	// pulsed is the number of grants that are left of those that were saved up, and
	// pulsedAt when they began to be given.
	pulsed   uint64
	pulsedAt time.Time
	// ownedAt is when this holder's first write was stored, promotedAt and finalAt when
	// those phases were.
	ownedAt, promotedAt, finalAt time.Time
	toldAt                       time.Time
}

// hold begins anew under a fence.
func (r *rollout) hold(now time.Time, fence uint64) {
	r.fence, r.known, r.writing = fence, false, nil
	r.fetchedAt, r.toldAt = time.Time{}, time.Time{}
	r.reset(now)
}

// reset forgets what was reported, as for a new order.
func (r *rollout) reset(now time.Time) {
	r.fleet = newFleet(r.fence ^ r.order.Revision)
	r.fleet.list(now, r.routers)
	r.account = account{bounds: r.cfg.Bounds, hooks: &r.hooks}
	r.open, r.verdict, r.halted = evidence{}, r.hooks.verdict(), ""
	r.ownedAt, r.promotedAt, r.finalAt = time.Time{}, time.Time{}, time.Time{}
}

// observe takes in what is listed.
func (r *rollout) observe(now, origin time.Time, ordered bool, records []backend.Record, routers []netip.AddrPort) {
	r.origin, r.routers = origin, routers
	r.fleet.list(now, routers)
	r.engines = countEngines(records, r.service, r.order.Target)
	switch {
	case ordered:
		r.missingSince = time.Time{}
	case r.missingSince.IsZero():
		r.missingSince = now
	}
}

// read takes in the row as it lies in the store. One that was read before this holder's last
// write was stored is dropped, as a read that nobody asked for may be: it would take back a
// phase, a final one too, until the next write fails.
func (r *rollout) read(now time.Time, state State, version uint64) {
	if r.known && !r.refetch && version < r.version {
		return
	}
	same := state.Order.Revision == r.state.Order.Revision
	if !same {
		r.reset(now)
	}
	if own := r.known && same && state.Fence == r.fence; !own {
		r.account.takeOver(state.Ceiling)
	}
	r.known, r.refetch, r.writing = true, false, nil
	r.take(now, state, version)
}

// take makes a state of the store the one that is acted upon.
func (r *rollout) take(now time.Time, state State, version uint64) {
	r.state, r.version = state, version
	r.account.ceiling = state.Ceiling
	if state.Fence == r.fence && r.ownedAt.IsZero() {
		r.ownedAt = now
	}
	if state.Phase == Promoting && r.promotedAt.IsZero() {
		r.promotedAt = now
		r.fleet.awaitAll(now)
	}
	if state.Phase.Final() && r.finalAt.IsZero() {
		r.finalAt = now
	}
}

// written takes in what came of the write that was under way.
func (r *rollout) written(now time.Time, result WriteResult) {
	if r.writing == nil {
		return
	}
	state := *r.writing
	r.writing = nil
	switch result := result.(type) {
	case Stored:
		r.renew(now, &state)
		r.take(now, state, result.Version)
	case Conflict:
		r.known = false
	case Unanswered:
		r.refetch = true
	}
}

// renew begins anew what routers are told and count under an order, if the state is that of
// another one. If the rollout goes on under it, what was granted stays granted, and the
// evidence is kept.
func (r *rollout) renew(now time.Time, state *State) {
	if state.Order.Revision == r.state.Order.Revision {
		return
	}
	if r.state.Phase == 0 || r.state.Phase.Final() {
		r.reset(now)
		return
	}
	r.fleet = newFleet(r.fence ^ r.order.Revision)
	r.fleet.list(now, r.routers)
	r.account.takeOver(state.Ceiling)
}

// deadline returns the local time at which the order ends.
func (r *rollout) deadline(state *State) time.Time {
	return r.origin.Add(state.OrderedAt + state.Order.Duration)
}

// owned reports whether the state was written under this holder's fence, so that no other
// can have changed it since without this one's next write failing.
func (r *rollout) owned() bool { return r.state.Fence == r.fence || r.hooks.ignoreFence }

// step returns what is to be done now.
func (r *rollout) step(now time.Time) []Action {
	r.weigh(now)
	if r.writing != nil && now.Sub(r.wroteAt) >= writeFor {
		r.written(now, Unanswered{})
	}
	var actions []Action
	if (!r.known || r.refetch) && r.writing == nil && now.Sub(r.fetchedAt) >= fetchEvery {
		r.fetchedAt = now
		actions = append(actions, Fetch{Service: r.service})
	}
	if r.known && !r.refetch && r.writing == nil {
		if next, changed := r.next(now); changed {
			next.Fence = r.fence
			r.writing, r.wroteAt = &next, now
			actions = append(actions, Write{State: next, Version: r.version})
		}
	}
	return append(actions, r.tell(now)...)
}

// weigh takes in what was reported since the last step.
func (r *rollout) weigh(now time.Time) {
	for _, router := range r.fleet.routers {
		life := router.current
		if life == nil || life.judged == life.newest {
			continue
		}
		r.open.add(now, life.newest, life.judged, life.judged == nil && life.base > 0)
		life.judged = life.newest
	}
	// What most routers had to report is judged before anything is granted.
	settled := !r.ownedAt.IsZero() && now.Sub(r.ownedAt) >= settleFor
	for _, window := range r.open.due(now, settled && !r.settled) {
		r.verdict.weigh(window)
	}
	r.settled = settled
	if r.halted == "" && !r.state.Phase.Final() {
		r.halted = r.verdict.bad(r.engines.target > 1)
	}
}

// next returns the state that should lie in the store, and whether it differs from the one
// that does.
func (r *rollout) next(now time.Time) (State, bool) {
	state := r.state
	if state.Fence > r.fence {
		return state, false
	}
	if r.order.Revision > state.Order.Revision {
		left := r.origin.Add(r.orderedAt + r.order.Duration).Sub(now)
		next := adopt(&state, r.order, r.orderedAt, left, &r.engines)
		next.Ceiling = r.firstCeiling(&next)
		return next, true
	}
	if state.Phase == 0 || state.Phase.Final() {
		return state, false
	}
	if phase, reason := r.decide(now); phase != state.Phase {
		state.Phase, state.Reason = phase, reason
		if phase == Succeeded || phase == Promoting {
			state.Proved = r.engines.releases
		}
		return state, true
	}
	if state.Phase == Observing {
		saved := r.burst()
		if r.pulsed > 0 {
			saved = 0 // the ceiling has room for the pulse that is under way
		}
		state.Ceiling = r.account.raise(r.fleet.requests(), r.fleet.rate(), saved)
	}
	return state, state.Ceiling != r.state.Ceiling || state.Fence != r.fence
}

// firstCeiling returns the ceiling of a state that was adopted.
func (r *rollout) firstCeiling(next *State) uint64 {
	if next.Phase != Observing && next.Phase != Promoting {
		return next.Ceiling
	}
	return max(next.Ceiling, leastCeiling)
}
