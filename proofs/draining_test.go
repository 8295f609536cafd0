package proofs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/membership/simnet"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// drainingBound is the time after the first sign of draining from which a back
// end must get no new work.
const drainingBound = 3 * time.Second

// drainingSimulation has two engines and three routers that gossip over a network
// that loses a fifth of the datagrams.
type drainingSimulation struct {
	*simulation
	draining *simulatedEngine
	network  *simnet.Network
}

func newDrainingSimulation(t *testing.T) *drainingSimulation {
	sim := &drainingSimulation{simulation: newSimulation(t)}
	sim.draining = sim.addEngine("e-1", "z", "v1", "v2")
	sim.addEngine("e-2", "z", "v1", "v2")
	network, err := simnet.New(simnet.Config{Seed: 5, Loss: 0.2, MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond, Encode: true})
	if err != nil {
		t.Fatal(err)
	}
	sim.network = network
	for index, name := range []string{"router-1", "router-2", "router-3"} {
		router := sim.addRouter(name)
		node, err := network.Start(index, "z", []string{simnet.Address(0), simnet.Address(1), simnet.Address(2)})
		if err != nil {
			t.Fatal(err)
		}
		router.onChange = func(change endpoint.Change) { sim.broadcast(node, change) }
	}
	sim.onStep = sim.gossip
	return sim
}

// broadcast sends a router's first observation that an engine is draining.
func (s *drainingSimulation) broadcast(node *simnet.Node, change endpoint.Change) {
	if change.Kind != endpoint.ChangeDraining {
		return
	}
	s.network.Do(node, func(machine *membership.Machine, now time.Time) {
		err := machine.Broadcast(now, membership.BackendReport{
			Backend: string(change.Engine), Incarnation: change.Incarnation, Kind: membership.ReportDraining,
			Observer: node.Member.Node, ObservedAt: now.UnixMilli(),
		})
		if err != nil {
			s.t.Error(err)
		}
	})
}

// gossip runs the network for a step and applies the received reports.
func (s *drainingSimulation) gossip() {
	s.network.Run(virtualStep)
	for index, node := range s.network.Nodes {
		for _, event := range node.TakeEvents() {
			if event.Kind == membership.ReportReceived {
				router := s.routers[index]
				s.applyEffects(router, router.core.ObserveDraining(s.now, ident.Engine(event.Report.Backend), event.Report.Incarnation))
			}
		}
	}
}

// applyMachineList gives the first routers the machine list, as one read does.
func (s *drainingSimulation) applyMachineList(readers int, draining bool) {
	for _, router := range s.routers[:readers] {
		s.applyEffects(router, router.core.ApplyMachineList(s.now, map[ident.Engine]bool{s.draining.name: draining}))
	}
}

// applyFleetFile applies a fleet file with the engine draining on one router.
func (s *drainingSimulation) applyFleetFile(router *simulatedRouter) {
	targets := s.targets()
	targets[0].Draining = true
	s.applyEffects(router, router.core.Configure(s.now, targets))
}

func (s *drainingSimulation) dropReports(routers ...*simulatedRouter) {
	for _, router := range routers {
		router.reportsLost = true
	}
}

// Guards against anything that reaches the draining engine later than drainingBound
// after a router could first observe it.
func TestDrainingEngineGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name          string
		startDraining func(s *drainingSimulation)
	}{
		{"by the machine list", func(s *drainingSimulation) { s.applyMachineList(3, true) }},
		{"by the machine list, lost on two of three", func(s *drainingSimulation) { s.applyMachineList(1, true) }},
		{"by its own report, lost on two of three", func(s *drainingSimulation) {
			s.dropReports(s.routers[1:]...)
			s.draining.Drain(s.now)
		}},
		{"by its own refusal only, while the list lags", func(s *drainingSimulation) {
			s.dropReports(s.routers...)
			s.draining.Drain(s.now)
			for second := range 6 {
				s.after(time.Duration(second)*time.Second, func() { s.applyMachineList(3, false) })
			}
		}},
		{"by the fleet file, adopted one after the other", func(s *drainingSimulation) {
			for index, router := range s.routers {
				s.after(time.Duration(index)*time.Second, func() { s.applyFleetFile(router) })
			}
		}},
		{"by the list, and the engine crashes and returns", func(s *drainingSimulation) {
			s.applyMachineList(3, true)
			s.after(drainingBound, func() { s.crash(s.draining) })
			s.after(drainingBound+100*time.Millisecond, func() { s.restart(s.draining) })
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			sim := newDrainingSimulation(t)
			sim.run(2 * reportInterval)
			sim.offerLoad(3 * time.Second)
			bound := sim.now.Add(drainingBound)
			test.startDraining(sim)
			for _, label := range []string{"villach", "krems", "steyr", "wels"} {
				sim.shared = []string{label, label + " rules", label + " orders"} // new prompts, which no engine holds
				sim.offerLoad(2 * time.Second)
			}
			sim.run(virtualMaxHold)
			check.Equal(len(sim.open), 0)
			check.Equal(len(sim.refused), 0) // the other engine took over
			check.True(startsOn(sim.truth, "e-1", sim.now) > 50)
			check.Equal(startsOn(sim.truth, "e-1", sim.now), startsOn(sim.truth, "e-1", bound))
			for _, arrived := range sim.arrivals {
				if arrived.engine == "e-1" && arrived.at.After(bound) {
					t.Errorf("an attempt reached the engine %v after the bound", arrived.at.Sub(bound))
				}
			}
		})
	}
}

// startsOn counts what began to run on an engine up to a time.
func startsOn(records []truth.Record, engine ident.Engine, until time.Time) int {
	count := 0
	for _, record := range records {
		if record.Kind == truth.Started && record.Engine == engine && !record.Time.After(until) {
			count++
		}
	}
	return count
}
