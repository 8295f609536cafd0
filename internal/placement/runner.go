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

// RunnerConfig sets the shell of a core.
type RunnerConfig struct {
	// MaxOpen bounds the jobs that wait or run at one time.
	MaxOpen int
	// PollInterval is the time between two load reports of an engine in use.
	PollInterval time.Duration
	// PollsPerTick bounds the load reports asked for in one PollTick.
	PollsPerTick int
	// PollTick is the time between two looks at which reports are due.
	PollTick time.Duration
	// OnChange is called, in the goroutine of the duty, for every change of an
	// engine's state. It must not block.
	OnChange func(endpoint.Change)
	// OnSnapshotWanted is called, in the goroutine of the duty, when a cache
	// snapshot of an engine is to be read. It must not block.
	OnSnapshotWanted func(ident.Engine)
	// OnMessage is called, in the goroutine of the duty, for every message to
	// another router's directory. It must not block.
	OnMessage func(directory.Envelope)
}

// overloadedRetryAfter is told to callers when the duty's ring is full.
const overloadedRetryAfter = time.Second

// command is one input of the core, to be run in the goroutine of the duty.
type command func(now time.Time) Effects

// Runner runs a Core in one goroutine. Inputs that must not be lost (jobs, ends
// of attempts, changes of the fleet file) and inputs that a later one replaces
// (cache events) come through separate bounded rings.
type Runner struct {
	config RunnerConfig
	core   *Core
	poller *endpoint.Poller
	// targets is the newest fleet file's list until it is taken in. It must not
	// be lost, however full the rings are.
	targets  atomic.Pointer[[]endpoint.Target]
	commands *ring.Ring[command]
	news     *ring.Ring[command]
	// replies is used by the goroutine of the duty only.
	replies map[endpoint.AttemptKey]chan reply
	done    chan struct{}
}

// reply is the final word on one job.
type reply struct {
	placed Placed
	fault  *fault.Fault
}

// newsCapacity is the capacity of the ring of replaceable inputs.
const newsCapacity = 4096

// commandsPerJob is how many commands one open job may have waiting: offer,
// withdraw, started and ended.
const commandsPerJob = 4

// minWait is the shortest wait between two looks. Above zero it keeps timers
// from having run out before anybody waits for them; see fleet.Syncer.
const minWait = time.Millisecond

// spareCommands leaves room for inputs that belong to no job.
const spareCommands = 1024

// NewRunner returns a duty that runs core and reads load reports with poller.
func NewRunner(config RunnerConfig, core *Core, poller *endpoint.Poller) *Runner {
	return &Runner{
		config:   config,
		core:     core,
		poller:   poller,
		commands: ring.New[command]("placement-commands", commandsPerJob*config.MaxOpen+spareCommands, ring.RefuseNew),
		news:     ring.New[command]("placement-news", newsCapacity, ring.DropOldest),
		replies:  make(map[endpoint.AttemptKey]chan reply),
		done:     make(chan struct{}),
	}
}

// Rings returns the counters of the duty's rings.
func (d *Runner) Rings() []func() ring.Counters {
	return append(d.poller.Rings(), d.commands.Counters, d.news.Counters)
}

// Run runs the core until ctx ends.
func (d *Runner) Run(ctx context.Context) {
	defer close(d.done)
	polls := time.NewTicker(d.config.PollTick)
	defer polls.Stop()
	wake := time.NewTimer(d.config.PollTick)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.commands.Ready():
		case <-d.news.Ready():
		case <-d.poller.Results().Ready():
		case <-polls.C:
			d.poll(time.Now())
		case <-wake.C:
			d.apply(d.core.Tick(time.Now()))
		}
		d.drain()
		if next, waits := d.core.NextTick(); waits {
			wake.Reset(max(minWait, time.Until(next)))
		}
	}
}

// drain runs every waiting input, those that must not be lost first.
func (d *Runner) drain() {
	if targets := d.targets.Swap(nil); targets != nil {
		d.apply(d.core.Configure(time.Now(), *targets))
	}
	for run, ok := d.commands.Pop(); ok; run, ok = d.commands.Pop() {
		d.apply(run(time.Now()))
	}
	for answer, ok := d.poller.Results().Pop(); ok; answer, ok = d.poller.Results().Pop() {
		if !d.core.Registry().HasAddress(answer.Engine, answer.Address) {
			continue
		}
		if answer.Err != nil {
			d.apply(d.core.ReportFailed(time.Now(), answer.Engine))
			continue
		}
		d.apply(d.core.Reported(time.Now(), answer.Engine, answer.Report))
	}
	for run, ok := d.news.Pop(); ok; run, ok = d.news.Pop() {
		d.apply(run(time.Now()))
	}
}

func (d *Runner) poll(now time.Time) {
	d.poller.Enqueue(d.core.Registry().Due(now, d.config.PollInterval, d.config.PollsPerTick))
	d.apply(d.core.Tick(now))
}

func (d *Runner) apply(effects Effects) {
	for _, placed := range effects.Placed {
		d.reply(placed.Job.Key, reply{placed: placed})
	}
	for _, refused := range effects.Refused {
		d.reply(refused.Key, reply{fault: refused.Fault})
	}
	for _, change := range effects.Changes {
		d.config.OnChange(change)
	}
	for _, message := range effects.Messages {
		d.config.OnMessage(message)
	}
}

