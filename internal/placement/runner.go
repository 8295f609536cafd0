package placement

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/ring"
)

// RunnerConfig sets a Runner.
type RunnerConfig struct {
	// MaxOpen bounds the jobs that wait or run at one time.
	MaxOpen int
	// PollInterval is the time between two load reports of an engine in use.
	PollInterval time.Duration
	// PollsPerTick bounds the load reports requested in one PollTick.
	PollsPerTick int
	// PollTick is the time between two checks for due reports.
	PollTick time.Duration
	// OnChange is called, in the runner's goroutine, for every change of an
	// engine's state. It must not block.
	OnChange func(endpoint.Change)
	// OnSnapshotDue is called, in the runner's goroutine, when a cache snapshot
	// of an engine must be read. It must not block.
	OnSnapshotDue func(ident.Engine)
	// OnMessage is called, in the runner's goroutine, for every message to
	// another router's directory. It must not block.
	OnMessage func(directory.Envelope)
}

// overloadedRetryAfter is the Retry-After time when the command ring is full.
const overloadedRetryAfter = time.Second

// command is one input of the core; it runs in the runner's goroutine.
type command func(now time.Time) Effects

// Runner runs a Core in one goroutine. Inputs that must not be lost (jobs, ends
// of attempts) and inputs that later ones replace (cache events) have separate
// bounded rings.
type Runner struct {
	config RunnerConfig
	core   *Core
	poller *endpoint.Poller
	// targets is the newest fleet file's list until it is applied. It is not in
	// a ring, because it must not be lost when the rings are full.
	targets     atomic.Pointer[[]endpoint.Target]
	commands    *ring.Ring[command]
	replaceable *ring.Ring[command]
	// replies is used by the runner's goroutine only.
	replies map[endpoint.AttemptKey]chan reply
	done    chan struct{}
}

// reply is the outcome of one job.
type reply struct {
	placed Placed
	fault  *fault.Fault
}

const replaceableCapacity = 4096

// commandsPerJob is how many commands one open job may have waiting: offer,
// withdraw, start and end.
const commandsPerJob = 4

// minWait is the shortest wait between two ticks. Above zero it keeps timers
// from expiring before anything waits for them; see fleet.Syncer.
const minWait = time.Millisecond

// spareCommands leaves room for inputs that belong to no job.
const spareCommands = 1024

// NewRunner returns a Runner of core that reads load reports with poller.
func NewRunner(config RunnerConfig, core *Core, poller *endpoint.Poller) *Runner {
	return &Runner{
		config:      config,
		core:        core,
		poller:      poller,
		commands:    ring.New[command]("placement-commands", commandsPerJob*config.MaxOpen+spareCommands, ring.RefuseNew),
		replaceable: ring.New[command]("placement-news", replaceableCapacity, ring.DropOldest),
		replies:     make(map[endpoint.AttemptKey]chan reply),
		done:        make(chan struct{}),
	}
}

// Rings returns the counters of the runner's rings.
func (r *Runner) Rings() []func() ring.Counters {
	return append(r.poller.Rings(), r.commands.Counters, r.replaceable.Counters)
}

// Run runs the core until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.done)
	polls := time.NewTicker(r.config.PollTick)
	defer polls.Stop()
	wake := time.NewTimer(r.config.PollTick)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.commands.Ready():
		case <-r.replaceable.Ready():
		case <-r.poller.Results().Ready():
		case <-polls.C:
			r.poll(time.Now())
		case <-wake.C:
			r.apply(r.core.Tick(time.Now()))
		}
		r.drain()
		if next, waits := r.core.NextTick(); waits {
			wake.Reset(max(minWait, time.Until(next)))
		}
	}
}

// drain applies every waiting input, those that must not be lost first.
func (r *Runner) drain() {
	if targets := r.targets.Swap(nil); targets != nil {
		r.apply(r.core.Configure(time.Now(), *targets))
	}
	for run, ok := r.commands.Pop(); ok; run, ok = r.commands.Pop() {
		r.apply(run(time.Now()))
	}
	for result, ok := r.poller.Results().Pop(); ok; result, ok = r.poller.Results().Pop() {
		if !r.core.Registry().HasAddress(result.Engine, result.Address) {
			continue
		}
		if result.Err != nil {
			r.apply(r.core.ObserveReportFailure(time.Now(), result.Engine))
			continue
		}
		r.apply(r.core.ObserveReport(time.Now(), result.Engine, result.Report))
	}
	for run, ok := r.replaceable.Pop(); ok; run, ok = r.replaceable.Pop() {
		r.apply(run(time.Now()))
	}
}

func (r *Runner) poll(now time.Time) {
	r.poller.Enqueue(r.core.Registry().Due(now, r.config.PollInterval, r.config.PollsPerTick))
	r.apply(r.core.Tick(now))
}

func (r *Runner) apply(effects Effects) {
	for _, placed := range effects.Placed {
		r.reply(placed.Job.Key, reply{placed: placed})
	}
	for _, refused := range effects.Refused {
		r.reply(refused.Key, reply{fault: refused.Fault})
	}
	for _, change := range effects.Changes {
		r.config.OnChange(change)
	}
	for _, message := range effects.Messages {
		r.config.OnMessage(message)
	}
}

