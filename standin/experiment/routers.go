package experiment

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
)

// Polling of load reports, as in the router process.
const (
	pollTick     = 50 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	pollsPerTick = 8
)

// routerNode drives the placement core of one router.
type routerNode struct {
	simulation *simulation
	zone       ident.Zone
	index      int
	alive      bool
	// coreNumber counts the cores; inputs scheduled for an earlier one are dropped.
	coreNumber int
	core       *placement.Core
	budget     *admission.RetryBudget
	// waiting holds the exchanges that wait for placement.
	waiting map[ident.Request]*exchange
	tickAt  time.Time
}

// start starts the router with a new core.
func (r *routerNode) start() error {
	s := r.simulation
	scheduler, err := s.policy.NewScheduler(s.exact)
	if err != nil {
		return err
	}
	store, err := beliefs.New(s.policy.Beliefs, s.start)
	if err != nil {
		return err
	}
	r.coreNumber++
	r.alive = true
	r.waiting = make(map[ident.Request]*exchange)
	r.budget = admission.NewRetryBudget(admission.RetryConfig{})
	r.core = placement.New(placement.Config{
		Scheduler:  scheduler,
		Beliefs:    store,
		Queue:      admission.NewQueue(admission.Config{}),
		NewLimiter: s.policy.NewLimiter,
		Hop:        func(zone ident.Zone) time.Duration { return s.hop(r.zone, zone) },
	})
	r.apply(r.core.Configure(s.clock.now, s.targets()))
	return nil
}

// apply carries out the effects that an input to the core returned.
func (r *routerNode) apply(effects placement.Effects) {
	for _, placed := range effects.Placed {
		waiting := r.waiting[placed.Job.Key.Request]
		delete(r.waiting, placed.Job.Key.Request)
		waiting.send(r, placed)
	}
	for _, refused := range effects.Refused {
		waiting := r.waiting[refused.Key.Request]
		delete(r.waiting, refused.Key.Request)
		waiting.end(Outcome(refused.Fault.Kind))
	}
	r.scheduleTick()
}

// scheduleTick schedules the next tick of the core.
func (r *routerNode) scheduleTick() {
	next, waits := r.core.NextTick()
	if !waits || (r.tickAt.After(r.simulation.clock.now) && !next.Before(r.tickAt)) {
		return
	}
	r.tickAt = next
	coreNumber := r.coreNumber
	r.simulation.clock.at(next, func() {
		if r.alive && r.coreNumber == coreNumber {
			r.tickAt = time.Time{}
			r.apply(r.core.Tick(r.simulation.clock.now))
		}
	})
}

// schedulePoll starts the polling of load reports after a delay.
func (r *routerNode) schedulePoll(delay time.Duration) {
	r.simulation.clock.after(delay, func() {
		if r.alive {
			r.poll()
		}
		r.schedulePoll(pollTick)
	})
}

func (r *routerNode) poll() {
	now := r.simulation.clock.now
	for _, due := range r.core.Registry().Due(now, pollInterval, pollsPerTick) {
		r.readLoadReport(r.simulation.byName[due.Engine])
	}
	r.apply(r.core.Tick(now))
}

// readLoadReport requests the load report of an engine and applies it.
func (r *routerNode) readLoadReport(engine *engineNode) {
	hop := r.simulation.hop(r.zone, engine.zone)
	r.simulation.clock.after(hop, func() {
		if !engine.model.Alive() {
			r.scheduleInput(hop, func(now time.Time) { r.apply(r.core.ObserveReportFailure(now, engine.name)) })
			return
		}
		report := engine.model.LoadReport(r.simulation.clock.now)
		engine.drainOutputs()
		r.scheduleInput(hop, func(now time.Time) { r.apply(r.core.ObserveReport(now, engine.name, report)) })
	})
}

// scheduleInput runs an input after a delay unless the core was replaced.
func (r *routerNode) scheduleInput(delay time.Duration, run func(now time.Time)) {
	coreNumber := r.coreNumber
	r.simulation.clock.after(delay, func() {
		if r.alive && r.coreNumber == coreNumber {
			run(r.simulation.clock.now)
		}
	})
}

// deliverEvents sends a batch of cache events to every router: in fleets of this
// size each router reads the events of all engines.
func (s *simulation) deliverEvents(engine *engineNode, batch protocol.CacheEventBatch) {
	for _, router := range s.routers {
		if !router.alive {
			continue
		}
		router.scheduleInput(s.hop(engine.zone, router.zone), func(now time.Time) {
			router.core.ApplyCacheEvents(now, engine.name, batch)
			if router.core.SnapshotDue(now, engine.name) {
				router.readSnapshot(engine)
			}
		})
	}
}

func (r *routerNode) readSnapshot(engine *engineNode) {
	hop := r.simulation.hop(r.zone, engine.zone)
	r.scheduleInput(hop, func(now time.Time) {
		if !engine.model.Alive() {
			return
		}
		snapshot := engine.model.Snapshot(now)
		engine.drainOutputs()
		r.scheduleInput(hop, func(now time.Time) { r.core.ApplyCacheSnapshot(now, engine.name, snapshot) })
	})
}

// restart replaces the core by a new one. Callers submit waiting requests again;
// streams continue, since callers resume them by token.
func (r *routerNode) restart() {
	waiting := r.stop()
	if err := r.start(); err != nil {
		r.simulation.fail("restarting a router failed: %s", err)
	}
	r.simulation.resubmit(waiting)
}

// stop stops the router and returns its waiting exchanges in deterministic order.
func (r *routerNode) stop() []*exchange {
	r.alive = false
	r.tickAt = time.Time{}
	var waiting []*exchange
	for _, pending := range r.waiting {
		waiting = append(waiting, pending)
	}
	sortExchanges(waiting)
	r.waiting = make(map[ident.Request]*exchange)
	return waiting
}

// resubmit retries, after a delay, the requests of callers whose router failed.
func (s *simulation) resubmit(waiting []*exchange) {
	for _, pending := range waiting {
		s.clock.after(clientRetryDelay, pending.assignRouter)
	}
}
