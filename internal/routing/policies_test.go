package routing_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// fixedCredits gives each engine a fixed number of blocks.
type fixedCredits map[ident.Engine]float64

func (c fixedCredits) Credit(engine ident.Engine, _ ident.Incarnation, _ prefix.Chain) float64 {
	return c[engine]
}

const blockTokens = 16

func policies(t testing.TB, exact framework.Credits) []framework.Scheduler {
	predictive, err := routing.NewPredictive(routing.Config{Window: 2})
	is.New(t).NoErr(err)
	oracle, err := routing.NewOracle(routing.Config{}, exact)
	is.New(t).NoErr(err)
	return []framework.Scheduler{predictive, oracle, routing.NewRoundRobin(), routing.NewLeastLoad(), routing.NewPrefixHash()}
}

func drawCase(t *rapid.T) (*framework.Request, *framework.Snapshot) {
	zones := rapid.SampledFrom([]ident.Zone{"cok", "trv", "ccj", "cnn"})
	versions := rapid.SampledFrom([]ident.ModelVersion{"v1", "v2", "v3"})
	request := &framework.Request{
		ID: "r", Model: "m", BlockTokens: blockTokens, PromptTokens: 800,
		Versions:            []ident.ModelVersion{"v2", "v1"},
		Zones:               map[ident.Zone]bool{zones.Draw(t, "place"): true, zones.Draw(t, "place"): true},
		Excluded:            map[ident.Engine]bool{"e0": rapid.Bool().Draw(t, "excluded")},
		RecomputationWeight: rapid.SampledFrom([]float64{0, 2}).Draw(t, "weight"),
		Chains:              map[ident.ModelVersion]prefix.Chain{},
	}
	for _, version := range request.Versions {
		salt := prefix.Namespace{Tenant: "t", Version: version}.Salt()
		request.Chains[version] = prefix.ChainOf(salt, rapid.StringN(200, 400, -1).Draw(t, "prompt"), blockTokens)
	}
	credits := fixedCredits{}
	snapshot := &framework.Snapshot{Credits: credits}
	for index := range rapid.IntRange(0, 12).Draw(t, "engines") {
		engine := ident.Engine(fmt.Sprintf("e%d", index))
		credits[engine] = rapid.Float64Range(0, 60).Draw(t, "credit")
		snapshot.Endpoints = append(snapshot.Endpoints, framework.Endpoint{
			Engine: engine, Zone: zones.Draw(t, "zone"), Incarnation: "i",
			Alive:    rapid.IntRange(0, 4).Draw(t, "alive") > 0,
			Draining: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			Loaded:   []framework.LoadedModel{{Model: "m", Version: versions.Draw(t, "version")}},
			Load: framework.Load{
				QueuedPrefillTokens: rapid.Float64Range(0, 9000).Draw(t, "queue"),
				OwnInFlight:         rapid.IntRange(0, 3).Draw(t, "own"), ConcurrencyLimit: 3,
			},
		})
	}
	return request, snapshot
}

// permitted is the rule that every decision is checked against, independent of
// the filters.
func permitted(request *framework.Request, endpoint framework.Endpoint) bool {
	return request.Zones[endpoint.Zone] && endpoint.Alive && !endpoint.Draining && !request.Excluded[endpoint.Engine] &&
		slices.Contains(request.Versions, endpoint.Loaded[0].Version)
}

func TestEveryPolicyObeysTheFilters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, snapshot := drawCase(t)
		anyPermitted, anyOpen := false, false
		for _, endpoint := range snapshot.Endpoints {
			ok := permitted(request, endpoint)
			anyPermitted = anyPermitted || ok
			anyOpen = anyOpen || ok && endpoint.Load.OwnInFlight < 3
		}
		for _, policy := range policies(&testing.T{}, snapshot.Credits) {
			decision := policy.Schedule(request, snapshot)
			switch {
			case !anyPermitted:
				if decision.Action != framework.Refuse {
					t.Fatalf("%s: %v without a permitted engine", policy.Name(), decision)
				}
			case !anyOpen:
				if decision.Action != framework.Hold {
					t.Fatalf("%s: %v with every engine at its limit", policy.Name(), decision)
				}
			default:
				chosen := decision.Chosen
				if decision.Action != framework.Dispatch || !permitted(request, *chosen.Endpoint) ||
					chosen.Endpoint.Load.OwnInFlight >= 3 || chosen.Version != chosen.Endpoint.Loaded[0].Version {
					t.Fatalf("%s: chose %+v", policy.Name(), chosen)
				}
			}
		}
	})
}

func TestEqualInputsGiveEqualDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, snapshot := drawCase(t)
		shuffled := *snapshot
		shuffled.Endpoints = rapid.Permutation(snapshot.Endpoints).Draw(t, "order")
		first, second := policies(&testing.T{}, snapshot.Credits), policies(&testing.T{}, snapshot.Credits)
		for _, index := range []int{0, 1, 3, 4} { // round robin depends on the order
			got, want := second[index].Schedule(request, &shuffled), first[index].Schedule(request, snapshot)
			got.Chosen.Endpoint, want.Chosen.Endpoint = clone(got.Chosen.Endpoint), clone(want.Chosen.Endpoint)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: %+v and %+v", first[index].Name(), got, want)
			}
		}
	})
}

func clone(endpoint *framework.Endpoint) *framework.Endpoint {
	if endpoint == nil {
		return nil
	}
	copied := *endpoint
	return &copied
}

// Without beliefs and with equal loads the choice equals that of prefix hashing.
func TestWithoutBeliefsChoosesByRendezvous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, snapshot := drawCase(t)
		snapshot.Credits = fixedCredits{}
		for index := range snapshot.Endpoints {
			snapshot.Endpoints[index].Load = framework.Load{}
		}
		all := policies(&testing.T{}, snapshot.Credits)
		got, want := all[0].Schedule(request, snapshot), all[4].Schedule(request, snapshot)
		if got.Action != want.Action || got.Chosen.Endpoint != want.Chosen.Endpoint {
			t.Fatalf("predictive %+v, rendezvous %+v", got, want)
		}
	})
}

// The shortlists of a known generation do not change decisions, even if the
// endpoints' liveness, roles and loads have changed since.
func TestShortlistsDoNotChangeDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, snapshot := drawCase(t)
		scheduler := policies(&testing.T{}, snapshot.Credits)[0]
		fresh := policies(&testing.T{}, snapshot.Credits)[0]
		for range 4 {
			snapshot.Generation = 0
			want := fresh.Schedule(request, snapshot)
			snapshot.Generation = 7
			if got := scheduler.Schedule(request, snapshot); !reflect.DeepEqual(got, want) {
				t.Fatalf("with shortlists %+v, without %+v", got, want)
			}
			for index := range snapshot.Endpoints {
				endpoint := &snapshot.Endpoints[index]
				endpoint.Alive = rapid.IntRange(0, 4).Draw(t, "alive") > 0
				endpoint.Load.OwnInFlight = rapid.IntRange(0, 3).Draw(t, "own")
				endpoint.Role = rapid.SampledFrom([]string{"decode", "mixed"}).Draw(t, "role")
			}
		}
	})
}

// A hot prefix gets a second home only once the wait at its home exceeds the
// recomputation; a higher weight delays that.
func TestHotPrefixGetsSecondHomeByCost(t *testing.T) {
	const promptTokens, held = 1600, 1520
	cases := []struct {
		name   string
		queue  float64
		weight float64
		want   ident.Engine
	}{
		{"short wait", 1000, 0, "home"},
		{"wait of one recomputation", held + 100, 0, "home"},
		{"wait above one and a quarter", 1.25*held + 100, 0, "second"},
		{"the weight keeps it at home", held + 100, 1, "home"},
		{"a long wait outweighs the weight", 2*held + 100, 1, "second"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request := &framework.Request{
				Model: "m", Versions: []ident.ModelVersion{"v"}, Zones: map[ident.Zone]bool{"z": true},
				BlockTokens: blockTokens, PromptTokens: promptTokens, RecomputationWeight: test.weight,
			}
			request.Chains = map[ident.ModelVersion]prefix.Chain{"v": make(prefix.Chain, promptTokens/blockTokens)}
			snapshot := &framework.Snapshot{Credits: fixedCredits{"home": held / blockTokens}}
			for _, engine := range []ident.Engine{"home", "second"} {
				snapshot.Endpoints = append(snapshot.Endpoints, framework.Endpoint{
					Engine: engine, Zone: "z", Alive: true, Incarnation: "i", Loaded: []framework.LoadedModel{{Model: "m", Version: "v"}},
				})
			}
			snapshot.Endpoints[0].Load.QueuedPrefillTokens = test.queue
			scheduler, err := routing.NewPredictive(routing.Config{TieShare: 0.001, TransferPerToken: time.Microsecond})
			is.NoErr(err)
			decision := scheduler.Schedule(request, snapshot)
			is.Equal(decision.Chosen.Endpoint.Engine, test.want)
			is.Equal(decision.BestCreditTokens, float64(held))
			is.Equal(decision.MoveFrom == "home", test.want == "second") // a cheap transfer replaces recomputing
		})
	}
}