func (r *Runner) reply(key endpoint.AttemptKey, outcome reply) {
	if waiting := r.replies[key]; waiting != nil {
		delete(r.replies, key)
		waiting <- outcome
	}
}

// Place waits until the job is placed or refused. When ctx ends first the job
// is withdrawn, and a placement made until then is released.
func (r *Runner) Place(ctx context.Context, job *Job) (Placed, error) {
	waiting := make(chan reply, 1)
	accepted := r.commands.Push(func(now time.Time) Effects {
		r.replies[job.Key] = waiting
		return r.core.Offer(now, job)
	})
	if !accepted {
		return Placed{}, fault.New(fault.Overloaded, "this router has too many open requests").
			WithRetryAfter(overloadedRetryAfter)
	}
	select {
	case outcome := <-waiting:
		if outcome.fault != nil {
			return Placed{}, outcome.fault
		}
		return outcome.placed, nil
	case <-ctx.Done():
		r.withdraw(job)
		return Placed{}, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "the request was canceled or timed out while it waited for an engine")
	case <-r.done:
		return Placed{}, fault.New(fault.ShuttingDown, "this router has stopped")
	}
}

func (r *Runner) withdraw(job *Job) {
	r.commands.Push(func(now time.Time) Effects {
		delete(r.replies, job.Key)
		r.core.Withdraw(now, job.Request.ID)
		return r.core.RecordEnd(now, job.Key, Result{})
	})
}

// RecordStart records that an engine accepted an attempt.
func (r *Runner) RecordStart(key endpoint.AttemptKey, incarnation ident.Incarnation, usage protocol.Usage) {
	r.replaceable.Push(func(now time.Time) Effects {
		r.core.RecordStart(now, key, incarnation, usage)
		return Effects{}
	})
}

// RecordFirstToken records that an engine has prefilled an attempt's prompt.
func (r *Runner) RecordFirstToken(key endpoint.AttemptKey) {
	r.replaceable.Push(func(now time.Time) Effects {
		r.core.RecordFirstToken(now, key)
		return Effects{}
	})
}

// RecordEnd records the end of an attempt. Call it exactly once for each placement.
func (r *Runner) RecordEnd(key endpoint.AttemptKey, result Result) {
	r.commands.Push(func(now time.Time) Effects { return r.core.RecordEnd(now, key, result) })
}

// Configure applies the engines of a fleet file.
func (r *Runner) Configure(targets []endpoint.Target) {
	r.targets.Store(&targets)
	// Wakes the runner. A full ring refuses this, but wakes it anyway.
	r.commands.Push(func(time.Time) Effects { return Effects{} })
}

// ObserveDraining records that an incarnation is draining.
func (r *Runner) ObserveDraining(engine ident.Engine, incarnation ident.Incarnation) {
	r.commands.Push(func(now time.Time) Effects { return r.core.ObserveDraining(now, engine, incarnation) })
}

// HandleDirectoryMessage applies a message of another router's directory.
func (r *Runner) HandleDirectoryMessage(from ident.Node, message directory.Message) {
	r.replaceable.Push(func(now time.Time) Effects { return r.core.HandleDirectoryMessage(now, from, message) })
}

// SetView sets the membership view of the directory.
func (r *Runner) SetView(view membership.View) {
	r.commands.Push(func(time.Time) Effects {
		r.core.SetView(view)
		return Effects{}
	})
}

// ApplyMachineList applies a machine list: for each engine, whether its machine
// is draining. The map must not be changed afterwards.
func (r *Runner) ApplyMachineList(draining map[ident.Engine]bool) {
	r.commands.Push(func(now time.Time) Effects { return r.core.ApplyMachineList(now, draining) })
}

// ApplyCacheEvents applies a batch of cache events.
func (r *Runner) ApplyCacheEvents(engine ident.Engine, batch protocol.CacheEventBatch) {
	r.replaceable.Push(func(now time.Time) Effects {
		r.core.ApplyCacheEvents(now, engine, batch)
		if r.core.SnapshotDue(now, engine) {
			r.config.OnSnapshotDue(engine)
		}
		return Effects{}
	})
}

// ApplyCacheSnapshot applies the whole state of an engine's cache.
func (r *Runner) ApplyCacheSnapshot(engine ident.Engine, snapshot protocol.CacheSnapshot) {
	r.replaceable.Push(func(now time.Time) Effects {
		r.core.ApplyCacheSnapshot(now, engine, snapshot)
		return Effects{}
	})
}

// State returns the state of the core. It waits for the runner's goroutine, at
// most until ctx ends.
func (r *Runner) State(ctx context.Context) (State, error) {
	// The buffer keeps the runner from blocking when ctx has ended.
	result := make(chan State, 1)
	accepted := r.commands.Push(func(now time.Time) Effects {
		result <- r.core.State(now)
		return Effects{}
	})
	if !accepted {
		return State{}, fault.New(fault.Overloaded, "the placement runner has too many inputs waiting").
			WithRetryAfter(overloadedRetryAfter)
	}
	select {
	case state := <-result:
		return state, nil
	case <-ctx.Done():
		return State{}, fault.Wrap(ctx.Err(), fault.Timeout, "the placement runner did not answer")
	case <-r.done:
		return State{}, fault.New(fault.ShuttingDown, "this router has stopped")
	}
}
