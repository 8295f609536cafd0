package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/mechanism"
)

const startSlots = 20

// newStartedRegistry returns the registry of a router that has started before one back end.
func newStartedRegistry(disabled mechanism.Disabled) *Registry {
	registry := NewRegistry(Config{Zone: "z", Disabled: disabled})
	registry.ApplyList(modelStart, []Record{{Instance: "b", Service: "s", Zone: "z", Slots: startSlots}})
	return registry
}

// fill sends as many attempts as this router may have at once, at most startSlots.
func fill(registry *Registry, now time.Time, routers int) (attempts []*Attempt) {
	for range startSlots {
		_, attempt, found := registry.Pick(now, &Query{Service: "s", Routers: routers})
		if !found {
			return attempts
		}
		attempts = append(attempts, attempt)
	}
	return attempts
}

func answer(registry *Registry, now time.Time, brittleness Brittleness) {
	registry.ObserveAdvertised(now, "b", now, Advertised{Brittleness: brittleness}, SourceAnswer)
}

// Guards against a burst of a router that starts, before any answer can state that back ends are
// brittle.
func TestStartingRouterUsesItsPartOfTheRoomUntilAnAnswer(t *testing.T) {
	is := is.New(t)
	registry := newStartedRegistry(mechanism.Disabled{})
	attempts := fill(registry, modelStart, 4)
	is.True(len(attempts) == 4 || len(attempts) == 5) // 0.9 of 20 slots, divided by 4
	answer(registry, modelStart, Brittleness{})
	is.Equal(len(attempts)+len(fill(registry, modelStart, 4)), startSlots+len(attempts))

	disabled, err := mechanism.ParseDisabled([]string{string(mechanism.BrittleRoom)})
	is.NoErr(err)
	registry = newStartedRegistry(disabled)
	is.Equal(len(fill(registry, modelStart, 4)), startSlots)
}

// Guards against a router without a place that never sends the request whose answer would end the
// bound.
func TestStartingRouterWithoutAPlaceSendsOneAttempt(t *testing.T) {
	is := is.New(t)
	for range 20 {
		registry := newStartedRegistry(mechanism.Disabled{})
		placed := len(fill(registry, modelStart, 1000))
		is.True(placed <= 1)
		is.Equal(placed+len(fill(registry, modelStart.Add(trialDelay+trialSpread), 1000)), 1)
	}
}

// Guards against a burst after a quiet time, in which no answer stated that back ends are brittle.
func TestBrittleBackendsStayKnownWithoutAnswers(t *testing.T) {
	is := is.New(t)
	registry := newStartedRegistry(mechanism.Disabled{})
	answer(registry, modelStart, Brittleness{Brittle: true})
	later := modelStart.Add(time.Hour)
	is.True(len(fill(registry, later, 4)) <= 5)

	answer(registry, later, Brittleness{})
	soon, settled := later.Add(brittleTTL/2), later.Add(brittleTTL)
	is.True(registry.overloads["s"].brittleAt(soon))
	is.True(!registry.overloads["s"].brittleAt(settled))
	answer(registry, soon, Brittleness{Brittle: true})
	is.True(registry.overloads["s"].brittleAt(settled))
}

func TestReportsDoNotShowThatBackendsAreSound(t *testing.T) {
	is := is.New(t)
	registry := newStartedRegistry(mechanism.Disabled{})
	registry.ObserveAdvertised(modelStart, "b", modelStart, Advertised{}, SourceReport)
	is.Equal(len(registry.Overloads(modelStart)), 0)
	change := registry.ObserveAdvertised(modelStart, "b", modelStart, Advertised{Brittleness: Brittleness{Brittle: true, MaxRefusals: 3}}, SourceReport)
	is.True(change.BecameBrittle)
	is.Equal(registry.Overloads(modelStart), []ServiceOverload{{Service: "s", Brittle: true, MaxRefusals: 3}})
}

// Guards against a bound at a router that joins others, which know how back ends bear overload.
func TestPeersTellHowBackendsBearOverload(t *testing.T) {
	is := is.New(t)
	peer := newStartedRegistry(mechanism.Disabled{})
	answer(peer, modelStart, Brittleness{})
	joining := newStartedRegistry(mechanism.Disabled{})
	joining.ApplyOverloads(modelStart, peer.Overloads(modelStart))
	is.Equal(len(fill(joining, modelStart, 4)), startSlots)

	answer(peer, modelStart, Brittleness{Brittle: true, MaxRefusals: 10})
	joining = newStartedRegistry(mechanism.Disabled{})
	joining.ApplyOverloads(modelStart, peer.Overloads(modelStart))
	placed := len(fill(joining, modelStart, 4))
	is.True(placed == 5 || placed == 6) // 0.9 of 20 slots and 5 refusals, divided by 4

	// What this router has observed itself goes before what peers tell.
	joining.ApplyOverloads(modelStart, []ServiceOverload{{Service: "s"}})
	is.True(joining.overloads["s"].brittleAt(modelStart))
}

// Guards against invalid notices of other routers.
func TestInvalidOverloadsAreIgnored(t *testing.T) {
	is := is.New(t)
	registry := newStartedRegistry(mechanism.Disabled{})
	registry.ApplyOverloads(modelStart, []ServiceOverload{{Service: "unlisted", Brittle: true}, {Service: "s", Brittle: true, MaxRefusals: -1}})
	is.Equal(registry.Overloads(modelStart), []ServiceOverload{{Service: "s", Brittle: true}})
}

// Guards against a collapse after a start of all routers: none of them knows the back ends, and all
// clients come back at once.
func TestBrittleBackendsOutliveAStartOfAllRouters(t *testing.T) {
	for _, routers := range []int{2, 7, 40, 300} {
		for seed := range uint64(5) {
			m := newBrittleModel(seed, routers, 8, mechanism.Disabled{})
			m.startAll = []time.Duration{5 * time.Second, 5800 * time.Millisecond, 9 * time.Second}
			m.run(1.5, false)
			falls := 0
			for _, target := range m.backends {
				falls += target.falls
			}
			t.Logf("%d routers, seed %d: %d falls, %d of %d served", routers, seed, falls, m.served, m.sent)
			if allowed := maxFalls + maxFallsShare*brittleBackends; float64(falls) > allowed {
				t.Errorf("%d routers, seed %d: %d falls, %.1f allowed", routers, seed, falls, allowed)
			}
		}
	}
}
