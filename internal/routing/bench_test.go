package routing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// BenchmarkSchedule measures one decision on a fleet in which every endpoint is
// permitted, with constant credits, with and without a known generation.
func BenchmarkSchedule(b *testing.B) {
	for _, engines := range []int{12, 100, 860} {
		benchSchedule(b, engines, 0)
		benchSchedule(b, engines, 1)
	}
}

func benchSchedule(b *testing.B, engines int, generation uint64) {
	b.Run(fmt.Sprintf("engines=%d/generation=%d", engines, generation), func(b *testing.B) {
		request, snapshot := benchCase(engines)
		snapshot.Generation = generation
		scheduler, err := routing.NewPredictive(routing.Config{})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			if decision := scheduler.Schedule(request, snapshot); decision.Action != framework.Dispatch {
				b.Fatal(decision)
			}
		}
	})
}

func benchCase(engines int) (*framework.Request, *framework.Snapshot) {
	chain := prefix.ChainOf(1, strings.Repeat("rules ", 2000), blockTokens)
	request := &framework.Request{
		ID: "r", Model: "m", BlockTokens: blockTokens, PromptTokens: 3000, RecomputationWeight: 1,
		Versions: []ident.ModelVersion{"v"}, Chains: map[ident.ModelVersion]prefix.Chain{"v": chain},
		Zones: map[ident.Zone]bool{"z0": true, "z1": true, "z2": true},
	}
	snapshot := &framework.Snapshot{Credits: fixedCredits{}, Hop: func(ident.Zone) time.Duration { return time.Millisecond }}
	for index := range engines {
		snapshot.Endpoints = append(snapshot.Endpoints, framework.Endpoint{
			Engine: ident.Engine(fmt.Sprintf("engine-%03d", index)), Zone: ident.Zone(fmt.Sprintf("z%d", index*3/engines)),
			Alive: true, Incarnation: "i", Loaded: []framework.LoadedModel{{Model: "m", Version: "v"}},
			Load: framework.Load{QueuedPrefillTokens: float64(index * 7 % 100)},
		})
	}
	return request, snapshot
}

// BenchmarkScheduleWithBeliefs measures one decision with credits from a belief
// store in which every eighth engine has the prefix cached.
func BenchmarkScheduleWithBeliefs(b *testing.B) {
	for _, engines := range []int{12, 100, 860} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			request, snapshot := benchCase(engines)
			snapshot.Generation = 1
			now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
			store, err := beliefs.New(beliefs.Config{}, now)
			if err != nil {
				b.Fatal(err)
			}
			for index := range snapshot.Endpoints {
				endpoint := &snapshot.Endpoints[index]
				store.SetIncarnation(endpoint.Engine, endpoint.Incarnation)
				if index%8 == 0 {
					store.RecordAnswer(now, endpoint.Engine, endpoint.Incarnation, request.Chains["v"], 0)
				}
			}
			scheduler, err := routing.NewPredictive(routing.Config{})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				snapshot.Credits = store.At(now)
				if decision := scheduler.Schedule(request, snapshot); decision.Action != framework.Dispatch {
					b.Fatal(decision)
				}
			}
		})
	}
}
