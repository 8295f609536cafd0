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
	reasonFewRouters     = "too few routers are heard"
	reasonNotObserved    = "the deadline came before the target was observed"
	reasonNotMoved       = "the deadline came before all routers sent to the target only"
	reasonMoved          = "all requests go to the target, and none runs elsewhere"
	reasonDeadline       = "the target stood the test up to the deadline"
)

const (
	// minCapacityFraction is the fraction of the other releases' slots that the target
	// needs to replace them.
	minCapacityFraction = 0.5
	// minTestedBackends is the least number of the target's back ends in use, if there are
	// as many: among fewer, a broken one is hard to tell from a bad release.
	minTestedBackends = 3
)

// backendCounts counts the listed back ends of a service.
type backendCounts struct {
	// target and others count back ends, targetSlots and otherSlots their slots.
	target, others          int
	targetSlots, otherSlots int
	// releases are those other than the target.
	releases []ident.Release
}

// countBackends counts the back ends of a service, except draining ones.
func countBackends(records []backend.Record, service ident.Service, target ident.Release) backendCounts {
	var count backendCounts
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

// hasCapacity reports whether the target's back ends can replace the others.
func (c *backendCounts) hasCapacity() bool {
	return float64(c.targetSlots) >= minCapacityFraction*float64(c.otherSlots)
}

// testedBackends returns how many of the target's back ends are used during observation: so
// few that the target's share is a normal load for each.
func (c *backendCounts) testedBackends(share float64) int {
	return max(minTestedBackends, int(share*float64(c.others)+0.5))
}

// adoptOrder returns the state that follows from a new order and the previous state, which
// is zero if there was none. OrderedAt is a store time before which the order was not
// written, timeLeft the time to its deadline.
func adoptOrder(previous *State, order Order, orderedAt, timeLeft time.Duration, backends *backendCounts) State {
	next := State{Order: order, OrderedAt: orderedAt, Proved: backends.releases}
	if previous.Phase == RolledBack && previous.Order.Target != order.Target {
		next.Proved = slices.DeleteFunc(slices.Clone(next.Proved), func(release ident.Release) bool {
			return release == previous.Order.Target
		})
	}
	running := previous.Phase != 0 && !previous.Phase.Final()
	switch {
	case running && previous.Order.Target != order.Target:
		next = *previous
		next.Phase, next.Reason = RolledBack, reasonReplaced
	case running:
		next = *previous
		next.Order, next.OrderedAt = order, previous.OrderedAt
		next.Order.Duration = min(previous.OrderedAt+previous.Order.Duration, orderedAt+order.Duration) - previous.OrderedAt
	case backends.target > 0 && backends.others == 0:
		next.Phase, next.Reason = Succeeded, reasonAlreadyServing
	case timeLeft < minDuration:
		next.Phase, next.Reason = RolledBack, reasonTooLate
	default:
		next.Phase = Observing
	}
	return next
}
