// Package experiment compares placement policies in a simulation of deployments
// in virtual time: callers, routers, network and engines.
//
// It uses the placement cores of the router process, the engine models of the
// engine stand-in and the traffic of the load generator. A simulation runs in one
// goroutine without a real clock; the same scenario, policy and seed give the same
// measures on every run. The measures are based on the actual state of the
// engines, not on the routers' beliefs.
package experiment

import (
	"runtime"
	"sync"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Plan defines a comparison.
type Plan struct {
	Scenarios []Scenario
	Policies  []Policy
	// Seeds lists the seeds; every policy runs each scenario with each seed.
	Seeds []uint64
	// Parallel bounds the concurrent simulations; zero means the number of CPUs.
	Parallel int
	// Progress, if set, is called by one goroutine before each simulation, with
	// the number of simulations already started and their total.
	Progress func(started, total int)
}

// Run is one finished simulation.
type Run struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Baseline bool   `json:"baseline"`
	Seed     uint64 `json:"seed"`
	// Protected is the class whose tail latency matters most in the scenario.
	Protected ident.Class `json:"protected"`
	Measures  Measures    `json:"measures"`
}

// Execute runs every combination of the plan. The runs are in the order of
// scenarios, policies and seeds.
func Execute(plan Plan) ([]Run, error) {
	type task struct {
		prepared *preparedScenario
		policy   Policy
		seed     uint64
	}
	var tasks []task
	for _, scenario := range plan.Scenarios {
		for _, policy := range plan.Policies {
			for _, seed := range plan.Seeds {
				prepared, err := prepare(scenario)
				if err != nil {
					return nil, err
				}
				tasks = append(tasks, task{prepared, policy, seed})
			}
		}
	}
	if len(tasks) == 0 {
		return nil, fault.New(fault.BadRequest, "nothing to run").WithRemedy("name at least one scenario, policy and seed")
	}
	runs := make([]Run, len(tasks))
	errs := make([]error, len(tasks))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(plan.parallel(), len(tasks)) {
		workers.Go(func() {
			for index := range next {
				assigned := tasks[index]
				runs[index], errs[index] = runOne(assigned.prepared, assigned.policy, assigned.seed)
			}
		})
	}
	for index := range tasks {
		if plan.Progress != nil {
			plan.Progress(index, len(tasks))
		}
		next <- index
	}
	close(next)
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

func (p Plan) parallel() int {
	if p.Parallel > 0 {
		return p.Parallel
	}
	return runtime.NumCPU()
}

func runOne(prepared *preparedScenario, policy Policy, seed uint64) (Run, error) {
	run := Run{Scenario: prepared.scenario.Name, Policy: policy.Name, Baseline: policy.Baseline, Seed: seed, Protected: prepared.scenario.Protected}
	simulated, err := newSimulation(prepared, policy, seed)
	if err != nil {
		return run, err
	}
	run.Measures, err = simulated.run()
	return run, err
}
