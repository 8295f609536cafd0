package filter_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/routing/filter"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

func serving(version ident.ModelVersion, adapters ...ident.Adapter) []framework.LoadedModel {
	return []framework.LoadedModel{{Model: "m", Version: version, Adapters: adapters}}
}

// Each case lists a filter's endpoints and the names of those that remain.
func TestFilters(t *testing.T) {
	request := &framework.Request{
		Model:    "m",
		Versions: []ident.ModelVersion{"v2", "v1"},
		Adapter:  "tariff",
		Zones:    map[ident.Zone]bool{"cok": true, "trv": true, "ccj": false},
		Excluded: map[ident.Engine]bool{"b": true},
	}
	cases := []struct {
		filter    framework.Filter
		endpoints []framework.Endpoint
		kept      string
	}{
		{filter.Places{}, []framework.Endpoint{{Engine: "a", Zone: "cok"}, {Engine: "b", Zone: "cnn"}, {Engine: "c", Zone: "ccj"}, {Engine: "d", Zone: "trv"}, {Engine: "e"}}, "ad"},
		{filter.Alive{}, []framework.Endpoint{{Engine: "a", Alive: true, Incarnation: "1"}, {Engine: "b", Incarnation: "1"}, {Engine: "c", Alive: true}}, "a"},
		{filter.Draining{}, []framework.Endpoint{{Engine: "a", Draining: true}, {Engine: "b"}}, "b"},
		{filter.Excluded{}, []framework.Endpoint{{Engine: "a"}, {Engine: "b"}, {Engine: "c"}}, "ac"},
		{filter.Role{}, []framework.Endpoint{{Engine: "a", Role: "decode"}, {Engine: "b", Role: "mixed"}, {Engine: "c", Role: "prefill"}}, "bc"},
		{filter.Role{}, []framework.Endpoint{{Engine: "a", Role: "decode"}, {Engine: "b", Role: "decode"}}, "ab"},
		{filter.Capacity{}, []framework.Endpoint{
			{Engine: "a", Load: framework.Load{OwnInFlight: 2, ConcurrencyLimit: 2}},
			{Engine: "b", Load: framework.Load{OwnInFlight: 1, ConcurrencyLimit: 2}},
			{Engine: "c", Load: framework.Load{OwnInFlight: 9}},
		}, "bc"},
		{filter.Version{}, []framework.Endpoint{
			{Engine: "a", Loaded: serving("v1", "tariff")},
			{Engine: "b", Loaded: serving("v0", "tariff")},
			{Engine: "c", Loaded: serving("v2", "other")},
			{Engine: "d", Loaded: append(serving("v1", "tariff"), serving("v2", "tariff")...)},
			{Engine: "e", Loaded: []framework.LoadedModel{{Model: "n", Version: "v2", Adapters: []ident.Adapter{"tariff"}}}},
			{Engine: "f", Loaded: append(serving("v2"), serving("v1", "tariff")...)},
		}, "a:v1 d:v2 f:v1"},
	}
	for _, test := range cases {
		t.Run(test.filter.Name(), func(t *testing.T) {
			kept := test.filter.Filter(request, nil, candidates(test.endpoints))
			is.New(t).Equal(names(kept), test.kept)
		})
	}
}

func TestReserveByPriority(t *testing.T) {
	load := framework.Load{Running: 7, Waiting: 1, MaxRunning: 16}
	for _, test := range []struct {
		reserve  float64
		priority int
		pass     bool
		kept     string
	}{
		{0.5, 0, false, "ab"}, {0.5, 1, false, "ab"}, {0.5, 2, false, "b"}, {0.5, 9, false, "b"},
		{0.5, 9, true, "ab"}, {0.4, 9, false, "ab"}, {0, 9, false, "ab"}, {1, 1, false, "b"},
	} {
		request := &framework.Request{Priority: test.priority, BypassReserve: test.pass}
		endpoints := []framework.Endpoint{{Engine: "a", Load: load}, {Engine: "b", Load: framework.Load{Running: 99}}} // b reports no limit
		kept := filter.Capacity{Reserve: test.reserve}.Filter(request, nil, candidates(endpoints))
		is.New(t).Equal(names(kept), test.kept)
	}
}

// The window does not depend on the input order, and a larger window contains a
// smaller one.
func TestWindowIsOrderIndependentAndNested(t *testing.T) {
	is := is.New(t)
	var endpoints, reversed []framework.Endpoint
	for name := 'A'; name <= 'z'; name++ {
		endpoints = append(endpoints, framework.Endpoint{Engine: ident.Engine(name)})
		reversed = append([]framework.Endpoint{{Engine: ident.Engine(name)}}, reversed...)
	}
	previous := ""
	for size := 1; size <= 20; size++ {
		request := &framework.Request{Versions: []ident.ModelVersion{"v"}}
		request.Chains = map[ident.ModelVersion]prefix.Chain{"v": {1, 2, 3, 99, 5}}
		kept := names(filter.Window{Size: size}.Filter(request, nil, candidates(endpoints)))
		is.Equal(len(kept), size)
		for _, engine := range names(filter.Window{Size: size}.Filter(request, nil, candidates(reversed))) {
			is.True(strings.ContainsRune(kept, engine))
		}
		for _, engine := range previous {
			is.True(strings.ContainsRune(kept, engine))
		}
		previous = kept
	}
}

func candidates(endpoints []framework.Endpoint) []framework.Candidate {
	list := make([]framework.Candidate, len(endpoints))
	for index := range endpoints {
		list[index].Endpoint = &endpoints[index]
	}
	return list
}

// names joins the engines' names, with versions where they are set.
func names(list []framework.Candidate) string {
	var joined strings.Builder
	for _, candidate := range list {
		joined.WriteString(string(candidate.Endpoint.Engine))
		if candidate.Version != "" {
			joined.WriteString(":" + string(candidate.Version) + " ")
		}
	}
	return strings.TrimSpace(joined.String())
}
