package placement

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// noEngineRetryAfter is told to callers when no permitted engine is alive: an
// engine that crashed is back, or replaced in the fleet file, within seconds.
const noEngineRetryAfter = 2 * time.Second

// decide asks the scheduler about one waiting job.
func (c *Core) decide(now time.Time, job *Job) admission.Result {
	c.snapshot.Now = now
	c.snapshot.Endpoints = c.registry.Endpoints(now)
	c.snapshot.Generation = c.registry.Generation()
	c.snapshot.Credits = c.config.Beliefs.At(now)
	c.snapshot.Hop = c.config.Hop
	job.Request.Waited = now.Sub(job.offered)
	decision := c.config.Scheduler.Schedule(&job.Request, &c.snapshot)
	if decision.Action == framework.Hold && c.mayPassReserve(now, job) {
		decision = c.passReserve(now, job)
	}
	switch decision.Action {
	case framework.Dispatch:
		c.place(now, job, decision)
		return admission.Result{Action: admission.Dispatched}
	case framework.Hold:
		c.Counters.Held++
		return admission.Result{Action: c.heldAction(job, decision.Reason)}
	default:
		if c.registry.AwaitingReports(job.Request.Zones) {
			c.Counters.Held++
			return admission.Result{Action: admission.ItemBlocked}
		}
		return admission.Result{Action: admission.Rejected, Fault: fault.New(fault.NoPermittedEngine,
			"no engine is left for service %q (filter %s)", job.Request.Service, decision.Reason).
			WithRetryAfter(noEngineRetryAfter)}
	}
}

// reservePause is the time between two requests of one priority that this
// router lets use what is kept for more urgent ones. It is the bound on
// starvation by the reserve: a class gets at least one place in it.
const reservePause = time.Second

func (c *Core) mayPassReserve(now time.Time, job *Job) bool {
	return job.Request.Priority > 0 && now.Sub(c.passed[job.Request.Priority]) >= reservePause
}

// passReserve decides again about a held job, without the reserve.
func (c *Core) passReserve(now time.Time, job *Job) framework.Decision {
	job.Request.BypassReserve = true
	decision := c.config.Scheduler.Schedule(&job.Request, &c.snapshot)
	job.Request.BypassReserve = false
	if decision.Action == framework.Dispatch {
		c.passed[job.Request.Priority] = now
	}
	return decision
}

// heldAction says how much of the queue a held job speaks for. A job that has
// excluded engines of its own, or that waits for the engines that hold its
// prefix, does not speak for its pool.
func (c *Core) heldAction(job *Job, reason string) admission.Action {
	if len(job.Request.Excluded) > 0 || reason == framework.ReasonHome {
		return admission.ItemBlocked
	}
	return admission.PoolBlocked
}

func (c *Core) place(now time.Time, job *Job, decision framework.Decision) {
	chosen := decision.Chosen
	copied := *chosen.Endpoint
	chosen.Endpoint = &copied
	delete(c.waiting, job.Request.ID)
	c.flights[job.Key] = &flight{
		job: job, engine: copied.Engine, address: copied.Address, incarnation: copied.Incarnation,
		version: chosen.Version, credit: chosen.CreditTokens,
	}
	uncached := max(0, job.Request.PromptTokens-int(chosen.CreditTokens))
	c.registry.Sent(now, copied.Engine, job.Key, uncached)
	c.registry.MarkCandidate(now, copied.Engine)
	c.config.Beliefs.Dispatched(now, copied.Engine, copied.Incarnation, job.Request.Chains[chosen.Version])
	if limiter := c.limiter(copied.Engine); limiter != nil {
		limiter.Started(now)
	}
	c.Counters.Placed++
	c.effects.Placed = append(c.effects.Placed, Placed{
		Job: job, Candidate: chosen,
		MoveFrom: decision.MoveFrom, MoveFromIncarnation: c.registry.Incarnation(decision.MoveFrom),
	})
}

// Started takes in that an engine accepted an attempt and counted its tokens.
func (c *Core) Started(now time.Time, key endpoint.AttemptKey, incarnation ident.Incarnation, usage protocol.Usage) {
	flight := c.flights[key]
	if flight == nil || flight.incarnation != incarnation {
		return
	}
	request := &flight.job.Request
	chain := request.Chains[flight.version]
	if request.BlockTokens > 0 {
		held := usage.CachedTokens / request.BlockTokens
		c.config.Beliefs.Answered(now, flight.engine, incarnation, chain, held)
		if c.directory != nil {
			c.directory.Observed(now, flight.engine, incarnation, chain, held)
		}
	}
	c.count(flight, usage)
}

