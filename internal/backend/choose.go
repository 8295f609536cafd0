package backend

import (
	"math"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Pick chooses the back end with the lowest cost for an attempt and counts the attempt against
// it. It returns false if no back end is eligible.
func (r *Registry) Pick(now time.Time, query *Query) (Choice, *Attempt, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	allowed := r.allowed(now, query)
	home := r.home(now, query, allowed)
	best, compared := r.cheapest(now, query, home, allowed)
	if best == nil && query.AvoidNewReleases {
		relaxed := *query
		relaxed.AvoidNewReleases = false
		query = &relaxed
		allowed = r.allowed(now, query)
		home = r.home(now, query, allowed)
		best, compared = r.cheapest(now, query, home, allowed)
	}
	if best == nil && query.AvoidRecentBackoff {
		relaxed := *query
		relaxed.AvoidRecentBackoff = false
		best, compared = r.cheapest(now, &relaxed, home, allowed)
	}
	if best == nil && compared.skips.draining > 0 {
		// Draining back ends may serve for DrainServeTime if there is no other one.
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
		Distance:       r.config.Regions.Between(r.config.Zone, best.record.Zone),
		ReleaseChanged: best.releaseChanged,
		RecentBackoff:  best.backoff.recent(now) && compared.eligible > 1,
		BackoffSkips:   compared.skips.backoff, DrainingSkips: compared.skips.draining, FasterSkip: compared.fasterSkip,
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
func (r *Registry) allowed(now time.Time, query *Query) []*state {
	all := r.services[query.Service]
	avoidNew := query.AvoidNewReleases && r.severalReleases.Load() && !query.Continues
	if !query.Releases.Restricted() && !query.Continues && !avoidNew {
		return all
	}
	var allowed []*state
	for _, known := range all {
		if query.Continues && known.record.Release != query.Release {
			continue
		}
		if avoidNew && !r.settled(now, query.Service, known.record.Release) {
			continue
		}
		if query.Releases.Allows(known.record.Release) {
			allowed = append(allowed, known)
		}
	}
	if query.Releases.MaxBackends <= 0 {
		return allowed
	}
	return selectBackends(allowed, &query.Releases)
}

// selectBackends returns those back ends of one release that may be used. Draining ones don't
// count towards MaxBackends: others replace them.
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

// comparison counts the back ends compared for one choice.
type comparison struct {
	// eligible may be used; limited of them have a limit. limitSkips could be used if their
	// limits were not used up.
	eligible, limited, limitSkips int
	// skips counts those that are draining or backing off.
	skips skipCounts
	// fasterSkip is why a cheaper back end was skipped, if one was.
	fasterSkip SkipReason
}

// cheapest returns the back end of the lowest cost, or nil, and the counts of those compared.
// SpreadKey breaks ties, which spreads work and lets routers agree on the replacement of a
// home.
func (r *Registry) cheapest(now time.Time, query *Query, home *state, allowed []*state) (best *state, counts comparison) {
	bestCost := math.Inf(1)
	var bestScore uint64
	staleCost, bound := r.staleCost(now, query), r.roomBoundOf(now, query)
	for _, candidate := range allowed {
		eligible := candidate.eligible(now, query)
		if eligible && !r.roomLeft(now, candidate, bound, query.Routers) {
			eligible = false
			r.overloadOf(query.Service).deny(now)
		}
		if !eligible {
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

// idleDivisor divides the expected time of a request without a model to get its time at an idle
// back end. The expected time is a rough guess: applications answer in a third to nine tenths of
// it, and one that takes three times as long as before must still count as late.
const idleDivisor = 8

// predictUncached returns the expected time to the first byte at an idle back end with nothing
// of the prompt cached.
func (r *Registry) predictUncached(query *Query) time.Duration {
	if query.Model == "" {
		return query.Expected / idleDivisor
	}
	return r.prefillRate(query.Service).estimate(query.SharedTokens + query.OwnTokens)
}

// queued returns how long the prompts of this router's other attempts keep an engine busy; 0
// for back ends that run no model.
func (r *Registry) queued(candidate *state, query *Query) time.Duration {
	if query.Model == "" {
		return 0
	}
	return r.prefillRate(query.Service).estimate(candidate.waitingTokens())
}

// prefillRate returns the estimated prefill rate of a service's engines.
func (r *Registry) prefillRate(service ident.Service) *prefillRate {
	rate := r.prefillRates[service]
	if rate == nil {
		fresh := newPrefillRate(r.config.PrefillPerToken)
		rate = &fresh
		r.prefillRates[service] = rate
	}
	return rate
}

// recentLateness returns how much later than predicted recent answers of a back end came.
func (r *Registry) recentLateness(now time.Time, known *state) time.Duration {
	if !r.config.Disabled.Enabled(mechanism.LatenessAllowance) {
		return 0
	}
	return known.latenessAt(now)
}

// congestion returns the mean lateness of a service's recent answers, in units of
// fullCongestionLateness. It is the mean over answers, not back ends: a router of a large fleet
// has no recent answer from most of them.
func (r *Registry) congestion(now time.Time, service ident.Service) float64 {
	return r.lateness(service).at(now).Seconds() / fullCongestionLateness.Seconds()
}

// lateness returns the lateness of a service's recent answers.
func (r *Registry) lateness(service ident.Service) *serviceLateness {
	known := r.serviceLateness[service]
	if known == nil {
		known = &serviceLateness{}
		r.serviceLateness[service] = known
	}
	return known
}

// cost returns the expected time in seconds, plus penalties for the risks of the back end.
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
	// The 2 damps the failure rate of a back end with few attempts.
	cost += candidate.failed / (candidate.tried + 2) * failurePenalty.Seconds()
	silentAfter := r.config.SilentAfter + silenceLatenessFactor*r.recentLateness(now, candidate)
	if candidate.peerSilent(now) || candidate.silence(now) > silentAfter {
		cost += failurePenalty.Seconds()
	}
	return cost
}
