package proofs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// Times and limits of a simulation, as in the router's settings.
const (
	virtualStep     = 5 * time.Millisecond
	reportInterval  = 250 * time.Millisecond
	virtualMaxHold  = 5 * time.Second
	virtualAttempts = 4
)

var virtualStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// simulation runs placement cores against engine models in virtual time. Tests
// check the engines' truth records and caches, never the counters of a core.
type simulation struct {
	t         *testing.T
	now       time.Time
	engines   []*simulatedEngine
	routers   []*simulatedRouter
	scheduled []scheduledCall
	// onStep runs at every step, before the engines advance.
	onStep func()
	truth  []truth.Record
	// dispatches is every decision to dispatch, in order.
	dispatches []dispatchRecord
	refused    []placement.Refused
	open       map[ident.Request]*openRequest
	// shared holds the labels of the callers' shared prompts.
	shared  []string
	offered int
	// answered counts requests with a complete answer.
	answered int
	// arrivals is every attempt that reached an engine.
	arrivals []arrival
}

// scheduledCall is a call at a later virtual time.
type scheduledCall struct {
	at  time.Time
	run func()
}

// simulatedEngine is one engine model.
type simulatedEngine struct {
	*model.Engine
	name         ident.Engine
	zone         ident.Zone
	incarnations int
	// endedAt is when the last incarnation ended.
	endedAt time.Time
	// stored holds the blocks in the current incarnation's cache.
	stored map[prefix.Hash]bool
}

// simulatedRouter is one core with its network conditions.
type simulatedRouter struct {
	name string
	core *placement.Core
	// reportsLost drops all load reports, eventGaps every second batch of cache
	// events, and eventsLost all of them.
	reportsLost, eventGaps, eventsLost bool
	batches                            int
	// dispatchDelay is the network delay of a dispatch.
	dispatchDelay time.Duration
	inFlight      map[ident.Stream]*inFlightAttempt
	// sent holds the blocks of every chain dispatched to an incarnation.
	sent map[sentBlock]bool
	// onChange receives every change of an engine's state.
	onChange func(endpoint.Change)
}

func newSimulation(t *testing.T) *simulation {
	return &simulation{t: t, now: virtualStart, onStep: func() {}, open: map[ident.Request]*openRequest{}, shared: []string{"graz", "linz", "wien"}}
}

// addEngine adds an engine that has the versions of model "m" loaded.
func (s *simulation) addEngine(name ident.Engine, zone ident.Zone, versions ...ident.ModelVersion) *simulatedEngine {
	config := model.DefaultConfig()
	config.Name, config.Zone, config.TruthBlocks = name, zone, true
	for _, version := range versions {
		config.Models = append(config.Models, protocol.LoadedModel{Model: "m", Version: version})
	}
	added := &simulatedEngine{name: name, zone: zone, incarnations: 1, stored: map[prefix.Hash]bool{}}
	added.Engine = model.New(config, ident.Incarnation(name)+"-life-1", rand.New(rand.NewPCG(3, uint64(len(s.engines)))), s.now)
	s.engines = append(s.engines, added)
	return added
}

// targets returns the engines as a fleet file lists them.
func (s *simulation) targets() []endpoint.Target {
	var targets []endpoint.Target
	for _, engine := range s.engines {
		targets = append(targets, endpoint.Target{
			Engine: engine.name, Address: string(engine.name) + ":1", Zone: engine.zone,
			PrefillPerToken: 100 * time.Microsecond,
		})
	}
	return targets
}

