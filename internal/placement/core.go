// Package placement decides where and when each model request of one router
// runs. It combines the admission queue, the endpoint registry, the beliefs
// about caches, the scheduler and the concurrency limits.
//
// Core is a state machine without I/O. Its inputs are requests, ends of
// attempts, load reports, cache events and a time; its outputs are Effects.
// Runner runs a Core in one goroutine. The virtual-time experiment drives the
// same Core.
package placement

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Config sets the components of a core.
type Config struct {
	// Scheduler chooses an engine for each request.
	Scheduler framework.Scheduler
	// Beliefs holds the beliefs about caches.
	Beliefs *beliefs.Store
	// Directory is this router's part of the directory of cached prefixes. It
	// is used while the fleet has more than SmallFleet engines; in a smaller one
	// every router reads every engine's events itself. Nil means never.
	Directory *directory.Node
	// SmallFleet is the number of engines up to which Directory is not used.
	SmallFleet int
	// Queue bounds and orders waiting requests.
	Queue *admission.Queue
	// NewLimiter returns the concurrency limiter of one engine; nil means none.
	NewLimiter func() admission.Limiter
	// Hop returns the one-way network time to a zone.
	Hop func(zone ident.Zone) time.Duration
}

// Job is one attempt to be placed on an engine.
type Job struct {
	// Key identifies the request and the attempt.
	Key endpoint.AttemptKey
	// Request is the scheduler's input.
	Request framework.Request
	// Weight is the tenant's fair share.
	Weight float64
	// MaxHold is the longest the job may wait.
	MaxHold time.Duration
	// offered is when the core received the job.
	offered time.Time
}

// Placed is a job with its engine.
type Placed struct {
	Job *Job
	// Candidate is the chosen engine with its predictions; its Endpoint is a copy.
	Candidate framework.Candidate
	// MoveFrom is an engine to export the prefix from first, or empty.
	MoveFrom ident.Engine
	// MoveFromIncarnation is the incarnation of MoveFrom believed to hold it.
	MoveFromIncarnation ident.Incarnation
}

// Refused is a job that was rejected and did not run.
type Refused struct {
	Key   endpoint.AttemptKey
	Fault *fault.Fault
}

// Effects are the outputs of one input.
type Effects struct {
	Placed  []Placed
	Refused []Refused
	Changes []endpoint.Change
	// Messages go to the directories of other routers.
	Messages []directory.Envelope
}

// attempt is one attempt on an engine.
type attempt struct {
	job         *Job
	engine      ident.Engine
	address     string
	incarnation ident.Incarnation
	version     ident.ModelVersion
	// credit is the number of prompt tokens believed cached at dispatch.
	credit float64
}

// Core is the state machine. Only one goroutine may use it.
type Core struct {
	config   Config
	registry *endpoint.Registry
	limiters map[ident.Engine]admission.Limiter
	waiting  map[ident.Request]*Job
	inFlight map[endpoint.AttemptKey]*attempt
	// parked holds the jobs that wait for the directory, oldest first.
	parked          []parkedJob
	directoryTicked time.Time
	// directory is Config.Directory while it is used, else nil.
	directory *directory.Node
	// lastBypass is when a request last bypassed the reserve, by priority.
	lastBypass map[int]time.Time
	snapshot   framework.Snapshot
	effects    Effects
	// Counters may be read by the goroutine of the core only.
	Counters Counters
}

// Counters counts the core's decisions and compares beliefs with results.
type Counters struct {
	// Placed, Refused and Held count decisions.
	Placed, Refused, Held uint64
	// Parked counts jobs that waited for the directory.
	Parked uint64
	// PromptTokens, CreditedTokens and CachedTokens are the prompt tokens of
	// answered attempts: all, those believed cached, and those found cached.
	PromptTokens, CreditedTokens, CachedTokens uint64
	// BeliefHigh counts answers with fewer cached tokens than believed, by
	// more than one block; BeliefLow those with more; BeliefRight the others.
	BeliefHigh, BeliefLow, BeliefRight uint64
}

// New returns a core without engines.
func New(config Config) *Core {
	return &Core{
		config:     config,
		registry:   endpoint.NewRegistry(),
		limiters:   make(map[ident.Engine]admission.Limiter),
		waiting:    make(map[ident.Request]*Job),
		inFlight:   make(map[endpoint.AttemptKey]*attempt),
		lastBypass: make(map[int]time.Time),
	}
}

// Registry returns the endpoint registry, for reading and for its polling schedule.
func (c *Core) Registry() *endpoint.Registry { return c.registry }

// Waiting returns the number of jobs not placed yet.
func (c *Core) Waiting() int { return len(c.waiting) }

// InFlight returns the number of attempts placed on an engine.
func (c *Core) InFlight() int { return len(c.inFlight) }

// Configure applies the engines of a fleet file.
func (c *Core) Configure(now time.Time, targets []endpoint.Target) Effects {
	c.directory = nil
	if len(targets) > c.config.SmallFleet {
		c.directory = c.config.Directory
	}
	c.applyChanges(c.registry.Configure(targets))
	return c.dispatchWaiting(now)
}

// Offer receives a job, which is placed, held or refused.
func (c *Core) Offer(now time.Time, job *Job) Effects {
	job.offered = now
	c.waiting[job.Request.ID] = job
	if c.directory != nil && c.lookUp(now, job) {
		c.park(now, job)
	} else {
		c.enqueue(now, job)
	}
	return c.dispatchWaiting(now)
}

