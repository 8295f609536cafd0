package node

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// knownRollouts is what a router knows of the operator's orders and of their states, as
// some router read them. It is immutable.
type knownRollouts struct {
	orders []canary.Order
	states []canary.State
	// storeTime is the store's own time at readAt, when the orders were read; at absent
	// the newest of them was not there yet, 0 if that is not known.
	storeTime, absentAt time.Duration
	readAt              time.Time
	// statesAt is when the states were read, zero if they were not.
	statesAt time.Time
}

// peerRollouts returns what a peer told as of a time, or nil.
func peerRollouts(told *upstream.Rollouts, at time.Time) *knownRollouts {
	if told == nil {
		return nil
	}
	known := &knownRollouts{
		orders: told.Known.Orders, states: told.Known.States, storeTime: told.StoreTime, absentAt: told.Absent,
		readAt: at.Add(-told.Age),
	}
	if told.StatesAge >= 0 {
		known.statesAt = at.Add(-told.StatesAge)
	}
	return known
}

// forPeer returns what is told to a peer, nil where there is no order.
func (k *knownRollouts) forPeer(now time.Time) *upstream.Rollouts {
	if k == nil {
		return nil
	}
	told := &upstream.Rollouts{
		Known: k.known(), StoreTime: k.storeTime, Absent: k.absentAt, Age: max(now.Sub(k.readAt), 0), StatesAge: -1,
	}
	if !k.statesAt.IsZero() {
		told.StatesAge = max(now.Sub(k.statesAt), 0)
	}
	return told
}

// known returns the orders and states; there may be none.
func (k *knownRollouts) known() canary.Snapshot {
	if k == nil {
		return canary.Snapshot{}
	}
	return canary.Snapshot{Orders: k.orders, States: k.states}
}

// newestRevision returns the revision of the newest order, 0 for none.
func (k *knownRollouts) newestRevision() uint64 {
	revision := uint64(0)
	if k != nil {
		for _, order := range k.orders {
			revision = max(revision, order.Revision)
		}
	}
	return revision
}

// pending reports whether an order has no final state that is known, or a rollout has not
// ended though its order is withdrawn.
func (k *knownRollouts) pending() bool {
	if k == nil {
		return false
	}
	return len(k.withdrawn()) > 0 || slices.ContainsFunc(k.orders, func(order canary.Order) bool {
		state := stateOf(k.states, order.Service)
		return state == nil || !state.Phase.Final() || state.Order.Revision < order.Revision
	})
}

// withdrawn returns the services whose rollouts have not ended and have no order any more.
func (k *knownRollouts) withdrawn() []ident.Service {
	var services []ident.Service
	for index := range k.states {
		state := &k.states[index]
		ordered := slices.ContainsFunc(k.orders, func(order canary.Order) bool { return order.Service == state.Order.Service })
		if !ordered && !state.Phase.Final() {
			services = append(services, state.Order.Service)
		}
	}
	return services
}

// merge returns what two routers' reads tell together: the newer orders, and the newer
// states. A final phase stays, whichever told it.
func (k *knownRollouts) merge(other *knownRollouts) *knownRollouts {
	if k == nil || other == nil {
		return other
	}
	joined := *other
	if k.readAt.After(other.readAt) {
		joined = *k
	}
	older, newer := k, other
	if older.statesAt.After(newer.statesAt) {
		older, newer = newer, older
	}
	joined.states, joined.statesAt = joinStates(older.states, newer.states), newer.statesAt
	return &joined
}

// joinStates returns the newer states, and those of the older ones that are final or
// missing among the newer.
func joinStates(older, newer []canary.State) []canary.State {
	joined := slices.Clone(newer)
	for _, state := range older {
		known := stateOf(joined, state.Order.Service)
		switch {
		case known == nil:
			joined = append(joined, state)
		case state.Phase.Final() && state.Order.Revision >= known.Order.Revision:
			*known = state
		}
	}
	return joined
}

// stateOf returns the state of a service's newest rollout, or nil.
func stateOf(states []canary.State, service ident.Service) *canary.State {
	for index := range states {
		if states[index].Order.Service == service {
			return &states[index]
		}
	}
	return nil
}
