package backend

import (
	"cmp"
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// home returns the back end that ranks first for the shared part of the prompt among
// those allowed in its region, whether it is usable now or not. One that was told silent
// or gone is passed over: as all routers are told so, they agree on the next one.
func (r *Registry) home(now time.Time, query *Query, allowed []*state) *state {
	if query.HomeKey == 0 || !r.config.Disabled.On(mechanism.HomeEngines) {
		return nil
	}
	serves := func(known *state) bool { return !known.leaving.begun() }
	heard := func(known *state) bool {
		return serves(known) && !known.toldSilent(now) && !known.gone(now) && !r.lost(now, known)
	}
	if r.config.Regions.HasMultiple() {
		place := r.homeRegion(now, query, allowed)
		near := func(known *state) bool { return heard(known) && r.config.Regions.Of(known.record.Zone) == place }
		if best := firstRanked(query, allowed, near); best != nil {
			return best
		}
	}
	if best := firstRanked(query, allowed, heard); best != nil {
		return best
	}
	return firstRanked(query, allowed, serves)
}

// homeRegion returns the region of the home of a prompt, the same at every router.
// Regions get prompts in proportion to their back ends, silent ones included. A prompt
// keeps its region while the shares do, whichever back ends come and go, so that whoever
// stands in for its home fetches what was kept of it within the region. Regions that
// cannot be reached from here have no share.
func (r *Registry) homeRegion(now time.Time, query *Query, allowed []*state) ident.Region {
	counts := make(map[ident.Region]int)
	for _, known := range allowed {
		if !known.leaving.begun() && !r.lost(now, known) {
			counts[r.config.Regions.Of(known.record.Zone)]++
		}
	}
	key := cmp.Or(query.RegionKey, query.HomeKey)
	var best ident.Region
	bestDraw := math.Inf(1)
	for place, count := range counts {
		draw := weightedDraw(rendezvous.Score(key, ident.Engine(place)), count)
		if draw < bestDraw || (draw == bestDraw && place < best) {
			best, bestDraw = place, draw
		}
	}
	return best
}

// weightedDraw turns a score, which is evenly spread over 64 bits, into a draw that is
// the least of several in proportion to the weights.
func weightedDraw(score uint64, weight int) float64 {
	part := (float64(score>>11) + 0.5) / (1 << 53)
	return -math.Log(part) / float64(weight)
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
		if best == nil || rendezvous.Better(score, name, bestScore, ident.Engine(best.record.Instance)) {
			best, bestScore = candidate, score
		}
	}
	return best
}
