package canary

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// permitValidity is the time for which a permit is valid after the router sent the
	// report whose clock it carries: two permits in a row may be lost.
	permitValidity = time.Second
	// promotingPermitValidity is longer, as a router without a permit would send to the
	// releases that are about to end.
	promotingPermitValidity = 2 * time.Second
	// rollbackDivisor bounds both by Bounds.Rollback/rollbackDivisor (the second by twice
	// that); detection and notification need the rest.
	rollbackDivisor = 5
	// coarseGroups is the number of groups for the target's back ends once half of a
	// report's tallies are in use.
	coarseGroups = 8
	// maxRareRouteWeight limits how much more of a rare route's requests go to the target
	// than of others.
	maxRareRouteWeight = 2
)

// guard is a Gate's state of one rollout.
type guard struct {
	order Order
	phase Phase
	// previous are the releases that served before the target.
	previous []ident.Release
	// unproved are the targets of earlier orders that did not succeed.
	unproved []ident.Release
	// undecided is the unproved release whose order's verdict was missed, or empty.
	undecided ident.Release
	// servedAlone is set if the target served alone before the order: nothing else can.
	servedAlone bool
	// creditSeed differs from router to router.
	creditSeed uint64
	// fence is the highest one received in a permit.
	fence  uint64
	permit Permit
	// permittedUntil is when the permit expires.
	permittedUntil time.Time
	// requests counts the service's requests, sent the attempts sent to the target, and
	// pending the requests assigned to it but not yet sent.
	requests, sent, pending uint64
	tallies                 []Tally
	routes                  []routeShare
}

// validity returns the time for which a permit is valid.
func (b *Bounds) validity(phase Phase) time.Duration {
	if phase == Promoting {
		return min(promotingPermitValidity, 2*b.Rollback/rollbackDivisor)
	}
	return min(permitValidity, b.Rollback/rollbackDivisor)
}

// applyPhase applies a phase and its proved releases; a final phase stays.
func (g *guard) applyPhase(phase Phase, proved []ident.Release) {
	if g.phase.Final() {
		return
	}
	if phase > g.phase {
		g.phase = phase
	}
	if !slices.Equal(g.previous, proved) {
		g.previous = slices.Clone(proved)
	}
	if phase == Observing {
		// Later states contain all other releases that are listed.
		g.acceptProved(proved)
	}
}

// acceptProved lets a proved release serve whose verdict was missed: a router that was cut
// off would otherwise forbid the only serving release.
func (g *guard) acceptProved(proved []ident.Release) {
	if g.undecided == "" || !slices.Contains(proved, g.undecided) {
		return
	}
	g.unproved = slices.DeleteFunc(g.unproved, func(release ident.Release) bool { return release == g.undecided })
	g.undecided = ""
}

// releases returns where an attempt may go. Forbidden are the releases not allowed without
// a permit.
func (g *guard) releases(now time.Time, request ChooseRequest, forbidden []ident.Release) backend.Releases {
	if request.First {
		g.requests++
	}
	chosen := request.First && g.takeTurn(request.Route)
	switch {
	case g.phase.Final() || !g.permitted(now):
		return backend.Releases{Excluded: forbidden}
	case g.permit.Phase == Promoting:
		return backend.Releases{Only: g.order.Target}
	case !chosen || g.sent+g.pending >= g.permit.MaxSends:
		return backend.Releases{Excluded: forbidden}
	}
	g.pending++
	g.routes[g.route(request.Route)].credit--
	return backend.Releases{Only: g.order.Target, MaxBackends: g.permit.MaxBackends, Seed: g.permit.Seed}
}

// releasesToContinue returns where a stream that began at a release may go on. At the target of a
// rollout that takes a permitted request: the bound of the exposure holds before the stream does.
func (g *guard) releasesToContinue(now time.Time, release ident.Release, forbidden []ident.Release) backend.Releases {
	trial := release == g.order.Target && !g.phase.Final()
	if !trial || !g.permitted(now) || (g.permit.Phase != Promoting && g.sent+g.pending >= g.permit.MaxSends) {
		return backend.Releases{Excluded: forbidden}
	}
	if g.permit.Phase == Promoting {
		return backend.Releases{Only: release}
	}
	g.pending++
	return backend.Releases{Only: release, MaxBackends: g.permit.MaxBackends, Seed: g.permit.Seed}
}

// forbids reports whether a release may not be used without a permit.
func (g *guard) forbids(release ident.Release) bool {
	if g.phase == Succeeded {
		return slices.Contains(g.previous, release)
	}
	if release == g.order.Target {
		return g.phase == RolledBack || !g.servedAlone
	}
	return slices.Contains(g.unproved, release)
}

// permitted reports whether there is a valid permit.
func (g *guard) permitted(now time.Time) bool {
	return !g.permit.Halted && now.Before(g.permittedUntil)
}

// routeShare spreads the requests of one route that go to the target.
type routeShare struct {
	name     string
	requests uint64
	// credit is the fraction of a request that may go to the target; at 1 the next one may.
	credit float64
}

// route returns the index of a route, which is added if it is new.
func (g *guard) route(name string) int {
	for index := range g.routes {
		if g.routes[index].name == name {
			return index
		}
	}
	// Routers begin at different credits, so that their first requests to the target are
	// spread over time.
	credit := float64(xxhash.Sum64String(name)^g.creditSeed) / math.MaxUint64
	g.routes = append(g.routes, routeShare{name: name, credit: credit})
	return len(g.routes) - 1
}

// takeTurn counts a request, and reports whether the route's credit allows it to go to the
// target. Rare routes send a larger fraction, so that faults on one of them alone are found
// about as soon.
func (g *guard) takeTurn(name string) bool {
	route := &g.routes[g.route(name)]
	route.requests++
	even := float64(g.requests) / float64(len(g.routes))
	weight := min(max(even/float64(route.requests), 1/maxRareRouteWeight), maxRareRouteWeight)
	route.credit = min(route.credit+g.permit.Fraction*weight, 1)
	return route.credit >= 1
}

// countSent counts an attempt sent to the target.
func (g *guard) countSent() {
	g.sent++
	if g.pending > 0 {
		g.pending--
	}
}

// countAnswer counts the answer of a run.
func (g *guard) countAnswer(group uint32, sample *Sample) {
	if sample.Outcome != Answered && sample.Outcome != Failed {
		return
	}
	tally := g.tally(sample.Route, group)
	if tally == nil {
		return
	}
	tally.Answers++
	if sample.Outcome == Failed {
		tally.Failures++
		return
	}
	tally.Times.add(sample.Elapsed, sample.Predicted)
}

// tally returns the tally of a route and group, or nil if there are too many.
func (g *guard) tally(route string, group uint32) *Tally {
	if group != 0 && len(g.tallies) >= maxTallies/2 {
		group = 1 + group%coarseGroups
	}
	for index := range g.tallies {
		if g.tallies[index].Group == group && g.tallies[index].Route == route {
			return &g.tallies[index]
		}
	}
	if len(g.tallies) == maxTallies {
		return nil
	}
	g.tallies = append(g.tallies, Tally{Route: route, Group: group})
	return &g.tallies[len(g.tallies)-1]
}

// groupOf returns the group of a back end of the target, which is never 0.
func groupOf(instance ident.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(instance))) | 1
}

// actingPhase returns the phase that the router acts upon.
func (g *guard) actingPhase(now time.Time) Phase {
	if g.phase.Final() {
		return g.phase
	}
	if g.permitted(now) && g.permit.Phase == Promoting {
		return Promoting
	}
	return Observing
}
