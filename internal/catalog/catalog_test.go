package catalog_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

func snapshot(version uint64) *catalog.Snapshot {
	return catalog.NewSnapshot(catalog.Content{
		Version: version,
		Routes: []catalog.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/", Kind: catalog.Safe},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Kind: catalog.Unsafe},
			{Name: "other", Host: "b.example", PathPrefix: "/", Kind: catalog.Streaming, Resumable: true},
		},
		Keys: map[string]*catalog.Tenant{"key": {Name: "tenant"}},
	})
}

func TestMatchLongestPrefix(t *testing.T) {
	cases := []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/yz/1", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z", ""},
		{"c.example", "/x/1", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			route := snapshot(1).Match(c.host, c.path)
			if c.route == "" {
				is.True(route == nil)
				return
			}
			is.Equal(route.Name, c.route)
		})
	}
}

func TestRetryable(t *testing.T) {
	cases := []struct {
		route catalog.Route
		want  bool
	}{
		{catalog.Route{Kind: catalog.Safe}, true},
		{catalog.Route{Kind: catalog.Unsafe}, false},
		{catalog.Route{Kind: catalog.Unsafe, Resumable: true}, false},
		{catalog.Route{Kind: catalog.Streaming}, false},
		{catalog.Route{Kind: catalog.Streaming, Resumable: true}, true},
	}
	for _, c := range cases {
		is.New(t).Equal(c.route.Retryable(), c.want)
	}
}

func TestAdoptIgnoresOlderVersions(t *testing.T) {
	is := is.New(t)
	var holder catalog.Holder
	start := time.Now()
	is.True(holder.Adopt(snapshot(5), start))
	is.True(!holder.Adopt(snapshot(3), start.Add(time.Second))) // an older version is ignored
	is.Equal(holder.View().Snapshot.Version, uint64(5))
	is.Equal(holder.View().ConfirmedAt, start) // it confirms nothing
	is.True(!holder.Adopt(snapshot(5), start.Add(2*time.Second)))
	is.Equal(holder.View().Age(start.Add(3*time.Second)), time.Second)
	is.True(!holder.Adopt(snapshot(5), start)) // a late answer does not reset the confirmation
	is.Equal(holder.View().ConfirmedAt, start.Add(2*time.Second))
	is.True(holder.Adopt(snapshot(9), start.Add(2*time.Second)))
}

func TestPublishedVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	var holder catalog.Holder
	model := ident.Model("m")
	is.True(holder.Published(model, catalog.Publication{Version: 2}))
	is.True(!holder.Published(model, catalog.Publication{Version: 2}))
	is.True(holder.Published(model, catalog.Publication{Version: 1})) // kept, but not as the newest
	is.True(!holder.Published(model, catalog.Publication{Version: 1}))
	before := holder.View()
	is.True(holder.Published(model, catalog.Publication{Version: 4}))
	is.Equal(before.Models[model].Version, 2) // a view never changes
	is.Equal(holder.View().Models[model].Version, 4)
	is.Equal(holder.View().Models[model].Publications, []catalog.Publication{{Version: 1}, {Version: 2}, {Version: 4}})
}

func TestSplitterMeetsSharesInShortRuns(t *testing.T) {
	is := is.New(t)
	splitter := catalog.NewSplitter()
	route := &catalog.Route{Name: "r", Split: []catalog.Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c"}}}
	for range 5 {
		count := map[ident.Service]int{}
		for range 10 {
			service, found := splitter.Next(route)
			is.True(found)
			count[service]++
		}
		is.Equal(count, map[ident.Service]int{"a": 9, "b": 1})
	}
	changed := &catalog.Route{Name: "r", Split: []catalog.Share{{Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	service, found := splitter.Next(changed)
	is.True(found)
	is.Equal(service, ident.Service("b"))
	_, found = splitter.Next(&catalog.Route{Name: "none", Split: []catalog.Share{{Service: "a"}, {Service: "b"}}})
	is.True(!found)
}

// Prompt cache stores share the prompts evenly, the same at every router; a prompt keeps its
// store when another one is removed.
func TestCacheStoresSharePromptsEvenly(t *testing.T) {
	is := is.New(t)
	store := func(name ident.Service) catalog.Service {
		return catalog.Service{Name: name, CacheStore: netip.MustParseAddrPort("10.0.0.1:1")}
	}
	of := func(services ...catalog.Service) *catalog.Snapshot {
		return catalog.NewSnapshot(catalog.Content{Version: 1, Services: services})
	}
	three := of(store("a"), catalog.Service{Name: "engines"}, store("b"), store("c"))
	other := of(store("c"), store("b"), store("a"))
	two := of(store("a"), store("b"))
	const prompts = 3000
	counts := map[ident.Service]int{}
	for key := range uint64(prompts) {
		name := three.CacheStore(region.Map{}, "", key).Name
		counts[name]++
		is.Equal(other.CacheStore(region.Map{}, "", key).Name, name)
		if name != "c" {
			is.Equal(two.CacheStore(region.Map{}, "", key).Name, name)
		}
	}
	for _, name := range []ident.Service{"a", "b", "c"} {
		is.True(counts[name] > prompts/4)
	}
	is.True(of(catalog.Service{Name: "engines"}).CacheStore(region.Map{}, "", 1) == nil)
}

// The store of a prompt is in the zone of its home, else in its region, else in any.
func TestCacheStorePrefersHomeZone(t *testing.T) {
	store := func(name ident.Service, zone ident.Zone) catalog.Service {
		return catalog.Service{Name: name, CacheStore: netip.MustParseAddrPort("10.0.0.1:1"), Zone: zone}
	}
	snapshot := catalog.NewSnapshot(catalog.Content{
		Version: 1, Services: []catalog.Service{store("a", "x"), store("b", "y"), store("c", "y")},
	})
	regions := region.NewMap(map[ident.Zone]ident.Region{"x": "west", "y": "east", "x2": "west", "y2": "east", "far": "north"})
	tests := []struct {
		name    string
		regions region.Map
		zone    ident.Zone
		want    []ident.Service
	}{
		{"in the zone", region.Map{}, "x", []ident.Service{"a"}},
		{"two in the zone", region.Map{}, "y", []ident.Service{"b", "c"}},
		{"none in the zone", region.Map{}, "z", []ident.Service{"a", "b", "c"}},
		{"in the zone, of several regions", regions, "x", []ident.Service{"a"}},
		{"in the region", regions, "x2", []ident.Service{"a"}},
		{"two in the region", regions, "y2", []ident.Service{"b", "c"}},
		{"none in the region", regions, "far", []ident.Service{"a", "b", "c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			used := map[ident.Service]bool{}
			for key := range uint64(100) {
				used[snapshot.CacheStore(tt.regions, tt.zone, key).Name] = true
			}
			is.Equal(len(used), len(tt.want))
			for _, name := range tt.want {
				is.True(used[name])
			}
		})
	}
}
