package backend

import (
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Pick chooses the back end with the least expected time for an attempt and
// counts the attempt against it. It returns false if no back end may be used.
func (r *Registry) Pick(now time.Time, query *Query) (Choice, *Flight, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	home := r.home(now, query)
	best, candidates := r.cheapest(now, query, home)
	if best == nil {
		return Choice{}, nil, false
	}
	predicted, queued := r.predict(best, query, best == home), r.queued(best, query)
	flight := &Flight{
		registry: r, target: best, dueAt: now.Add(predicted),
		model: query.Model, version: best.version(now, query.Model),
	}
	flight.tokens = query.OwnTokens
	if best != home {
		flight.tokens += query.SharedTokens
	} else if best.waitingTokens() == 0 {
		flight.sentAt = now
	}
	best.flights[flight] = struct{}{}
	choice := Choice{
		Record: best.record, Version: flight.version, Home: best == home,
		Predicted: predicted, Queued: queued, Late: r.usualLateness(now, best),
		Told: best.told.wait(now), Congestion: r.congestion(now, query.Service), Candidates: candidates,
	}
	if home != nil {
		choice.HomeZone = home.record.Zone
	}
	return choice, flight, true
}

// cheapest returns the back end of the least cost, or nil, and the number of
// those that may be used. Among equals the query's own order decides, so that
// they share the work and routers agree on who stands in for a home.
func (r *Registry) cheapest(now time.Time, query *Query, home *state) (best *state, candidates int) {
	bestCost := math.Inf(1)
	var bestScore uint64
	stale := r.stalePrice(now, query)
	for _, candidate := range r.services[query.Service] {
		if !candidate.eligible(now, query) {
			continue
		}
		cost := r.cost(now, candidate, query, candidate == home)
		if stale > 0 && candidate.stale(now, query) {
			cost += stale.Seconds()
		}
		if math.IsInf(cost, 1) {
			continue
		}
		candidates++
		cost = math.Floor(cost / costGrain.Seconds())
		score := rendezvous.Score(query.SpreadKey, ident.Engine(candidate.record.Instance))
		if cost < bestCost || (cost == bestCost && score > bestScore) {
			best, bestCost, bestScore = candidate, cost, score
		}
	}
	return best, candidates
}

// home returns the back end that ranks first for the shared part of the prompt among
// all that serve it, whether it is usable now or not. One that was told silent is passed
// over: as all routers are told so, they agree on the next one.
func (r *Registry) home(now time.Time, query *Query) *state {
	if query.HomeKey == 0 || !r.config.Off.On(mechanism.HomeEngines) {
		return nil
	}
	heard := func(known *state) bool { return !known.record.Draining && !known.toldSilent(now) }
	if best := r.firstRanked(query, heard); best != nil {
		return best
	}
	return r.firstRanked(query, func(known *state) bool { return !known.record.Draining })
}

// firstRanked returns the back end that ranks first for the shared part of the prompt
// among those that fit, or nil.
func (r *Registry) firstRanked(query *Query, fits func(*state) bool) *state {
	var best *state
	var bestScore uint64
	for _, candidate := range r.services[query.Service] {
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

// predict returns the expected time to the first byte of the answer.
func (r *Registry) predict(candidate *state, query *Query, home bool) time.Duration {
	if query.Model == "" {
		ahead := float64(len(candidate.flights)) / float64(max(candidate.record.Slots, 1))
		return query.Expected + time.Duration(ahead*float64(query.Expected))
	}
	learned := r.reading(query.Service)
	predicted := learned.of(candidate.waitingTokens() + query.OwnTokens)
	if !home {
		predicted += time.Duration(spillPrice * float64(learned.of(query.SharedTokens)))
	}
	return predicted
}

// queued returns the time for which the prompts of this router's other attempts keep
// an engine busy; it is 0 for back ends that run no model.
func (r *Registry) queued(candidate *state, query *Query) time.Duration {
	if query.Model == "" {
		return 0
	}
	return r.reading(query.Service).of(candidate.waitingTokens())
}

// reading returns what is learned of the reading rate of a service's engines.
func (r *Registry) reading(service ident.Service) *reading {
	learned := r.readings[service]
	if learned == nil {
		fresh := newReading(r.config.ReadPerToken)
		learned = &fresh
		r.readings[service] = learned
	}
	return learned
}

// usualLateness returns by how much answers of a back end lately came later than
// predicted.
func (r *Registry) usualLateness(now time.Time, known *state) time.Duration {
	if !r.config.Off.On(mechanism.LatePatience) {
		return 0
	}
	return known.excessAt(now)
}

// congestion returns by how much answers of a service lately came late on the mean, in
// units of congestedAt. It is the mean of answers and not of back ends: of most of a
// large fleet's a router has heard nothing lately.
func (r *Registry) congestion(now time.Time, service ident.Service) float64 {
	return r.lateness(service).at(now).Seconds() / congestedAt.Seconds()
}

// lateness returns by how much answers of a service lately came later than predicted.
func (r *Registry) lateness(service ident.Service) *serviceLateness {
	known := r.latenesses[service]
	if known == nil {
		known = &serviceLateness{}
		r.latenesses[service] = known
	}
	return known
}

// cost returns the expected time, in seconds, with the risks of the back end
// added to it.
func (r *Registry) cost(now time.Time, candidate *state, query *Query, home bool) float64 {
	predicted := r.predict(candidate, query, home)
	cost := (predicted + candidate.excessAt(now) + candidate.told.wait(now)).Seconds()
	switch candidate.versionRisk(now, query, predicted) {
	case versionExpired:
		return math.Inf(1)
	case versionUncertain:
		cost += uncertainPenalty.Seconds()
	}
	if candidate.record.Zone != r.config.Zone {
		cost += r.config.ZoneHop.Seconds()
	}
	candidate.decay(now)
	// One failure in few attempts says less than many in a row.
	cost += candidate.failed / (candidate.tried + 2) * failurePenalty.Seconds()
	silentAfter := r.config.SilentAfter + lateFactor*r.usualLateness(now, candidate)
	if candidate.toldSilent(now) || candidate.silence(now) > silentAfter {
		cost += failurePenalty.Seconds()
	}
	return cost
}