// enqueue offers a job to the queue, unless it was withdrawn.
func (c *Core) enqueue(now time.Time, job *Job) {
	if c.waiting[job.Request.ID] != job {
		return
	}
	c.reject(c.config.Queue.Offer(now, admission.Item{
		ID:       job.Request.ID,
		Tenant:   job.Request.Tenant,
		Priority: job.Request.Priority,
		Weight:   job.Weight,
		Cost:     float64(job.Request.PromptTokens),
		Pool:     poolKey(&job.Request),
		MaxHold:  job.MaxHold,
	}))
}

// Withdraw removes a waiting job whose caller is gone.
func (c *Core) Withdraw(now time.Time, id ident.Request) {
	if c.waiting[id] != nil {
		c.config.Queue.Remove(now, id)
		delete(c.waiting, id)
	}
}

// Tick refuses jobs that waited for their MaxHold and places those that can be.
func (c *Core) Tick(now time.Time) Effects { return c.dispatchWaiting(now) }

// NextTick returns when Tick is due, if ever. The zero time means at once: the
// last pass over the queue was cut short to bound its cost.
func (c *Core) NextTick() (time.Time, bool) {
	if c.config.Queue.Unfinished() {
		return time.Time{}, true
	}
	expiry, waits := c.config.Queue.NextExpiry()
	if unpark, parked := c.nextUnpark(); parked && (!waits || unpark.Before(expiry)) {
		return unpark, true
	}
	return expiry, waits
}

// ObserveReport applies a load report.
func (c *Core) ObserveReport(now time.Time, engine ident.Engine, report protocol.LoadReport) Effects {
	c.applyChanges(c.registry.ObserveReport(now, engine, report))
	return c.dispatchWaiting(now)
}

// ObserveReportFailure records that a load report could not be read.
func (c *Core) ObserveReportFailure(now time.Time, engine ident.Engine) Effects {
	c.applyChanges(c.registry.ObserveReportFailure(engine))
	return c.dispatchWaiting(now)
}

// ObserveDraining records that an incarnation is draining.
func (c *Core) ObserveDraining(now time.Time, engine ident.Engine, incarnation ident.Incarnation) Effects {
	c.applyChanges(c.registry.ObserveDraining(now, engine, incarnation))
	return c.dispatchWaiting(now)
}

// ApplyMachineList applies a machine list: for each engine, whether its machine is draining.
func (c *Core) ApplyMachineList(now time.Time, draining map[ident.Engine]bool) Effects {
	c.applyChanges(c.registry.ApplyMachineList(now, draining))
	return c.dispatchWaiting(now)
}

// ApplyCacheEvents applies a batch of cache events.
func (c *Core) ApplyCacheEvents(now time.Time, engine ident.Engine, batch protocol.CacheEventBatch) {
	c.observeEventIncarnation(engine, batch.Incarnation)
	c.config.Beliefs.ApplyEvents(now, engine, batch)
	if c.directory != nil {
		c.effects.Messages = append(c.effects.Messages, c.directory.ApplyEvents(now, engine, batch)...)
	}
}

// ApplyCacheSnapshot applies the whole state of an engine's cache.
func (c *Core) ApplyCacheSnapshot(now time.Time, engine ident.Engine, snapshot protocol.CacheSnapshot) {
	c.observeEventIncarnation(engine, snapshot.Incarnation)
	c.config.Beliefs.ApplySnapshot(now, engine, snapshot)
}

// observeEventIncarnation records the incarnation of cache events or of a
// snapshot if none is known. These arrive late, so they must neither revive a
// dead engine nor replace an incarnation.
func (c *Core) observeEventIncarnation(engine ident.Engine, incarnation ident.Incarnation) {
	if c.registry.Incarnation(engine) == "" {
		c.applyChanges(c.registry.ObserveIncarnation(engine, incarnation))
	}
}

// SnapshotDue reports, at most once in an interval, whether to read a snapshot now.
func (c *Core) SnapshotDue(now time.Time, engine ident.Engine) bool {
	return c.config.Beliefs.SnapshotDue(now, engine)
}

// applyChanges applies changes of the registry and adds them to the effects.
func (c *Core) applyChanges(changes []endpoint.Change) {
	for _, change := range changes {
		c.notifyDirectory(change)
		switch change.Kind {
		case endpoint.ChangeIncarnation, endpoint.ChangeRevived:
			c.config.Beliefs.SetIncarnation(change.Engine, change.Incarnation)
			delete(c.limiters, change.Engine)
		case endpoint.ChangeDead:
			c.config.Beliefs.RecordDeath(change.Engine)
		case endpoint.ChangeRemoved:
			c.config.Beliefs.Remove(change.Engine)
			delete(c.limiters, change.Engine)
		case endpoint.ChangeLoaded:
			c.config.Beliefs.RecordWeightsChange(change.Engine)
		case endpoint.ChangeDraining:
			// A draining engine keeps its cache and gets no new work.
		}
	}
	c.effects.Changes = append(c.effects.Changes, changes...)
}

// dispatchWaiting refuses and places waiting jobs and returns the effects so far.
func (c *Core) dispatchWaiting(now time.Time) Effects {
	c.tickDirectory(now)
	c.reject(c.config.Queue.Expire(now))
	if len(c.waiting) > 0 {
		c.setLimits(now)
		c.reject(c.config.Queue.Pump(now, func(item *admission.Item) admission.Result {
			return c.decide(now, c.waiting[item.ID])
		}))
	}
	effects := c.effects
	c.effects = Effects{}
	return effects
}

func (c *Core) reject(rejected []admission.Refused) {
	for _, rejection := range rejected {
		job := c.waiting[rejection.Item.ID]
		delete(c.waiting, rejection.Item.ID)
		c.Counters.Refused++
		c.effects.Refused = append(c.effects.Refused, Refused{Key: job.Key, Fault: rejection.Fault})
	}
}
