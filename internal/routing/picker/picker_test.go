package picker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/picker"
)

func TestLowestCostBreaksNearTiesByRendezvous(t *testing.T) {
	is := is.New(t)
	request := &framework.Request{Versions: []ident.ModelVersion{""}, Chains: map[ident.ModelVersion]prefix.Chain{"": {1, 2, 3, 4, 5}}}
	list := make([]framework.Candidate, 5)
	for index := range list {
		list[index].Endpoint = &framework.Endpoint{Engine: ident.Engine(rune('a' + index))}
	}
	home := picker.Rendezvous{}.Pick(request, nil, list)
	other := (home + 1) % len(list)
	plugin := picker.LowestCost{Tolerance: 5 * time.Millisecond}
	for index := range list {
		list[index].Cost = 9 * time.Millisecond
	}
	list[other].Cost = 4 * time.Millisecond
	is.Equal(plugin.Pick(request, nil, list), home) // within the tolerance
	list[other].Cost--
	is.Equal(plugin.Pick(request, nil, list), other) // beyond it

	// Only the leading blocks of a prompt determine its home.
	request.Chains[""] = prefix.Chain{7, 8, 9, 4, 1000, 1001}
	is.Equal(picker.Rendezvous{}.Pick(request, nil, list), home)
	homes := map[int]bool{}
	for root := prefix.Hash(0); root < 64; root++ {
		request.Chains[""] = prefix.Chain{1, 2, 3, root}
		homes[picker.Rendezvous{}.Pick(request, nil, list)] = true
	}
	is.Equal(len(homes), len(list))
}

func TestBaselinePickers(t *testing.T) {
	is := is.New(t)
	list := []framework.Candidate{
		{Endpoint: &framework.Endpoint{Engine: "a", Load: framework.Load{Running: 2, Waiting: 1}}},
		{Endpoint: &framework.Endpoint{Engine: "b", Load: framework.Load{Running: 2, QueuedPrefillTokens: 7}}},
		{Endpoint: &framework.Endpoint{Engine: "c", Load: framework.Load{Running: 2, QueuedPrefillTokens: 5}}},
	}
	is.Equal(picker.LeastLoad{}.Pick(nil, nil, list), 2)
	turns := new(picker.RoundRobin)
	for turn := range 7 {
		is.Equal(turns.Pick(nil, nil, list), turn%3)
	}
}
