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
	// permitValidity is the time for which a permit is valid, from the moment at which the
	// router sent the report whose clock it carries. It is four permits long, so that
	// two of them in a row may be lost.
	permitValidity = time.Second
	// promotingPermitValidity is the same while the target gets all requests: a router that
	// misses permits would begin to send to the releases that are to end.
	promotingPermitValidity = 2 * time.Second
	// rollbackDivisor is the divisor of Bounds.Rollback that bounds both (the second one to
	// two parts): finding out and telling take the rest.
	rollbackDivisor = 5
	// coarseGroups is the number of parts into which back ends of the target are put together
	// once half of the tallies of a report are taken.
	coarseGroups = 8
	// maxRareRouteWeight is how much greater the part of a rare route's requests may be that go
	// to the target: its callers are not to bear the test alone.
	maxRareRouteWeight = 2
)

// guard is what a Gate knows and counts of one rollout.
type guard struct {
	order Order
	phase Phase
	// previous are the releases that served before the target.
	previous []ident.Release
	// unproved are the targets of earlier orders that did not succeed.
	unproved []ident.Release
	// undecided is that of them of whose order no verdict was learned; empty if there is none.
	undecided ident.Release
	// servedAlone says that the target served alone before the order came: nothing else can.
	servedAlone bool
	// creditSeed differs from router to router.
	creditSeed uint64
	// fence is the highest that a permit or state has carried.
	fence  uint64
	permit Permit
	// permittedUntil is the time to which the permit is valid.
	permittedUntil time.Time
	// requests, sent and pending count requests for the service, attempts sent to the
	// target, and requests that were told to go there and are not yet sent.
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

// applyPhase takes in a phase and its releases; a final phase stays.
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
		// Later states name all other releases that are listed.
		g.acceptProved(proved)
	}
}

// acceptProved lets a release serve that is proved, though its verdict was not learned: a router
// that was cut off meanwhile would forbid the one release that serves.
func (g *guard) acceptProved(proved []ident.Release) {
	if g.undecided == "" || !slices.Contains(proved, g.undecided) {
		return
	}
	g.unproved = slices.DeleteFunc(g.unproved, func(release ident.Release) bool { return release == g.undecided })
	g.undecided = ""
}

// releases returns where an attempt may go. Forbidden are the releases that it may not go to
// without a permit.
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

// permitted reports whether there is a permit that is still valid.
func (g *guard) permitted(now time.Time) bool {
	return !g.permit.Halted && now.Before(g.permittedUntil)
}

// routeShare spreads the requests of one route that go to the target.
type routeShare struct {
	name     string
	requests uint64
	// credit is the part of a request that may go to the target; at 1 the next one may.
	credit float64
}

// route returns the index of a route, which is added if it is new.
func (g *guard) route(name string) int {
	for index := range g.routes {
		if g.routes[index].name == name {
			return index
		}
	}
	// Routers begin at different credits, so that their first requests to the target come
	// one after the other.
	credit := float64(xxhash.Sum64String(name)^g.creditSeed) / math.MaxUint64
	g.routes = append(g.routes, routeShare{name: name, credit: credit})
	return len(g.routes) - 1
}

// takeTurn counts a request, and reports whether it is its route's turn to send one to the
// target. Routes with few requests send a greater part of them, up to maxRareRouteWeight times,
// so that what is bad on one of them alone is found about as soon.
func (g *guard) takeTurn(name string) bool {
	route := &g.routes[g.route(name)]
	route.requests++
	even := float64(g.requests) / float64(len(g.routes))
	weight := min(max(even/float64(route.requests), 1/maxRareRouteWeight), maxRareRouteWeight)
	route.credit = min(route.credit+g.permit.Fraction*weight, 1)
	return route.credit >= 1
}

// countSent counts an attempt that goes to the target.
func (g *guard) countSent() {
	g.sent++
	if g.pending > 0 {
		g.pending--
	}
}

// countAnswer adds the answer of a run.
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

// tally returns the tally of a route and part, or nil if there are too many.
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

// groupOf returns the part that stands for a back end of the target, which is never 0.
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