// addRouter adds a router that has just adopted the fleet file.
func (s *simulation) addRouter(name string) *simulatedRouter {
	scheduler, err := routing.NewPredictive(routing.Config{})
	if err != nil {
		s.t.Fatal(err)
	}
	prefixBeliefs, err := beliefs.New(beliefs.Config{}, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	added := &simulatedRouter{
		name: name, dispatchDelay: 2 * time.Millisecond, onChange: func(endpoint.Change) {},
		inFlight: map[ident.Stream]*inFlightAttempt{}, sent: map[sentBlock]bool{},
	}
	added.core = placement.New(placement.Config{
		Scheduler: scheduler, Beliefs: prefixBeliefs, Queue: admission.NewQueue(admission.Config{}),
		Hop: func(ident.Zone) time.Duration { return time.Millisecond },
	})
	s.routers = append(s.routers, added)
	s.applyEffects(added, added.core.Configure(s.now, s.targets()))
	return added
}

// after schedules a call.
func (s *simulation) after(delay time.Duration, do func()) {
	s.scheduled = append(s.scheduled, scheduledCall{s.now.Add(delay), do})
}

// run advances the virtual time.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(virtualStep)
		s.runDue()
		s.onStep()
		for _, engine := range s.engines {
			s.applyOutputs(engine)
		}
		if s.now.Sub(virtualStart)%reportInterval == 0 {
			s.report()
		}
		for _, router := range s.routers {
			s.applyEffects(router, router.core.Tick(s.now))
		}
	}
}

func (s *simulation) runDue() {
	var due []scheduledCall
	s.scheduled = slices.DeleteFunc(s.scheduled, func(planned scheduledCall) bool {
		if planned.at.After(s.now) {
			return false
		}
		due = append(due, planned)
		return true
	})
	for _, planned := range due {
		planned.run()
	}
}

// report delivers the load reports, or failures, of all engines to every router.
func (s *simulation) report() {
	for _, router := range s.routers {
		for _, engine := range s.engines {
			switch {
			case router.reportsLost:
			case engine.Alive():
				s.applyEffects(router, router.core.ObserveReport(s.now, engine.name, engine.LoadReport(s.now)))
			default:
				s.applyEffects(router, router.core.ObserveReportFailure(s.now, engine.name))
			}
		}
	}
}

// applyOutputs advances an engine and applies its outputs.
func (s *simulation) applyOutputs(engine *simulatedEngine) {
	for _, output := range engine.Advance(s.now) {
		switch {
		case output.Event != nil:
			s.applyStreamEvent(output.Event)
		case output.Batch != nil:
			for _, router := range s.routers {
				router.applyBatch(s, engine, *output.Batch)
			}
		case output.Truth != nil:
			s.recordTruth(engine, *output.Truth)
		}
	}
}

// recordTruth appends a truth record and updates the engine's stored blocks.
func (s *simulation) recordTruth(engine *simulatedEngine, record truth.Record) {
	s.truth = append(s.truth, record)
	for _, hash := range record.Hashes {
		switch record.Kind {
		case truth.CacheStored:
			engine.stored[hash] = true
		case truth.CacheRemoved:
			delete(engine.stored, hash)
			for _, router := range s.routers {
				delete(router.sent, sentBlock{record.Incarnation, hash})
			}
		}
	}
}

func (r *simulatedRouter) applyBatch(s *simulation, engine *simulatedEngine, batch protocol.CacheEventBatch) {
	r.batches++
	if r.eventsLost || r.eventGaps && r.batches%2 == 0 {
		return
	}
	r.core.ApplyCacheEvents(s.now, engine.name, batch)
	if r.core.SnapshotDue(s.now, engine.name) && engine.Alive() {
		snapshot := engine.Snapshot(s.now)
		s.after(reportInterval, func() { r.core.ApplyCacheSnapshot(s.now, engine.name, snapshot) })
	}
}

// crash ends the engine's incarnation. Its attempts break.
func (s *simulation) crash(engine *simulatedEngine) {
	engine.Crash(s.now)
	engine.endedAt = s.now
	s.applyOutputs(engine)
	for _, router := range s.routers {
		for stream, broken := range router.inFlight {
			if broken.placed.Candidate.Endpoint.Engine == engine.name {
				delete(router.inFlight, stream)
				s.finish(broken, placement.Result{Broken: true})
			}
		}
	}
}

// restart starts the engine's next incarnation, at the same address.
func (s *simulation) restart(engine *simulatedEngine) {
	engine.incarnations++
	engine.stored = map[prefix.Hash]bool{}
	engine.Restart(s.now, ident.Incarnation(fmt.Sprintf("%s-life-%d", engine.name, engine.incarnations)))
}

func (s *simulation) engine(name ident.Engine) *simulatedEngine {
	index := slices.IndexFunc(s.engines, func(engine *simulatedEngine) bool { return engine.name == name })
	return s.engines[index]
}
