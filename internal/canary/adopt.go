package canary

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Reasons of verdicts that need no evidence.
const (
	reasonAlreadyServing = "the target already serves alone"
	reasonTooLate        = "too little time to the deadline"
	reasonReplaced       = "replaced by an order for another release"
	reasonWithdrawn      = "the order was withdrawn"
	reasonNoBackEnds     = "no back ends of the target"
	reasonTooFew         = "too few back ends of the target to carry the load"
	reasonUnheard        = "too few routers are heard"
	reasonNotObserved    = "the deadline came before the target was observed"
	reasonNotMoved       = "the deadline came before all routers sent to the target only"
	reasonMoved          = "all requests go to the target, and none runs elsewhere"
	reasonDeadline       = "the target stood the test up to the deadline"
)

const (
	// leastCapacity is the part of the other releases' slots that the target's back ends
	// need to have to take over from them.
	leastCapacity = 0.5
	// leastAmong is the least number of the target's back ends in use, if there are as
	// many: with fewer, one that is broken hides among them.
	leastAmong = 3
)

// engines is what is listed of a service's back ends.
type engines struct {
	// target and others count back ends, targetSlots and otherSlots their slots.
	target, others          int
	targetSlots, otherSlots int
	// releases are those other than the target.
	releases []ident.Release
}

// countEngines counts the back ends of a service. Draining ones serve nothing new.
func countEngines(records []backend.Record, service ident.Service, target ident.Release) engines {
	var count engines
	for index := range records {
		record := &records[index]
		switch {
		case record.Service != service || record.Draining:
		case record.Release == target:
			count.target++
			count.targetSlots += max(record.Slots, 1)
		default:
			count.others++
			count.otherSlots += max(record.Slots, 1)
			if !slices.Contains(count.releases, record.Release) {
				count.releases = append(count.releases, record.Release)
			}
		}
	}
	slices.Sort(count.releases)
	return count
}

// carries reports whether the target's back ends can take over.
func (e *engines) carries() bool {
	return float64(e.targetSlots) >= leastCapacity*float64(e.otherSlots)
}

// among returns the number of the target's back ends in use while it is observed: so few
// that its share of the requests is a usual load for each.
func (e *engines) among(share float64) int {
	return max(leastAmong, int(share*float64(e.others)+0.5))
}

// adopt returns the state that follows from a new order, given the state of the one before
// it, which is zero if there was none. OrderedAt is the store's time before which the
// order was not written, left the time to its deadline.
func adopt(last *State, order Order, orderedAt, left time.Duration, count *engines) State {
	next := State{Order: order, OrderedAt: orderedAt, Proved: count.releases}
	if last.Phase == RolledBack && last.Order.Target != order.Target {
		next.Proved = slices.DeleteFunc(slices.Clone(next.Proved), func(release ident.Release) bool {
			return release == last.Order.Target
		})
	}
	running := last.Phase != 0 && !last.Phase.Final()
	switch {
	case running && last.Order.Target != order.Target:
		next = *last
		next.Phase, next.Reason = RolledBack, reasonReplaced
	case running:
		next = *last
		next.Order, next.OrderedAt = order, last.OrderedAt
		next.Order.Duration = min(last.OrderedAt+last.Order.Duration, orderedAt+order.Duration) - last.OrderedAt
	case count.target > 0 && count.others == 0:
		next.Phase, next.Reason = Succeeded, reasonAlreadyServing
	case left < shortest:
		next.Phase, next.Reason = RolledBack, reasonTooLate
	default:
		next.Phase = Observing
	}
	return next
}
