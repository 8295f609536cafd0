package backend

import (
	"math"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Pick chooses the back end with the least expected time for an attempt and
// counts the attempt against it. It returns false if no back end may be used.
func (r *Registry) Pick(now time.Time, query *Query) (Choice, *Attempt, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	allowed := r.allowed(query)
	home := r.home(now, query, allowed)
	best, compared := r.cheapest(now, query, home, allowed)
	if best == nil && query.AvoidRecentBackoff {
		all := *query
		all.AvoidRecentBackoff = false
		best, compared = r.cheapest(now, &all, home, allowed)
	}
	if best == nil && compared.passedOver.leaving > 0 {
		// What comes soon after the first word may still go to back ends that leave.
		last := *query
		last.leavingServes = r.config.DrainServeTime
		best, compared = r.cheapest(now, &last, home, allowed)
	}
	if best == nil {
		return Choice{}, nil, false
	}
	predicted, queued := r.predict(best, query, home), r.queued(best, query)
	flight := &Attempt{
		registry: r, target: best, dueAt: now.Add(predicted), begunAt: now,
		model: query.Model, version: best.version(now, query.Model),
	}
	flight.trial = query.Releases.MaxBackends > 0
	if best.leaving.begun() {
		flight.servesUntil = best.leaving.since.Add(r.config.DrainServeTime)
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
		Predicted: predicted, Queued: queued, Lateness: r.usualLateness(now, best),
		PeerQueueWait: best.told.wait(now), Congestion: r.congestion(now, query.Service), Candidates: compared.eligible,
		PredictedUncached: r.uncached(query), Releases: query.Releases,
		Distance:      r.config.Regions.Between(r.config.Zone, best.record.Zone),
		RecentBackoff: best.rest.doubted(now) && compared.eligible > 1,
		BackoffSkips:  compared.passedOver.resting, DrainingSkips: compared.passedOver.leaving, FasterSkip: compared.instead,
		LimitSkips: compared.usedUp, AllLimited: compared.limited == compared.eligible,
	}
	if best.limit.inForce(now) {
		choice.Limit = Limit{Rate: best.limit.rate, Sequence: best.limit.sequence}
	}
	if home != nil {
		choice.HomeZone = home.record.Zone
	}
	return choice, flight, true
}

// allowed returns the back ends of the service whose releases the query allows.
func (r *Registry) allowed(query *Query) []*state {
	all := r.services[query.Service]
	if !query.Releases.Restricted() {
		return all
	}
	var allowed []*state
	for _, known := range all {
		if query.Releases.Allows(known.record.Release) {
			allowed = append(allowed, known)
		}
	}
	if query.Releases.MaxBackends <= 0 {
		return allowed
	}
	return narrowed(allowed, &query.Releases)
}

// narrowed returns those back ends of one release that may be used. Back ends that leave
// the service don't count, so that as many others are used in their place.
func narrowed(allowed []*state, releases *Releases) []*state {
	var staying []ident.Incarnation
	for _, known := range allowed {
		if !known.leaving.begun() {
			staying = append(staying, known.record.Instance)
		}
	}
	used := releases.Select(staying)
	return slices.DeleteFunc(allowed, func(known *state) bool { return !slices.Contains(used, known.record.Instance) })
}

// compared counts the back ends that a choice was made among.
type compared struct {
	// eligible may be used, limited of them have a limit. usedUp could be but for that.
	eligible, limited, usedUp int
	// passedOver are those that said that they want nothing.
	passedOver passedOver
	// instead is why the choice did not fall on one of those.
	instead SkipReason
}

// cheapest returns the back end of the least cost, or nil, and the numbers of
// those that may be used. Among equals the query's own order decides, so that
// they share the work and routers agree on who stands in for a home.
func (r *Registry) cheapest(now time.Time, query *Query, home *state, allowed []*state) (best *state, counts compared) {
	bestCost := math.Inf(1)
	var bestScore uint64
	stale := r.stalePrice(now, query)
	for _, candidate := range allowed {
		if !candidate.eligible(now, query) {
			if candidate.limit.usedUp(now) {
				counts.usedUp++
			}
			if why := candidate.passedOver(now); why != SkipNone {
				counts.passedOver.add(why, r.cost(now, candidate, query, home))
			}
			continue
		}
		cost := r.cost(now, candidate, query, home)
		if stale > 0 && candidate.stale(now, query) {
			cost += stale.Seconds()
		}
		if math.IsInf(cost, 1) {
			continue
		}
		counts.eligible++
		if candidate.limit.inForce(now) {
			counts.limited++
		}
		cost = math.Floor(cost / costGrain.Seconds())
		score := rendezvous.Score(query.SpreadKey, ident.Engine(candidate.record.Instance))
		if cost < bestCost || (cost == bestCost && score > bestScore) {
			best, bestCost, bestScore = candidate, cost, score
		}
	}
	counts.instead = counts.passedOver.instead(bestCost * costGrain.Seconds())
	return best, counts
}

// predict returns the expected time to the first byte of the answer.
func (r *Registry) predict(candidate *state, query *Query, home *state) time.Duration {
	if query.Model == "" {
		ahead := float64(len(candidate.flights)) / float64(max(candidate.record.Slots, 1))
		return query.Expected + time.Duration(ahead*float64(query.Expected))
	}
	learned := r.reading(query.Service)
	predicted := learned.of(candidate.waitingTokens() + query.OwnTokens)
	if candidate != home {
		predicted += time.Duration(r.spillPrice(candidate, home) * float64(learned.of(query.SharedTokens)))
	}
	return predicted
}

// fastest is the part of the usual time of a request without a model, as a divisor, that is
// taken as its time at an idle back end. The usual time is only guessed, and answers that
// are faster than this are not told apart: applications answer in a third to nine tenths
// of it, and one that takes three times as long as before has to be seen.
const fastest = 8

// uncached returns the expected time to the first byte of the answer of a back end that
// is idle and has nothing of the prompt cached.
func (r *Registry) uncached(query *Query) time.Duration {
	if query.Model == "" {
		return query.Expected / fastest
	}
	return r.reading(query.Service).of(query.SharedTokens + query.OwnTokens)
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
		fresh := newReading(r.config.PrefillPerToken)
		learned = &fresh
		r.readings[service] = learned
	}
	return learned
}

// usualLateness returns by how much answers of a back end lately came later than
// predicted.
func (r *Registry) usualLateness(now time.Time, known *state) time.Duration {
	if !r.config.Disabled.On(mechanism.LatePatience) {
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
func (r *Registry) cost(now time.Time, candidate *state, query *Query, home *state) float64 {
	predicted := r.predict(candidate, query, home)
	cost := (predicted + candidate.excessAt(now) + candidate.told.wait(now)).Seconds()
	switch candidate.versionRisk(now, query, predicted) {
	case versionExpired:
		return math.Inf(1)
	case versionUncertain:
		cost += uncertainPenalty.Seconds()
	}
	cost += r.hop(candidate).Seconds()
	if r.lost(now, candidate) {
		cost += failurePenalty.Seconds()
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