// count compares what was believed cached with what the engine found.
func (c *Core) count(flight *flight, usage protocol.Usage) {
	c.Counters.PromptTokens += uint64(usage.PromptTokens)
	c.Counters.CachedTokens += uint64(usage.CachedTokens)
	c.Counters.CreditedTokens += uint64(flight.credit)
	tolerance := float64(flight.job.Request.BlockTokens)
	switch difference := flight.credit - float64(usage.CachedTokens); {
	case difference > tolerance:
		c.Counters.BeliefHigh++
	case difference < -tolerance:
		c.Counters.BeliefLow++
	default:
		c.Counters.BeliefRight++
	}
}

// FirstToken takes in that an engine has prefilled an attempt's prompt: it
// proves that all the engine had to prefill before is done as well.
func (c *Core) FirstToken(now time.Time, key endpoint.AttemptKey) {
	if flight := c.flights[key]; flight != nil {
		c.registry.FirstToken(now, flight.engine, key)
	}
}

// Result is how an attempt ended, as the registry and the limits see it.
type Result struct {
	// Incarnation is the one that answered or refused; empty if none did.
	Incarnation ident.Incarnation
	// Refusal is set if the engine refused before execution.
	Refusal protocol.RefusalKind
	// Unreachable is true if no byte of the attempt left.
	Unreachable bool
	// Broken is true if the attempt broke after it left.
	Broken bool
	// TimeToFirstToken is zero if no token came.
	TimeToFirstToken time.Duration
	// Duration is the time the attempt held the engine.
	Duration time.Duration
}

// Ended takes in the end of an attempt. The zero Result is a place that was
// handed back unused.
func (c *Core) Ended(now time.Time, key endpoint.AttemptKey, result Result) Effects {
	flight := c.flights[key]
	if flight == nil {
		return c.pump(now)
	}
	delete(c.flights, key)
	if !c.registry.HasAddress(flight.engine, flight.address) {
		return c.pump(now)
	}
	c.registry.Ended(now, flight.engine, key)
	c.changed(c.registry.ObserveIncarnation(flight.engine, result.Incarnation))
	if limiter := c.limiters[flight.engine]; limiter != nil {
		limiter.Finished(now, sampleOf(result))
	}
	if result.Unreachable || result.Refusal != "" || result == (Result{}) {
		chain := flight.job.Request.Chains[flight.version]
		c.config.Beliefs.Refused(flight.engine, flight.incarnation, chain)
	}
	switch {
	case result.Unreachable:
		c.changed(c.registry.ObserveUnreachable(flight.engine))
	case result.Refusal == protocol.RefusalDraining:
		c.changed(c.registry.ObserveDraining(now, flight.engine, result.Incarnation))
	}
	return c.pump(now)
}

func (c *Core) limiter(engine ident.Engine) admission.Limiter {
	if c.config.NewLimiter == nil {
		return nil
	}
	if c.limiters[engine] == nil {
		c.limiters[engine] = c.config.NewLimiter()
	}
	return c.limiters[engine]
}

// setLimits hands the current limits to the registry.
func (c *Core) setLimits(now time.Time) {
	for engine, limiter := range c.limiters {
		c.registry.SetLimit(engine, limiter.Limit(now))
	}
}

// poolOf names the set of engines that may serve the request, and how much of
// them it may fill: what is held for one class may go for another.
func poolOf(request *framework.Request) admission.PoolKey {
	zones := make([]string, 0, len(request.Zones))
	for zone := range request.Zones {
		zones = append(zones, string(zone))
	}
	slices.Sort(zones)
	digest := fnv.New64a()
	for _, part := range zones {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	return admission.PoolKey(string(request.Service) + "/" + strconv.FormatUint(digest.Sum64(), 36) +
		"/" + strconv.Itoa(request.Priority))
}

// AttemptKeyOf builds the key of an attempt.
func AttemptKeyOf(request ident.Request, attempt ident.Attempt) endpoint.AttemptKey {
	return endpoint.AttemptKey{Request: request, Attempt: attempt}
}

// sampleOf says what the end of an attempt tells about the engine's load.
func sampleOf(result Result) admission.Sample {
	sample := admission.Sample{TimeToFirstToken: result.TimeToFirstToken, ServiceTime: result.Duration}
	switch {
	case result.Refusal == protocol.RefusalFull:
		sample.Outcome = admission.SampleRefused
	case result.Refusal != "" || result.Unreachable || result.Broken || result.TimeToFirstToken == 0:
		sample.Outcome = admission.SampleIgnored
	}
	return sample
}
