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
	// permitFor is the time for which a permit is valid, from the moment at which the
	// router sent the report whose clock it carries. It is four permits long, so that
	// two of them in a row may be lost.
	permitFor = time.Second
	// promotingPermitFor is the same while the target gets all requests: a router that
	// misses permits would begin to send to the releases that are to end.
	promotingPermitFor = 2 * time.Second
	// rollbackParts is the divisor of Bounds.Rollback that bounds both (the second one to
	// two parts): finding out and telling take the rest.
	rollbackParts = 5
	// fewParts is the number of parts into which back ends of the target are put together
	// once half of the tallies of a report are taken.
	fewParts = 8
	// mostRarePart is how much greater the part of a rare route's requests may be that go
	// to the target: its callers are not to bear the test alone.
	mostRarePart = 2
)

// guard is what a Gate knows and counts of one rollout.
type guard struct {
	order Order
	phase Phase
	// others are the releases that served before the target.
	others []ident.Release
	// unproved are the targets of earlier orders that did not succeed.
	unproved []ident.Release
	// doubted is that of them of whose order no verdict was learned; empty if there is none.
	doubted ident.Release
	// alone says that the target served alone before the order came: nothing else can.
	alone bool
	// spread differs from router to router.
	spread uint64
	// fence is the highest that a permit or state has carried.
	fence  uint64
	permit Permit
	// until is the time to which the permit is valid.
	until time.Time
	// requests, sent and pending count requests for the service, attempts sent to the
	// target, and requests that were told to go there and are not yet sent.
	requests, sent, pending uint64
	tallies                 []Tally
	routes                  []routeShare
}

// validity returns the time for which a permit is valid.
func (b *Bounds) validity(phase Phase) time.Duration {
	if phase == Promoting {
		return min(promotingPermitFor, 2*b.Rollback/rollbackParts)
	}
	return min(permitFor, b.Rollback/rollbackParts)
}

// learn takes in a phase and its releases; a final phase stays.
func (g *guard) learn(phase Phase, proved []ident.Release) {
	if g.phase.Final() {
		return
	}
	if phase > g.phase {
		g.phase = phase
	}
	if !slices.Equal(g.others, proved) {
		g.others = slices.Clone(proved)
	}
	if phase == Observing {
		// Later states name all other releases that are listed.
		g.believe(proved)
	}
}

// believe lets a release serve that is proved, though its verdict was not learned: a router
// that was cut off meanwhile would forbid the one release that serves.
func (g *guard) believe(proved []ident.Release) {
	if g.doubted == "" || !slices.Contains(proved, g.doubted) {
		return
	}
	g.unproved = slices.DeleteFunc(g.unproved, func(release ident.Release) bool { return release == g.doubted })
	g.doubted = ""
}

// releases returns where an attempt may go. Forbidden are the releases that it may not go to
// without a permit.
func (g *guard) releases(now time.Time, ask ChooseRequest, forbidden []ident.Release) backend.Releases {
	if ask.First {
		g.requests++
	}
	turn := ask.First && g.turn(ask.Route)
	switch {
	case g.phase.Final() || !g.permitted(now):
		return backend.Releases{Excluded: forbidden}
	case g.permit.Phase == Promoting:
		return backend.Releases{Only: g.order.Target}
	case !turn || g.sent+g.pending >= g.permit.MaxSends:
		return backend.Releases{Excluded: forbidden}
	}
	g.pending++
	g.routes[g.route(ask.Route)].credit--
	return backend.Releases{Only: g.order.Target, MaxBackends: g.permit.MaxBackends, Seed: g.permit.Seed}
}

// forbids reports whether a release may not be used without a permit.
func (g *guard) forbids(release ident.Release) bool {
	if g.phase == Succeeded {
		return slices.Contains(g.others, release)
	}
	if release == g.order.Target {
		return g.phase == RolledBack || !g.alone
	}
	return slices.Contains(g.unproved, release)
}

// permitted reports whether there is a permit that is still valid.
func (g *guard) permitted(now time.Time) bool { return !g.permit.Halted && now.Before(g.until) }

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
	begin := float64(xxhash.Sum64String(name)^g.spread) / math.MaxUint64
	g.routes = append(g.routes, routeShare{name: name, credit: begin})
	return len(g.routes) - 1
}

// turn counts a request, and reports whether it is its route's turn to send one to the
// target. Routes with few requests send a greater part of them, up to mostRarePart times,
// so that what is bad on one of them alone is found about as soon.
func (g *guard) turn(name string) bool {
	route := &g.routes[g.route(name)]
	route.requests++
	even := float64(g.requests) / float64(len(g.routes))
	weight := min(max(even/float64(route.requests), 1/mostRarePart), mostRarePart)
	route.credit = min(route.credit+g.permit.Fraction*weight, 1)
	return route.credit >= 1
}

// sending counts an attempt that goes to the target.
func (g *guard) sending() {
	g.sent++
	if g.pending > 0 {
		g.pending--
	}
}

// count adds the answer of a run.
func (g *guard) count(part uint32, sample *Sample) {
	if sample.Outcome != Answered && sample.Outcome != Failed {
		return
	}
	tally := g.tally(sample.Route, part)
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
func (g *guard) tally(route string, part uint32) *Tally {
	if part != 0 && len(g.tallies) >= maxTallies/2 {
		part = 1 + part%fewParts
	}
	for index := range g.tallies {
		if g.tallies[index].Group == part && g.tallies[index].Route == route {
			return &g.tallies[index]
		}
	}
	if len(g.tallies) == maxTallies {
		return nil
	}
	g.tallies = append(g.tallies, Tally{Route: route, Group: part})
	return &g.tallies[len(g.tallies)-1]
}

// partOf returns the part that stands for a back end of the target, which is never 0.
func partOf(instance ident.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(instance))) | 1
}

// acts returns the phase that the router acts upon.
func (g *guard) acts(now time.Time) Phase {
	if g.phase.Final() {
		return g.phase
	}
	if g.permitted(now) && g.permit.Phase == Promoting {
		return Promoting
	}
	return Observing
}
