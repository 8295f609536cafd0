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

// noEngineRetryAfter is the Retry-After time when no permitted engine is alive:
// a crashed engine restarts, or is replaced in the fleet file, within seconds.
const noEngineRetryAfter = 2 * time.Second

// decide asks the scheduler for a decision on one waiting job.
func (c *Core) decide(now time.Time, job *Job) admission.Result {
	c.snapshot.Now = now
	c.snapshot.Endpoints = c.registry.Endpoints(now)
	c.snapshot.Generation = c.registry.Generation()
	c.snapshot.Credits = c.config.Beliefs.At(now)
	c.snapshot.Hop = c.config.Hop
	job.Request.Waited = now.Sub(job.offered)
	decision := c.config.Scheduler.Schedule(&job.Request, &c.snapshot)
	if decision.Action == framework.Hold && c.mayBypassReserve(now, job) {
		decision = c.bypassReserve(now, job)
	}
	switch decision.Action {
	case framework.Dispatch:
		c.place(now, job, decision)
		return admission.Result{Action: admission.Dispatched}
	case framework.Hold:
		c.Counters.Held++
		return admission.Result{Action: c.holdAction(job, decision.Reason)}
	default:
		if c.registry.AwaitingReports(job.Request.Zones) {
			c.Counters.Held++
			return admission.Result{Action: admission.ItemBlocked}
		}
		return admission.Result{Action: admission.Rejected, Fault: fault.New(fault.NoPermittedEngine,
			"no engine can serve service %q (filter %s)", job.Request.Service, decision.Reason).
			WithRetryAfter(noEngineRetryAfter)}
	}
}

// reserveBypassInterval is the time between two requests of one priority that may
// use the reserve of more urgent ones. It bounds starvation by the reserve.
const reserveBypassInterval = time.Second

func (c *Core) mayBypassReserve(now time.Time, job *Job) bool {
	return job.Request.Priority > 0 && now.Sub(c.lastBypass[job.Request.Priority]) >= reserveBypassInterval
}

// bypassReserve decides again on a held job, now with the use of the reserve.
func (c *Core) bypassReserve(now time.Time, job *Job) framework.Decision {
	job.Request.BypassReserve = true
	decision := c.config.Scheduler.Schedule(&job.Request, &c.snapshot)
	job.Request.BypassReserve = false
	if decision.Action == framework.Dispatch {
		c.lastBypass[job.Request.Priority] = now
	}
	return decision
}

// holdAction returns whether a held job blocks its whole pool. A job that
// excludes engines, or waits for the engines that hold its prefix, blocks only
// itself.
func (c *Core) holdAction(job *Job, reason string) admission.Action {
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
	c.inFlight[job.Key] = &attempt{
		job: job, engine: copied.Engine, address: copied.Address, incarnation: copied.Incarnation,
		version: chosen.Version, credit: chosen.CreditTokens,
	}
	uncached := max(0, job.Request.PromptTokens-int(chosen.CreditTokens))
	c.registry.Sent(now, copied.Engine, job.Key, uncached)
	c.registry.MarkCandidate(now, copied.Engine)
	c.config.Beliefs.RecordDispatch(now, copied.Engine, copied.Incarnation, job.Request.Chains[chosen.Version])
	if limiter := c.limiter(copied.Engine); limiter != nil {
		limiter.Started(now)
	}
	c.Counters.Placed++
	c.effects.Placed = append(c.effects.Placed, Placed{
		Job: job, Candidate: chosen,
		MoveFrom: decision.MoveFrom, MoveFromIncarnation: c.registry.Incarnation(decision.MoveFrom),
	})
}

