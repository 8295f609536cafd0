// Package experiment compares policies of placing requests in a simulation of
// whole deployments in virtual time: callers, routers, network and engines.
//
// The routers are the very placement cores of the router process, the engines
// the models of the engine stand-in, the traffic that of the load generator.
// A simulation runs in one goroutine without a clock; the same scenario,
// policy and seed give the same measures on every run. The measures are judged
// on what the engines truly held and did, not on what routers believe.
package experiment

import (
	"runtime"
	"sync"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Plan says what to compare.
type Plan struct {
	Scenarios []Scenario
	Policies  []Policy
	// Seeds lists the seeds; every scenario and policy runs with each.
	Seeds []uint64
	// Parallel bounds the simulations that run at one time; zero means the
	// processors there are.
	Parallel int
	// Progress, if set, is told before each simulation is begun, by one goroutine:
	// how many were begun before it, and how many there are.
	Progress func(begun, all int)
}

// Run is one finished simulation.
type Run struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Baseline bool   `json:"baseline"`
	Seed     uint64 `json:"seed"`
	// Protected is the class whose tail matters most in the scenario.
	Protected ident.Class `json:"protected"`
	Measures  Measures    `json:"measures"`
}

// Execute runs every combination of the plan. The runs are in the order of
// scenarios, policies and seeds, whatever the order they finished in.
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
				given := tasks[index]
				runs[index], errs[index] = runOne(given.prepared, given.policy, given.seed)
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
