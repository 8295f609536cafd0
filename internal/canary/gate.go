package canary

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// GateConfig configures a Gate.
type GateConfig struct {
	// Incarnation identifies this process among all routers' incarnations, so that a permit
	// for an earlier one allows nothing.
	Incarnation uint64
	Bounds      Bounds
}

// Gate restricts where one router's attempts may go during rollouts, and counts their
// outcomes. It is not safe for concurrent use: its owner guards it by a mutex.
type Gate struct {
	cfg GateConfig
	// clockOrigin is the origin of the gate's own clock.
	clockOrigin time.Time
	// confirmedAt is the time at which the known orders were the newest ones.
	confirmedAt time.Time
	services    map[ident.Service]*traffic
	// restricted is the number of services for which Choose has to be called.
	restricted int
	hooks      hooks
}

// NewGate returns a gate without orders.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{cfg: cfg, services: map[ident.Service]*traffic{}}
}

// ApplySnapshot applies orders and states read from the store at confirmedAt.
func (g *Gate) ApplySnapshot(now, confirmedAt time.Time, known Snapshot) {
	if !g.cfg.Bounds.Enabled() {
		return
	}
	g.startClock(now)
	if !confirmedAt.Before(g.confirmedAt) {
		g.confirmedAt = confirmedAt
		g.dropWithdrawn(known.Orders)
	}
	for index := range known.States {
		state := &known.States[index]
		if guard := g.guard(state.Order); guard != nil {
			guard.applyPhase(state.Phase, state.Proved)
		}
	}
	// An order may be newer than the state; its target is unproved from now on.
	for _, order := range known.Orders {
		g.guard(order)
	}
	g.countRestricted()
}

// dropWithdrawn drops the guards of orders that are no longer listed and that no holder has
// started.
func (g *Gate) dropWithdrawn(orders []Order) {
	for service, traffic := range g.services {
		listed := slices.ContainsFunc(orders, func(order Order) bool { return order.Service == service })
		if guard := traffic.guard; guard != nil && !listed && guard.fence == 0 && guard.phase == 0 {
			traffic.guard = nil
		}
	}
}

func (g *Gate) startClock(now time.Time) {
	if g.clockOrigin.IsZero() {
		g.clockOrigin = now
	}
}

// guard returns the guard of an order, which replaces that of an older one; it is nil if a
// newer order is known.
func (g *Gate) guard(order Order) *guard {
	traffic := g.traffic(order.Service)
	known := traffic.guard
	switch {
	case known == nil || known.order.Revision < order.Revision:
		traffic.startOrder(order, g.cfg.Incarnation)
	case known.order.Revision > order.Revision:
		return nil
	}
	return traffic.guard
}

// traffic returns the traffic of a service, which is added if it is new.
func (g *Gate) traffic(service ident.Service) *traffic {
	known := g.services[service]
	if known == nil {
		known = &traffic{}
		g.services[service] = known
	}
	return known
}

// SetReleases sets the releases of all listed back ends of a service.
func (g *Gate) SetReleases(now time.Time, service ident.Service, releases []ident.Release) {
	if !g.cfg.Bounds.Enabled() {
		return
	}
	g.startClock(now)
	g.traffic(service).setListed(now, releases)
	g.countRestricted()
}

// countRestricted counts the services for which Choose has to be called.
func (g *Gate) countRestricted() {
	g.restricted = 0
	for _, traffic := range g.services {
		traffic.updateForbidden(g.confirmedAt)
		if traffic.restricts() {
			g.restricted++
		}
	}
}

// Active reports whether any attempt may be restricted; if not, Choose need not be called.
func (g *Gate) Active() bool { return g.restricted > 0 }

// Choose returns where an attempt may go. If it names the only release allowed and no back
// end of that can be used, the caller calls Declined, and Choose again with First unset.
func (g *Gate) Choose(now time.Time, request ChooseRequest) backend.Releases {
	traffic := g.services[request.Service]
	if traffic == nil {
		return backend.Releases{}
	}
	if traffic.guard == nil {
		return backend.Releases{Excluded: traffic.forbidden}
	}
	if request.Continues {
		return traffic.guard.releasesToContinue(now, request.Release, traffic.forbidden)
	}
	return traffic.guard.releases(now, request, traffic.forbidden)
}

