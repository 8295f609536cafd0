package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// One-way network delays of both deployments.
const (
	hopWithinZone   = 100 * time.Microsecond
	hopBetweenZones = 1500 * time.Microsecond
	hopToClient     = time.Millisecond
)

const (
	// clientRetryDelay is the delay before a caller retries at another router after
	// its connection broke.
	clientRetryDelay = 100 * time.Millisecond
	// maxOverrun is how long a simulation may run after its last arrival; requests
	// still open then count as never ended.
	maxOverrun = 5 * time.Minute
	// busySampleInterval is the time between two samples of busy engines.
	busySampleInterval = 50 * time.Millisecond
)

// simulation is one run of a scenario with one policy and seed, in one goroutine
// and in virtual time.
type simulation struct {
	prepared      *preparedScenario
	policy        Policy
	seed          uint64
	clock         clock
	start         time.Time
	random        *rand.Rand
	engines       []*engineNode
	byName        map[ident.Engine]*engineNode
	routers       []*routerNode
	exact         *exactCredits
	measures      *collector
	openRequests  int
	activeSources int
	failure       error
}

func newSimulation(prepared *preparedScenario, policy Policy, seed uint64) (*simulation, error) {
	start := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	s := &simulation{
		prepared: prepared, policy: policy, seed: seed, start: start,
		clock:  clock{now: start},
		random: rand.New(rand.NewPCG(seed, xxhash.Sum64String("callers"))),
		byName: make(map[ident.Engine]*engineNode),
	}
	s.exact = &exactCredits{simulation: s, salts: make(map[uint64]uint64)}
	s.measures = newCollector(prepared)
	if err := s.addEngines(); err != nil {
		return nil, err
	}
	if err := s.addRouters(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *simulation) addEngines() error {
	scenario := &s.prepared.scenario
	for _, configured := range s.prepared.fleet.Engines() {
		config := model.DefaultConfig()
		config.Name, config.Zone = configured.Name, configured.Zone
		config.CacheBlocks, config.EventLoss = scenario.CacheBlocks, scenario.EventLoss
		if scenario.LoadLag > 0 {
			config.LoadLag = scenario.LoadLag
		}
		config.Models = modelsOf(s.prepared.fleet, configured)
		if err := config.Validate(); err != nil {
			return err
		}
		random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(string(configured.Name))))
		node := newEngineNode(s, config, random)
		s.engines = append(s.engines, node)
		s.byName[configured.Name] = node
	}
	return nil
}

// addRouters adds one router for each zone.
func (s *simulation) addRouters() error {
	for _, region := range s.prepared.fleet.Document.Regions {
		for _, zone := range region.Zones {
			router := &routerNode{simulation: s, zone: zone, index: len(s.routers)}
			if err := router.start(); err != nil {
				return err
			}
			s.routers = append(s.routers, router)
			router.schedulePoll(pollTick * time.Duration(router.index) / time.Duration(len(s.engines)))
		}
	}
	return nil
}

// run runs the scenario until every request has ended.
func (s *simulation) run() (Measures, error) {
	s.scheduleFaults()
	s.scheduleArrivals()
	s.sampleBusy()
	limit := s.start.Add(s.prepared.scenario.Duration + maxOverrun)
	for (s.openRequests > 0 || s.activeSources > 0) && s.failure == nil && s.clock.now.Before(limit) {
		s.clock.step()
	}
	s.measures.neverEnded = s.openRequests
	return s.measures.result(s), s.failure
}

// scheduleArrivals starts the load schedule and each surge.
func (s *simulation) scheduleArrivals() {
	scenario := &s.prepared.scenario
	s.scheduleSource(workload.NewGenerator(s.prepared.load, s.seed), "load", 0, scenario.Duration)
	for _, surge := range scenario.Surges {
		spec := *s.prepared.load
		spec.Name += "-surge-" + string(surge.Tenant)
		spec.Rate = surge.Rate
		spec.Tenants = []workload.Tenant{{Name: surge.Tenant, Weight: 1}}
		s.scheduleSource(workload.NewGenerator(&spec, s.seed), "surge", surge.At, surge.At+surge.For)
	}
}

// scheduleSource schedules the arrivals of one generator between two times. The
// next one is generated when the previous one arrives, to bound memory.
func (s *simulation) scheduleSource(generator *workload.Generator, source string, from, until time.Duration) {
	s.activeSources++
	var next func()
	next = func() {
		arrival := generator.Next()
		for arrival.Application || arrival.At < from {
			arrival = generator.Next()
		}
		if arrival.At >= until {
			s.activeSources--
			return
		}
		s.clock.at(s.start.Add(arrival.At), func() {
			s.arrive(arrival, source)
			next()
		})
	}
	next()
}

func (s *simulation) hop(from, to ident.Zone) time.Duration {
	if from == to {
		return hopWithinZone
	}
	return hopBetweenZones
}

// sampleBusy periodically counts the engines that have work.
func (s *simulation) sampleBusy() {
	at := s.clock.now.Sub(s.start)
	if at >= s.prepared.scenario.Warmup && at < s.prepared.scenario.Duration {
		for _, engine := range s.engines {
			s.measures.samples++
			if !engine.model.Idle() {
				s.measures.busy++
			}
		}
	}
	s.clock.after(busySampleInterval, s.sampleBusy)
}

func (s *simulation) targets() []endpoint.Target {
	var targets []endpoint.Target
	for _, engine := range s.engines {
		targets = append(targets, endpoint.Target{
			Engine: engine.name, Address: string(engine.name), Zone: engine.zone,
			PrefillPerToken: model.DefaultConfig().PrefillPerToken,
		})
	}
	return targets
}

// fail stops the simulation with an error of the experiment itself.
func (s *simulation) fail(format string, arguments ...any) {
	if s.failure == nil {
		s.failure = fault.New(fault.Internal, format, arguments...)
	}
}
