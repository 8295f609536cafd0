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
		relaxed := *query
		relaxed.AvoidRecentBackoff = false
		best, compared = r.cheapest(now, &relaxed, home, allowed)
	}
	if best == nil && compared.skips.draining > 0 {
		// What comes soon after the first word may still go to back ends that leave.
		draining := *query
		draining.drainServeTime = r.config.DrainServeTime
		best, compared = r.cheapest(now, &draining, home, allowed)
	}
	if best == nil {
		return Choice{}, nil, false
	}
	predicted, queued := r.predict(best, query, home), r.queued(best, query)
	attempt := &Attempt{
		registry: r, target: best, expectedAt: now.Add(predicted), startedAt: now,
		model: query.Model, version: best.version(now, query.Model),
	}
	attempt.trial = query.Releases.MaxBackends > 0
	if best.drain.active() {
		attempt.drainServesUntil = best.drain.since.Add(r.config.DrainServeTime)
	}
	attempt.tokens = query.OwnTokens
	if best != home {
		attempt.tokens += query.SharedTokens
	} else if best.waitingTokens() == 0 {
		attempt.sentAt = now
	}
	best.attempts[attempt] = struct{}{}
	choice := Choice{
		Record: best.record, Version: attempt.version, Home: best == home,
		Predicted: predicted, Queued: queued, Lateness: r.recentLateness(now, best),
		PeerQueueWait: best.peerQueue.wait(now), Congestion: r.congestion(now, query.Service), Candidates: compared.eligible,
		PredictedUncached: r.predictUncached(query), Releases: query.Releases,
		Distance:      r.config.Regions.Between(r.config.Zone, best.record.Zone),
		RecentBackoff: best.backoff.recent(now) && compared.eligible > 1,
		BackoffSkips:  compared.skips.backoff, DrainingSkips: compared.skips.draining, FasterSkip: compared.fasterSkip,
		LimitSkips: compared.limitSkips, AllLimited: compared.limited == compared.eligible,
	}
	if best.limit.inForce(now) {
		choice.Limit = Limit{Rate: best.limit.rate, Sequence: best.limit.sequence}
	}
	if home != nil {
		choice.HomeZone = home.record.Zone
	}
	return choice, attempt, true
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
	return selectBackends(allowed, &query.Releases)
}

// selectBackends returns those back ends of one release that may be used. Back ends that leave
// the service don't count, so that as many others are used in their place.
func selectBackends(allowed []*state, releases *Releases) []*state {
	var candidates []ident.Incarnation
	for _, known := range allowed {
		if !known.drain.active() {
			candidates = append(candidates, known.record.Instance)
		}
	}
	used := releases.Select(candidates)
	return slices.DeleteFunc(allowed, func(known *state) bool { return !slices.Contains(used, known.record.Instance) })
}

// comparison counts the back ends that a choice was made among.
type comparison struct {
	// eligible may be used, limited of them have a limit. limitSkips could be but for that.
	eligible, limited, limitSkips int
	// skips are those that said that they want nothing.
	skips skipCounts
	// fasterSkip is why the choice did not fall on one of those.
	fasterSkip SkipReason
}

