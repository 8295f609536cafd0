package backend

import (
	"cmp"
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// home returns the back end that ranks first for the shared part of the prompt among those
// allowed in its region, whether it is usable now or not. One that was reported silent or gone
// is skipped: all routers receive these reports, and so agree on the next one.
func (r *Registry) home(now time.Time, query *Query, allowed []*state) *state {
	if query.HomeKey == 0 || !r.config.Disabled.Enabled(mechanism.HomeEngines) {
		return nil
	}
	notDraining := func(known *state) bool { return !known.drain.active() }
	reachable := func(known *state) bool {
		return notDraining(known) && !known.peerSilent(now) && !known.gone(now) && !r.regionUnreachable(now, known)
	}
	if r.config.Regions.HasMultiple() {
		region := r.homeRegion(now, query, allowed)
		inRegion := func(known *state) bool { return reachable(known) && r.config.Regions.Of(known.record.Zone) == region }
		if best := firstRanked(query, allowed, inRegion); best != nil {
			return best
		}
	}
	if best := firstRanked(query, allowed, reachable); best != nil {
		return best
	}
	return firstRanked(query, allowed, notDraining)
}

// homeRegion returns the region of the home of a prompt, the same at every router. Regions get
// prompts in proportion to their back ends, silent ones included. A prompt keeps its region
// while these shares do, so that the replacement of its home fetches cached parts within the
// region. Regions that are unreachable from here have no share.
func (r *Registry) homeRegion(now time.Time, query *Query, allowed []*state) ident.Region {
	counts := make(map[ident.Region]int)
	for _, known := range allowed {
		if !known.drain.active() && !r.regionUnreachable(now, known) {
			counts[r.config.Regions.Of(known.record.Zone)]++
		}
	}
	key := cmp.Or(query.RegionKey, query.HomeKey)
	var best ident.Region
	bestDraw := math.Inf(1)
	for region, count := range counts {
		draw := weightedDraw(rendezvous.Score(key, ident.Engine(region)), count)
		if draw < bestDraw || (draw == bestDraw && region < best) {
			best, bestDraw = region, draw
		}
	}
	return best
}

// weightedDraw turns a score, evenly distributed over 64 bits, into a draw that is the least of
// several in proportion to the weights.
func weightedDraw(score uint64, weight int) float64 {
	fraction := (float64(score>>11) + 0.5) / (1 << 53)
	return -math.Log(fraction) / float64(weight)
}

// firstRanked returns the back end that ranks first for the shared part of the prompt
// among those that fit, or nil.
func firstRanked(query *Query, allowed []*state, fits func(*state) bool) *state {
	var best *state
	var bestScore uint64
	for _, candidate := range allowed {
		if !fits(candidate) {
			continue
		}
		name := ident.Engine(candidate.record.Instance)
		score := rendezvous.Score(query.HomeKey, name)
		if best == nil || rendezvous.RanksAbove(score, name, bestScore, ident.Engine(best.record.Instance)) {
			best, bestScore = candidate, score
		}
	}
	return best
}