func (d *Runner) reply(key endpoint.AttemptKey, word reply) {
	if waiting := d.replies[key]; waiting != nil {
		delete(d.replies, key)
		waiting <- word
	}
}

// Place waits until the job has a place or is given up. When ctx ends first
// the job is withdrawn, and a place that was given meanwhile is handed back.
func (d *Runner) Place(ctx context.Context, job *Job) (Placed, error) {
	waiting := make(chan reply, 1)
	offered := d.commands.Push(func(now time.Time) Effects {
		d.replies[job.Key] = waiting
		return d.core.Offer(now, job)
	})
	if !offered {
		return Placed{}, fault.New(fault.Overloaded, "this router has too many open requests").
			WithRetryAfter(overloadedRetryAfter)
	}
	select {
	case word := <-waiting:
		if word.fault != nil {
			return Placed{}, word.fault
		}
		return word.placed, nil
	case <-ctx.Done():
		d.withdraw(job)
		return Placed{}, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "the caller left while the request waited")
	case <-d.done:
		return Placed{}, fault.New(fault.ShuttingDown, "this router has stopped")
	}
}

func (d *Runner) withdraw(job *Job) {
	d.commands.Push(func(now time.Time) Effects {
		delete(d.replies, job.Key)
		d.core.Withdraw(now, job.Request.ID)
		return d.core.Ended(now, job.Key, Result{})
	})
}

// Started reports that an engine accepted an attempt.
func (d *Runner) Started(key endpoint.AttemptKey, incarnation ident.Incarnation, usage protocol.Usage) {
	d.news.Push(func(now time.Time) Effects {
		d.core.Started(now, key, incarnation, usage)
		return Effects{}
	})
}

// FirstToken reports that an engine has prefilled an attempt's prompt.
func (d *Runner) FirstToken(key endpoint.AttemptKey) {
	d.news.Push(func(now time.Time) Effects {
		d.core.FirstToken(now, key)
		return Effects{}
	})
}

// Ended reports the end of an attempt; it is called exactly once for each place.
func (d *Runner) Ended(key endpoint.AttemptKey, result Result) {
	d.commands.Push(func(now time.Time) Effects { return d.core.Ended(now, key, result) })
}

// Configure takes over the engines of a fleet file.
func (d *Runner) Configure(targets []endpoint.Target) {
	d.targets.Store(&targets)
	// A full ring refuses this, and then has enough in it to wake the duty.
	d.commands.Push(func(time.Time) Effects { return Effects{} })
}

// LeavingSeen reports a sign that an engine is leaving.
func (d *Runner) LeavingSeen(engine ident.Engine, incarnation ident.Incarnation) {
	d.commands.Push(func(now time.Time) Effects { return d.core.LeavingSeen(now, engine, incarnation) })
}

// DirectoryMessage reports a message of another router's directory.
func (d *Runner) DirectoryMessage(from ident.Node, message directory.Message) {
	d.news.Push(func(now time.Time) Effects { return d.core.DirectoryMessage(now, from, message) })
}

// SetView reports which routers there are.
func (d *Runner) SetView(view membership.View) {
	d.commands.Push(func(time.Time) Effects {
		d.core.SetView(view)
		return Effects{}
	})
}

// Listed reports a machine list: for each engine, whether its machine leaves.
// The map must not be changed afterwards.
func (d *Runner) Listed(leaving map[ident.Engine]bool) {
	d.commands.Push(func(now time.Time) Effects { return d.core.Listed(now, leaving) })
}

// CacheEvents reports a batch of cache events.
func (d *Runner) CacheEvents(engine ident.Engine, batch protocol.CacheEventBatch) {
	d.news.Push(func(now time.Time) Effects {
		d.core.CacheEvents(now, engine, batch)
		if d.core.SnapshotWanted(now, engine) {
			d.config.OnSnapshotWanted(engine)
		}
		return Effects{}
	})
}

// CacheSnapshot reports the whole state of an engine's cache.
func (d *Runner) CacheSnapshot(engine ident.Engine, snapshot protocol.CacheSnapshot) {
	d.news.Push(func(now time.Time) Effects {
		d.core.CacheSnapshot(now, engine, snapshot)
		return Effects{}
	})
}

// Read returns the state of the core. It waits for the goroutine of the duty,
// at most until ctx ends.
func (d *Runner) Read(ctx context.Context) (Reading, error) {
	// The buffer lets the duty go on when the reader has left.
	answer := make(chan Reading, 1)
	asked := d.commands.Push(func(now time.Time) Effects {
		answer <- d.core.Read(now)
		return Effects{}
	})
	if !asked {
		return Reading{}, fault.New(fault.Overloaded, "the placement duty has too many inputs waiting").
			WithRetryAfter(overloadedRetryAfter)
	}
	select {
	case reading := <-answer:
		return reading, nil
	case <-ctx.Done():
		return Reading{}, fault.Wrap(ctx.Err(), fault.Timeout, "the placement duty did not answer")
	case <-d.done:
		return Reading{}, fault.New(fault.ShuttingDown, "this router has stopped")
	}
}
