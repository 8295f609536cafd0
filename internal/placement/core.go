// Package placement decides where and when each model request of one router
// runs. It joins the pure parts: the admission queue, the endpoint registry,
// the beliefs about caches, the scheduler and the concurrency limits.
//
// Core is a state machine without I/O. Its inputs are requests, ends of
// attempts, load reports, cache events and a time; its outputs are Effects.
// Runner is the shell that runs a Core in one goroutine. The virtual-time
// experiment drives the same Core.
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

// Config sets the fixed parts of a core.
type Config struct {
	// Scheduler decides about each request.
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

// Job is one attempt that wants a place.
type Job struct {
	// Key names the request and the attempt.
	Key endpoint.AttemptKey
	// Request is what the scheduler needs to know.
	Request framework.Request
	// Weight is the tenant's share.
	Weight float64
	// MaxHold is the longest the job may wait.
	MaxHold time.Duration
	// offered is when the core took the job in.
	offered time.Time
}

// Placed is a job that was given a place.
type Placed struct {
	Job *Job
	// Candidate is the chosen engine with what was predicted; its Endpoint is a copy.
	Candidate framework.Candidate
	// MoveFrom names an engine to export the prefix from first, or is empty.
	MoveFrom ident.Engine
	// MoveFromIncarnation is the life of MoveFrom that is believed to hold it.
	MoveFromIncarnation ident.Incarnation
}

// Refused is a job that was given up, not run.
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

// Core is the state machine. It is used by one goroutine.
type Core struct {
	config   Config
	registry *endpoint.Registry
	limiters map[ident.Engine]admission.Limiter
	waiting  map[ident.Request]*Job
	inFlight map[endpoint.AttemptKey]*attempt
	// parked holds jobs that wait for the directory, in order of time.
	parked          []parkedJob
	directoryTicked time.Time
	// directory is Config.Directory while it is used, else nil.
	directory *directory.Node
	// reservePassed tells by priority when a request last passed the reserve.
	reservePassed map[int]time.Time
	snapshot      framework.Snapshot
	effects       Effects
	// Counters counts decisions; read it from the goroutine of the core.
	Counters Counters
}

// Counters counts what the core decided and how beliefs turned out.
type Counters struct {
	// Placed, Refused and Held count decisions.
	Placed, Refused, Held uint64
	// Parked counts jobs that waited for the directory.
	Parked uint64
	// PromptTokens, CreditedTokens and CachedTokens add up what answered
	// attempts asked for, were believed to find cached, and found.
	PromptTokens, CreditedTokens, CachedTokens uint64
	// BeliefHigh counts answers that found fewer cached tokens than believed,
	// by more than one block; BeliefLow those that found more; BeliefRight the
	// others.
	BeliefHigh, BeliefLow, BeliefRight uint64
}

// New returns a core that knows no engine.
func New(config Config) *Core {
	return &Core{
		config:        config,
		registry:      endpoint.NewRegistry(),
		limiters:      make(map[ident.Engine]admission.Limiter),
		waiting:       make(map[ident.Request]*Job),
		inFlight:      make(map[endpoint.AttemptKey]*attempt),
		reservePassed: make(map[int]time.Time),
	}
}

// Registry returns the endpoint registry, for reading and for its schedule.
func (c *Core) Registry() *endpoint.Registry { return c.registry }

// Waiting returns the number of jobs that wait for a place.
func (c *Core) Waiting() int { return len(c.waiting) }

// InFlight returns the number of attempts that have a place.
func (c *Core) InFlight() int { return len(c.inFlight) }

// Configure takes over the engines of a fleet file.
func (c *Core) Configure(now time.Time, targets []endpoint.Target) Effects {
	c.directory = nil
	if len(targets) > c.config.SmallFleet {
		c.directory = c.config.Directory
	}
	c.applyChanges(c.registry.Configure(targets))
	return c.dispatchWaiting(now)
}

// Offer takes in a job. It is placed, held or refused.
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

// enqueue hands a job to the queue, unless its caller has left meanwhile.
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

// Withdraw takes in that the caller of a waiting job is gone.
func (c *Core) Withdraw(now time.Time, id ident.Request) {
	if c.waiting[id] != nil {
		c.config.Queue.Remove(now, id)
		delete(c.waiting, id)
	}
}

// Tick gives up jobs whose hold is over and places what can be placed.
func (c *Core) Tick(now time.Time) Effects { return c.dispatchWaiting(now) }

// NextTick returns when Tick has something to do, if ever. The zero time means
// at once: the last look through the queue was cut short to bound its cost.
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

// ObserveReport takes in a load report.
func (c *Core) ObserveReport(now time.Time, engine ident.Engine, report protocol.LoadReport) Effects {
	c.applyChanges(c.registry.ObserveReport(now, engine, report))
	return c.dispatchWaiting(now)
}

// ObserveReportFailure takes in that a load report could not be read.
func (c *Core) ObserveReportFailure(now time.Time, engine ident.Engine) Effects {
	c.applyChanges(c.registry.ObserveReportFailure(engine))
	return c.dispatchWaiting(now)
}

// ObserveDraining takes in a sign that an engine is leaving.
func (c *Core) ObserveDraining(now time.Time, engine ident.Engine, incarnation ident.Incarnation) Effects {
	c.applyChanges(c.registry.ObserveDraining(now, engine, incarnation))
	return c.dispatchWaiting(now)
}

// ApplyMachineList takes in a machine list: for each engine, whether its machine leaves.
func (c *Core) ApplyMachineList(now time.Time, draining map[ident.Engine]bool) Effects {
	c.applyChanges(c.registry.ApplyMachineList(now, draining))
	return c.dispatchWaiting(now)
}

// ApplyCacheEvents takes in a batch of cache events.
func (c *Core) ApplyCacheEvents(now time.Time, engine ident.Engine, batch protocol.CacheEventBatch) {
	c.observeEventIncarnation(engine, batch.Incarnation)
	c.config.Beliefs.ApplyEvents(now, engine, batch)
	if c.directory != nil {
		c.effects.Messages = append(c.effects.Messages, c.directory.ApplyEvents(now, engine, batch)...)
	}
}

// ApplyCacheSnapshot takes in the whole state of an engine's cache.
func (c *Core) ApplyCacheSnapshot(now time.Time, engine ident.Engine, snapshot protocol.CacheSnapshot) {
	c.observeEventIncarnation(engine, snapshot.Incarnation)
	c.config.Beliefs.ApplySnapshot(now, engine, snapshot)
}

// observeEventIncarnation takes in the incarnation of cache events or of a snapshot. They come
// late: they may tell the first life of an engine that has not reported yet,
// but never that a dead engine lives or that a life has been replaced.
func (c *Core) observeEventIncarnation(engine ident.Engine, incarnation ident.Incarnation) {
	if c.registry.Incarnation(engine) == "" {
		c.applyChanges(c.registry.ObserveIncarnation(engine, incarnation))
	}
}

// SnapshotDue reports whether a snapshot of the engine is to be read now.
func (c *Core) SnapshotDue(now time.Time, engine ident.Engine) bool {
	return c.config.Beliefs.SnapshotDue(now, engine)
}

// applyChanges acts on changes of the registry and reports them.
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
			// A leaving engine keeps its cache and gets no new work.
		}
	}
	c.effects.Changes = append(c.effects.Changes, changes...)
}

// dispatchWaiting gives up and places waiting jobs, and hands out the effects.
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
