package router

import (
	"context"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// watchMachines polls the platform's machine list until ctx ends. The list lags,
// so it only supplies seeds and draining states; a machine missing from it may
// still run.
func (r *Router) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, r.settings.Table.Timeout)
		list, err := r.platform.ListMachines(bounded)
		cancel()
		if err == nil {
			r.applyMachineList(ctx, list)
		}
		sleep(ctx, r.settings.Intervals.MachinePoll)
	}
}

func (r *Router) applyMachineList(ctx context.Context, list protocol.MachineList) {
	var seeds []string
	engines := make(map[ident.Engine]bool)
	applications := make(map[ident.Application]bool)
	for _, machine := range list.Machines {
		draining := machine.State == protocol.MachineLeaving
		switch {
		case machine.Kind == protocol.MachineRouter && machine.GossipAddress != "" && !draining:
			seeds = append(seeds, machine.GossipAddress)
		case machine.Kind == protocol.MachineEngine:
			engines[ident.Engine(machine.Name)] = draining
		case machine.Kind == protocol.MachineApplication:
			applications[ident.Application(machine.Name)] = draining
		}
	}
	r.placementRunner.ApplyMachineList(engines)
	r.apps.applyMachineList(applications)
	r.addSeeds(ctx, seeds)
}