// StillAllowed reports whether an attempt may still go to a release among those that Choose
// allowed.
func (g *Gate) StillAllowed(service ident.Service, allowed *backend.Releases, release ident.Release) bool {
	traffic := g.services[service]
	if traffic == nil || allowed.Only == release {
		return true
	}
	return !slices.Contains(traffic.forbidden, release)
}

// Declined records that a request that Choose assigned to the target is not sent there.
func (g *Gate) Declined(service ident.Service) {
	if traffic := g.services[service]; traffic != nil && traffic.guard != nil && traffic.guard.pending > 0 {
		traffic.guard.pending--
	}
}

// Sent counts an attempt that is sent to a back end. It is called for every attempt, as
// runs that began before an order are waited for, too.
func (g *Gate) Sent(_ time.Time, service ident.Service, to backend.Record) Run {
	if !g.cfg.Bounds.Enabled() {
		return Run{}
	}
	traffic := g.traffic(service)
	traffic.release(to.Release).running++
	run := Run{service: service, release: to.Release, counted: true}
	if traffic.guard == nil {
		return run
	}
	run.revision = traffic.guard.order.Revision
	if to.Release == traffic.guard.order.Target {
		run.group = groupOf(to.Instance)
		traffic.guard.countSent()
	}
	return run
}

// Ended records the outcome of an attempt.
func (g *Gate) Ended(_ time.Time, run Run, sample Sample) {
	if !run.counted {
		return
	}
	traffic := g.services[run.service]
	traffic.release(run.release).running--
	if traffic.guard != nil && traffic.guard.order.Revision == run.revision && !sample.Continues {
		traffic.guard.countAnswer(run.group, &sample)
	}
}

// ApplyPermit applies a permit, which may also carry a final phase or a new order.
func (g *Gate) ApplyPermit(now time.Time, permit *Permit) {
	if !g.cfg.Bounds.Enabled() || !permit.valid() {
		return
	}
	g.startClock(now)
	guard := g.guard(permit.Order)
	if guard == nil || (permit.Fence < guard.fence && !g.hooks.ignoreFence) {
		return
	}
	guard.fence = max(guard.fence, permit.Fence)
	guard.applyPhase(permit.Phase, permit.Proved)
	if permit.Incarnation == g.cfg.Incarnation || g.hooks.ignoreIncarnation {
		g.permit(now, guard, permit)
	}
	g.countRestricted()
}

// permit applies a permit for this incarnation, unless it is older than the current one.
func (g *Gate) permit(now time.Time, guard *guard, permit *Permit) {
	newer := permit.Fence > guard.permit.Fence || permit.Clock >= guard.permit.Clock
	if !newer && !g.hooks.ignoreFence {
		return
	}
	guard.permit = *permit
	valid := g.cfg.Bounds.validity(permit.Phase)
	guard.permittedUntil = g.clockOrigin.Add(permit.Clock + valid)
	if g.hooks.ignoreClock {
		guard.permittedUntil = now.Add(valid)
	}
}

// Report returns the report for the holder, or nil if no order for the service is known.
func (g *Gate) Report(now time.Time, service ident.Service) *Report {
	traffic := g.services[service]
	if traffic == nil || traffic.guard == nil {
		return nil
	}
	g.startClock(now)
	guard := traffic.guard
	report := &Report{
		Service: service, Revision: guard.order.Revision, Incarnation: g.cfg.Incarnation, Clock: now.Sub(g.clockOrigin),
		Phase: guard.actingPhase(now), Requests: guard.requests, Sent: guard.sent,
		OtherRuns: traffic.runningElsewhere(guard.order.Target), Tallies: slices.Clone(guard.tallies),
	}
	for index := range report.Tallies {
		report.Tallies[index].Times = slices.Clone(report.Tallies[index].Times)
	}
	if guard.permitted(now) {
		report.PermitLeft = guard.permittedUntil.Sub(now)
	}
	return report
}