// cheapest returns the back end of the least cost, or nil, and the numbers of
// those that may be used. Among equals the query's own order decides, so that
// they share the work and routers agree on who stands in for a home.
func (r *Registry) cheapest(now time.Time, query *Query, home *state, allowed []*state) (best *state, counts comparison) {
	bestCost := math.Inf(1)
	var bestScore uint64
	staleCost := r.staleCost(now, query)
	for _, candidate := range allowed {
		if !candidate.eligible(now, query) {
			if candidate.limit.usedUp(now) {
				counts.limitSkips++
			}
			if reason := candidate.skipReason(now); reason != SkipNone {
				counts.skips.add(reason, r.cost(now, candidate, query, home))
			}
			continue
		}
		cost := r.cost(now, candidate, query, home)
		if staleCost > 0 && candidate.stale(now, query) {
			cost += staleCost.Seconds()
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
	counts.fasterSkip = counts.skips.ifCheaper(bestCost * costGrain.Seconds())
	return best, counts
}

// predict returns the expected time to the first byte of the answer.
func (r *Registry) predict(candidate *state, query *Query, home *state) time.Duration {
	if query.Model == "" {
		ahead := float64(len(candidate.attempts)) / float64(max(candidate.record.Slots, 1))
		return query.Expected + time.Duration(ahead*float64(query.Expected))
	}
	rate := r.prefillRate(query.Service)
	predicted := rate.estimate(candidate.waitingTokens() + query.OwnTokens)
	if candidate != home {
		predicted += time.Duration(r.spillFactor(candidate, home) * float64(rate.estimate(query.SharedTokens)))
	}
	return predicted
}

// idleDivisor is the part of the usual time of a request without a model, as a divisor, that is
// taken as its time at an idle back end. The usual time is only guessed, and answers that
// are faster than this are not told apart: applications answer in a third to nine tenths
// of it, and one that takes three times as long as before has to be seen.
const idleDivisor = 8

// predictUncached returns the expected time to the first byte of the answer of a back end that
// is idle and has nothing of the prompt cached.
func (r *Registry) predictUncached(query *Query) time.Duration {
	if query.Model == "" {
		return query.Expected / idleDivisor
	}
	return r.prefillRate(query.Service).estimate(query.SharedTokens + query.OwnTokens)
}

// queued returns the time for which the prompts of this router's other attempts keep
// an engine busy; it is 0 for back ends that run no model.
func (r *Registry) queued(candidate *state, query *Query) time.Duration {
	if query.Model == "" {
		return 0
	}
	return r.prefillRate(query.Service).estimate(candidate.waitingTokens())
}

// prefillRate returns what is learned of the reading rate of a service's engines.
func (r *Registry) prefillRate(service ident.Service) *prefillRate {
	rate := r.prefillRates[service]
	if rate == nil {
		fresh := newPrefillRate(r.config.PrefillPerToken)
		rate = &fresh
		r.prefillRates[service] = rate
	}
	return rate
}

// recentLateness returns by how much answers of a back end lately came later than
// predicted.
func (r *Registry) recentLateness(now time.Time, known *state) time.Duration {
	if !r.config.Disabled.On(mechanism.LatePatience) {
		return 0
	}
	return known.latenessAt(now)
}

// congestion returns by how much answers of a service lately came late on the mean, in
// units of fullCongestionLateness. It is the mean of answers and not of back ends: of most of a
// large fleet's a router has heard nothing lately.
func (r *Registry) congestion(now time.Time, service ident.Service) float64 {
	return r.lateness(service).at(now).Seconds() / fullCongestionLateness.Seconds()
}

// lateness returns by how much answers of a service lately came later than predicted.
func (r *Registry) lateness(service ident.Service) *serviceLateness {
	known := r.serviceLateness[service]
	if known == nil {
		known = &serviceLateness{}
		r.serviceLateness[service] = known
	}
	return known
}

// cost returns the expected time, in seconds, with the risks of the back end
// added to it.
func (r *Registry) cost(now time.Time, candidate *state, query *Query, home *state) float64 {
	predicted := r.predict(candidate, query, home)
	cost := (predicted + candidate.latenessAt(now) + candidate.peerQueue.wait(now)).Seconds()
	switch candidate.versionRisk(now, query, predicted) {
	case versionExpired:
		return math.Inf(1)
	case versionUncertain:
		cost += uncertainVersionPenalty.Seconds()
	}
	cost += r.hopCost(candidate).Seconds()
	if r.regionUnreachable(now, candidate) {
		cost += failurePenalty.Seconds()
	}
	candidate.decay(now)
	// One failure in few attempts says less than many in a row.
	cost += candidate.failed / (candidate.tried + 2) * failurePenalty.Seconds()
	silentAfter := r.config.SilentAfter + silenceLatenessFactor*r.recentLateness(now, candidate)
	if candidate.peerSilent(now) || candidate.silence(now) > silentAfter {
		cost += failurePenalty.Seconds()
	}
	return cost
}
