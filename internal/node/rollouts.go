package node

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// knownRollouts are the operator's orders and their states, as read by some router. It is
// immutable.
type knownRollouts struct {
	orders []canary.Order
	states []canary.State
	// storeTime is the store's own time at readAt, when the orders were read; at absentAt, a
	// time of the store as well, the newest order was not there yet, 0 if unknown.
	storeTime, absentAt time.Duration
	readAt              time.Time
	// statesAt is when the states were read, zero if they were not.
	statesAt time.Time
}

// peerRollouts returns the rollouts received from a peer at a time, or nil.
func peerRollouts(received *upstream.Rollouts, at time.Time) *knownRollouts {
	if received == nil {
		return nil
	}
	known := &knownRollouts{
		orders: received.Known.Orders, states: received.Known.States, storeTime: received.StoreTime, absentAt: received.AbsentAt,
		readAt: at.Add(-received.Age),
	}
	if received.StatesAge >= 0 {
		known.statesAt = at.Add(-received.StatesAge)
	}
	return known
}

// forPeer returns the rollouts as sent to a peer, nil if there are none.
func (k *knownRollouts) forPeer(now time.Time) *upstream.Rollouts {
	if k == nil {
		return nil
	}
	update := &upstream.Rollouts{
		Known: k.known(), StoreTime: k.storeTime, AbsentAt: k.absentAt, Age: max(now.Sub(k.readAt), 0), StatesAge: -1,
	}
	if !k.statesAt.IsZero() {
		update.StatesAge = max(now.Sub(k.statesAt), 0)
	}
	return update
}

// known returns the orders and states; k may be nil.
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

// pending reports whether an order has no known final state, or a rollout whose order is
// withdrawn has not ended.
func (k *knownRollouts) pending() bool {
	if k == nil {
		return false
	}
	return len(k.withdrawn()) > 0 || slices.ContainsFunc(k.orders, func(order canary.Order) bool {
		state := findState(k.states, order.Service)
		return state == nil || !state.Phase.Final() || state.Order.Revision < order.Revision
	})
}

// withdrawn returns the services whose unfinished rollouts have no order any more.
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

// merge returns the newer orders and the newer states of two reads. A final phase of either
// is kept. If k or other is nil, it returns other.
func (k *knownRollouts) merge(other *knownRollouts) *knownRollouts {
	if k == nil || other == nil {
		return other
	}
	merged := *other
	if k.readAt.After(other.readAt) {
		merged = *k
	}
	older, newer := k, other
	if older.statesAt.After(newer.statesAt) {
		older, newer = newer, older
	}
	merged.states, merged.statesAt = mergeStates(older.states, newer.states), newer.statesAt
	return &merged
}

// mergeStates returns the newer states, with older ones that are final or missing among the
// newer.
func mergeStates(older, newer []canary.State) []canary.State {
	merged := slices.Clone(newer)
	for _, state := range older {
		known := findState(merged, state.Order.Service)
		switch {
		case known == nil:
			merged = append(merged, state)
		case state.Phase.Final() && state.Order.Revision >= known.Order.Revision:
			*known = state
		}
	}
	return merged
}

// findState returns the state of a service's newest rollout, or nil.
func findState(states []canary.State, service ident.Service) *canary.State {
	for index := range states {
		if states[index].Order.Service == service {
			return &states[index]
		}
	}
	return nil
}
