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

// leavingBound is the time after the first sign of leaving from which a back
// end must get no new work.
const leavingBound = 3 * time.Second

// leavingWorld is two engines and three routers that gossip over a network
// that loses a fifth of the datagrams.
type leavingWorld struct {
	*simulation
	leaving *simulatedEngine
	network *simnet.Network
}

func newLeavingWorld(t *testing.T) *leavingWorld {
	world := &leavingWorld{simulation: newSimulation(t)}
	world.leaving = world.addEngine("e-1", "z", "v1", "v2")
	world.addEngine("e-2", "z", "v1", "v2")
	network, err := simnet.New(simnet.Config{Seed: 5, Loss: 0.2, MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond, Encode: true})
	if err != nil {
		t.Fatal(err)
	}
	world.network = network
	for index, name := range []string{"router-1", "router-2", "router-3"} {
		router := world.addRouter(name)
		node, err := network.Start(index, "z", []string{simnet.Address(0), simnet.Address(1), simnet.Address(2)})
		if err != nil {
			t.Fatal(err)
		}
		router.onChange = func(change endpoint.Change) { world.tell(node, change) }
	}
	world.eachStep = world.gossip
	return world
}

// tell spreads a router's first sign that an engine is leaving.
func (w *leavingWorld) tell(node *simnet.Node, change endpoint.Change) {
	if change.Kind != endpoint.ChangeDraining {
		return
	}
	w.network.Do(node, func(machine *membership.Machine, now time.Time) {
		err := machine.Broadcast(now, membership.BackendReport{
			Backend: string(change.Engine), Incarnation: change.Incarnation, Kind: membership.ReportDraining,
			Observer: node.Member.Node, ObservedAt: now.UnixMilli(),
		})
		if err != nil {
			w.t.Error(err)
		}
	})
}

// gossip lets the network run for a step and hands its signs to the cores.
func (w *leavingWorld) gossip() {
	w.network.Run(virtualStep)
	for index, node := range w.network.Nodes {
		for _, event := range node.TakeEvents() {
			if event.Kind == membership.ReportReceived {
				router := w.routers[index]
				w.take(router, router.core.ObserveDraining(w.now, ident.Engine(event.Report.Backend), event.Report.Incarnation))
			}
		}
	}
}

// list shows the machine list to the first routers, as one read of it does.
func (w *leavingWorld) list(readers int, leaving bool) {
	for _, router := range w.routers[:readers] {
		w.take(router, router.core.ApplyMachineList(w.now, map[ident.Engine]bool{w.leaving.name: leaving}))
	}
}

// file puts a fleet file in force at a router that states the engine leaving.
func (w *leavingWorld) file(router *simulatedRouter) {
	targets := w.targets()
	targets[0].Draining = true
	w.take(router, router.core.Configure(w.now, targets))
}

func (w *leavingWorld) deafen(routers ...*simulatedRouter) {
	for _, router := range routers {
		router.deaf = true
	}
}

// TestLeavingEngineGetsNoNewWork judges by what reaches the engine: nothing
// later than leavingBound after the first router could see the first sign.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name string
		sign func(w *leavingWorld)
	}{
		{"by the machine list", func(w *leavingWorld) { w.list(3, true) }},
		{"by the machine list, lost on two of three", func(w *leavingWorld) { w.list(1, true) }},
		{"by its own report, lost on two of three", func(w *leavingWorld) {
			w.deafen(w.routers[1:]...)
			w.leaving.Drain(w.now)
		}},
		{"by its own refusal only, while the list lags", func(w *leavingWorld) {
			w.deafen(w.routers...)
			w.leaving.Drain(w.now)
			for second := range 6 {
				w.after(time.Duration(second)*time.Second, func() { w.list(3, false) })
			}
		}},
		{"by the fleet file, adopted one after the other", func(w *leavingWorld) {
			for index, router := range w.routers {
				w.after(time.Duration(index)*time.Second, func() { w.file(router) })
			}
		}},
		{"by the list, and the engine crashes and returns", func(w *leavingWorld) {
			w.list(3, true)
			w.after(leavingBound, func() { w.crash(w.leaving) })
			w.after(leavingBound+100*time.Millisecond, func() { w.revive(w.leaving) })
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			world := newLeavingWorld(t)
			world.run(2 * reportInterval)
			world.load(3 * time.Second)
			bound := world.now.Add(leavingBound)
			test.sign(world)
			for _, hot := range []string{"villach", "krems", "steyr", "wels"} {
				world.shared = []string{hot, hot + " rules", hot + " orders"} // new prompts, which no engine holds
				world.load(2 * time.Second)
			}
			world.run(virtualMaxHold)
			check.Equal(len(world.open), 0)
			check.Equal(len(world.refused), 0) // the other engine took over
			check.True(startsOn(world.truth, "e-1", world.now) > 50)
			check.Equal(startsOn(world.truth, "e-1", world.now), startsOn(world.truth, "e-1", bound))
			for _, arrived := range world.arrivals {
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