// Engines outside the window are used when the whole window is at its limit or
// its queues are too long.
func TestOverloadedWindowWidens(t *testing.T) {
	for name, load := range map[string]framework.Load{
		"at the limit": {OwnInFlight: 3, ConcurrencyLimit: 3},
		"long queues":  {QueuedPrefillTokens: 50_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request, snapshot := benchCase(9)
			scheduler, err := routing.NewPredictive(routing.Config{Window: 2})
			is.NoErr(err)
			used := map[ident.Engine]bool{}
			for generation := range uint64(9) { // with a shortlist and without
				snapshot.Generation = generation % 2
				chosen := scheduler.Schedule(request, snapshot).Chosen
				used[chosen.Endpoint.Engine] = true
				chosen.Endpoint.Load = load
			}
			is.Equal(len(used), 9)
			is.Equal(scheduler.Schedule(request, snapshot).Action == framework.Hold, load.OwnInFlight > 0)
		})
	}
}

// Guards against data races in a scheduler shared by goroutines.
func TestSchedulerIsSharedByGoroutines(t *testing.T) {
	scheduler, err := routing.NewPredictive(routing.Config{Window: 4})
	is.New(t).NoErr(err)
	var group errgroup.Group
	for worker := range 8 {
		group.Go(func() error {
			request, snapshot := benchCase(40)
			for round := range 200 {
				request.Chains["v"] = prefix.Chain{1, 2, 3, prefix.Hash(round)}
				snapshot.Generation = uint64(round/50 + worker%2)
				if decision := scheduler.Schedule(request, snapshot); decision.Action != framework.Dispatch {
					return fmt.Errorf("worker %d: %v", worker, decision)
				}
			}
			return nil
		})
	}
	is.New(t).NoErr(group.Wait())
}

func TestConfigIsChecked(t *testing.T) {
	for _, config := range []routing.Config{{Window: -1}, {Window: 999}, {RecomputationFloor: -1}, {TieShare: 2}, {TransferPerToken: -1}} {
		_, err := routing.NewPredictive(config)
		is.New(t).True(fault.Is(err, fault.InvalidSettings))
	}
}

// A request waits for room at its prefix's home only while that is cheaper than
// recomputing the prefix on an engine that has room.
func TestHoldForHomeIsBoundedByRecomputation(t *testing.T) {
	const held = 1520 // tokens, 152 ms of prefill
	for _, test := range []struct {
		name     string
		priority int
		waited   time.Duration
		weight   float64
		want     ident.Engine // empty: held
	}{
		{"a short wait is cheaper than recomputing", 2, 0, 0.1, ""},
		{"a longer wait is not", 2, 80 * time.Millisecond, 0.1, "second"},
		{"the weight allows a longer wait", 2, 80 * time.Millisecond, 1, ""},
		{"an urgent request may use the reserve at home", 0, 0, 0.1, "home"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request := &framework.Request{
				Model: "m", Versions: []ident.ModelVersion{"v"}, Zones: map[ident.Zone]bool{"z": true}, Priority: test.priority,
				BlockTokens: blockTokens, PromptTokens: 1600, RecomputationWeight: test.weight, Waited: test.waited,
				Chains: map[ident.ModelVersion]prefix.Chain{"v": make(prefix.Chain, 100)},
			}
			snapshot := &framework.Snapshot{Credits: fixedCredits{"home": held / blockTokens}}
			for _, engine := range []ident.Engine{"home", "second"} {
				snapshot.Endpoints = append(snapshot.Endpoints, framework.Endpoint{
					Engine: engine, Zone: "z", Alive: true, Incarnation: "i", Loaded: []framework.LoadedModel{{Model: "m", Version: "v"}},
					Load: framework.Load{MaxRunning: 16},
				})
			}
			snapshot.Endpoints[0].Load.Running = 15
			scheduler, err := routing.NewPredictive(routing.Config{TieShare: 0.001, RecomputationFloor: 0.01, UrgentReserve: 0.5, SlotWait: 100 * time.Millisecond})
			is.NoErr(err)
			decision := scheduler.Schedule(request, snapshot)
			if test.want == "" {
				is.Equal(decision.Reason, framework.ReasonHome)
				return
			}
			is.Equal(decision.Action, framework.Dispatch)
			is.Equal(decision.Chosen.Endpoint.Engine, test.want)
		})
	}
}