// RecordStart records that an engine accepted an attempt and counted its tokens.
func (c *Core) RecordStart(now time.Time, key endpoint.AttemptKey, incarnation ident.Incarnation, usage protocol.Usage) {
	current := c.inFlight[key]
	if current == nil || current.incarnation != incarnation {
		return
	}
	request := &current.job.Request
	chain := request.Chains[current.version]
	if request.BlockTokens > 0 {
		held := usage.CachedTokens / request.BlockTokens
		c.config.Beliefs.RecordAnswer(now, current.engine, incarnation, chain, held)
		if c.directory != nil {
			c.directory.RecordAnswer(now, current.engine, incarnation, chain, held)
		}
	}
	c.count(current, usage)
}

// count compares the tokens believed cached with those that the engine found.
func (c *Core) count(current *attempt, usage protocol.Usage) {
	c.Counters.PromptTokens += uint64(usage.PromptTokens)
	c.Counters.CachedTokens += uint64(usage.CachedTokens)
	c.Counters.CreditedTokens += uint64(current.credit)
	tolerance := float64(current.job.Request.BlockTokens)
	switch difference := current.credit - float64(usage.CachedTokens); {
	case difference > tolerance:
		c.Counters.BeliefHigh++
	case difference < -tolerance:
		c.Counters.BeliefLow++
	default:
		c.Counters.BeliefRight++
	}
}

// RecordFirstToken records that an engine has prefilled an attempt's prompt, and
// so everything queued before it.
func (c *Core) RecordFirstToken(now time.Time, key endpoint.AttemptKey) {
	if current := c.inFlight[key]; current != nil {
		c.registry.FirstToken(now, current.engine, key)
	}
}

// Result is the outcome of an attempt for the registry and the limiters.
type Result struct {
	// Incarnation is the one that answered or refused, or empty.
	Incarnation ident.Incarnation
	// Refusal is set if the engine refused before execution.
	Refusal protocol.RefusalKind
	// Unreachable is true if no byte of the attempt was sent.
	Unreachable bool
	// Broken is true if the attempt failed after it was sent.
	Broken bool
	// TimeToFirstToken is zero if no token arrived.
	TimeToFirstToken time.Duration
	// Duration is the time that the attempt occupied the engine.
	Duration time.Duration
}

// RecordEnd records the end of an attempt. The zero Result means that the
// placement was not used.
func (c *Core) RecordEnd(now time.Time, key endpoint.AttemptKey, result Result) Effects {
	current := c.inFlight[key]
	if current == nil {
		return c.dispatchWaiting(now)
	}
	delete(c.inFlight, key)
	if !c.registry.HasAddress(current.engine, current.address) {
		return c.dispatchWaiting(now)
	}
	c.registry.Ended(now, current.engine, key)
	c.applyChanges(c.registry.ObserveIncarnation(current.engine, result.Incarnation))
	if limiter := c.limiters[current.engine]; limiter != nil {
		limiter.Finished(now, sampleOf(result))
	}
	if result.Unreachable || result.Refusal != "" || result == (Result{}) {
		chain := current.job.Request.Chains[current.version]
		c.config.Beliefs.RecordRefusal(current.engine, current.incarnation, chain)
	}
	switch {
	case result.Unreachable:
		c.applyChanges(c.registry.ObserveUnreachable(current.engine))
	case result.Refusal == protocol.RefusalDraining:
		c.applyChanges(c.registry.ObserveDraining(now, current.engine, result.Incarnation))
	}
	return c.dispatchWaiting(now)
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

// setLimits copies the current limits to the registry.
func (c *Core) setLimits(now time.Time) {
	for engine, limiter := range c.limiters {
		c.registry.SetLimit(engine, limiter.Limit(now))
	}
}

// poolKey identifies the engines that may serve the request. It includes the
// priority: a job held by the reserve must not block more urgent ones.
func poolKey(request *framework.Request) admission.PoolKey {
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

// AttemptKeyOf returns the key of an attempt.
func AttemptKeyOf(request ident.Request, attempt ident.Attempt) endpoint.AttemptKey {
	return endpoint.AttemptKey{Request: request, Attempt: attempt}
}

// sampleOf returns the limiter's sample of an attempt's result.
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
