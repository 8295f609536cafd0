package router

import (
	"github.com/fieldpond/fieldpond/internal/control"
	"github.com/fieldpond/fieldpond/internal/telemetry"
)

// controlTotals sums the counters of the engine groups that this router contends for.
type controlTotals struct {
	held            int
	loading         int
	orders, retries uint64
	refused         uint64
	staleFences     uint64
	deferredUnloads uint64
	expired         uint64
}

func totalsOf(groups []control.GroupStatus) controlTotals {
	var totals controlTotals
	for _, group := range groups {
		if group.Held {
			totals.held++
		}
		totals.loading += group.Counters.Loading
		totals.orders += group.Counters.Orders
		totals.retries += group.Counters.Retries
		totals.refused += group.Counters.Refused
		totals.staleFences += group.Counters.StaleFences + group.Leases.StaleFences
		totals.deferredUnloads += group.Counters.Guarded
		totals.expired += group.Leases.Lapsed
	}
	return totals
}

func (r *Router) registerControl() {
	group := telemetry.NewGroup(r.telemetry, func() (controlTotals, bool) { return totalsOf(r.control.Status()), true })
	group.Gauge("control_leases_held", "Groups of engines that this router is in charge of.", func(t controlTotals) int { return t.held })
	group.Gauge("control_loads_under_way", "Loads of model weights ordered and not yet shown.", func(t controlTotals) int { return t.loading })
	group.Counter("control_orders_total", "Orders issued to engines.", func(t controlTotals) uint64 { return t.orders })
	group.Counter("control_orders_repeated_total", "Orders issued again under the same id after a lost answer.", func(t controlTotals) uint64 { return t.retries })
	group.Counter("control_orders_refused_total", "Orders that an engine refused.", func(t controlTotals) uint64 { return t.refused })
	group.Counter("control_stale_fences_total", "Times a newer fence than this router's was met.", func(t controlTotals) uint64 { return t.staleFences })
	group.Counter("control_unloads_guarded_total", "Looks at unloads that would have taken the last warm engine away.", func(t controlTotals) uint64 { return t.deferredUnloads })
	group.Counter("control_leases_lapsed_total", "Leases that ran out before they were renewed.", func(t controlTotals) uint64 { return t.expired })
	group.Register()
}
