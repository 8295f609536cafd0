package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// regions are three regions of two zones each.
var regions = region.NewMap(map[ident.Zone]ident.Region{
	"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c",
})

// engineIn returns an engine of a zone.
func engineIn(zone ident.Zone, name ident.Incarnation) backend.Record {
	record := engine(name, 1)
	record.Zone = zone
	return record
}

// application returns a back end of a zone that runs no model.
func application(zone ident.Zone) backend.Record {
	record := engineIn(zone, ident.Incarnation("app-"+zone))
	record.Slots, record.Models = 6, nil
	return record
}

// regional returns the registry of a router in a zone.
func regional(zone ident.Zone, records ...backend.Record) *backend.Registry {
	known := backend.NewRegistry(backend.Config{Zone: zone, Regions: regions})
	known.ApplyList(start, records)
	return known
}

// A request goes to the nearest back end that may take it, and over the border of the
// region only when nobody in it may.
func TestTheNearestBackEndThatMayTakeItIsChosen(t *testing.T) {
	request := &backend.Query{Service: "s", Expected: 50 * time.Millisecond}
	tests := []struct {
		name string
		// full are the zones whose back ends refused lately.
		full []ident.Zone
		// open is the number of requests of this router that each back end works on.
		open int
		want []ident.Zone
	}{
		{"all free", nil, 0, []ident.Zone{"a1"}},
		{"a request in each", nil, 1, []ident.Zone{"a1"}},
		{"own zone full", []ident.Zone{"a1"}, 0, []ident.Zone{"a2"}},
		{"own region full", []ident.Zone{"a1", "a2"}, 0, []ident.Zone{"b1", "b2", "c1", "c2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var records []backend.Record
			for _, zone := range []ident.Zone{"a1", "a2", "b1", "b2", "c1", "c2"} {
				records = append(records, application(zone))
			}
			known := regional("a1", records...)
			for range tt.open * len(records) {
				pick(t, known, start, request)
			}
			for _, zone := range tt.full {
				only := *request
				for _, record := range records {
					if record.Zone != zone {
						only.Excluded = append(only.Excluded, record.Instance)
					}
				}
				_, flight := pick(t, known, start, &only)
				flight.End(start, backend.Refused)
			}
			choice, _ := pick(t, known, start.Add(time.Millisecond), request)
			found := false
			for _, zone := range tt.want {
				found = found || choice.Zone == zone
			}
			is.True(found)
		})
	}
}

// Some requests under way in the own region don't drive one over its border: the way there
// and back takes longer than they put it off.
func TestAFewOpenRequestsDoNotDriveOverABorder(t *testing.T) {
	is := is.New(t)
	known := regional("a1", application("a1"), application("b1"))
	request := &backend.Query{Service: "s", Expected: 50 * time.Millisecond}
	for range 4 {
		choice, _ := pick(t, known, start, request)
		is.Equal(choice.Zone, ident.Zone("a1"))
	}
}

// The price of a way over a border is the round trip that was measured.
func TestTheWayToAnotherRegionIsMeasured(t *testing.T) {
	tests := []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"never", nil, 0},
		{"an open connection was used", []time.Duration{0}, 0},
		{"once", []time.Duration{70 * time.Millisecond}, 70 * time.Millisecond},
		{"the least counts", []time.Duration{90 * time.Millisecond, 70 * time.Millisecond}, 70 * time.Millisecond},
		{"a longer one is believed by and by", []time.Duration{20 * time.Millisecond, 90 * time.Millisecond}, 21 * time.Millisecond},
		{"a loss on the way", []time.Duration{70 * time.Millisecond, time.Second}, 70 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := regional("a1", application("b1"))
			_, flight := pick(t, known, start, &backend.Query{Service: "s"})
			for _, took := range tt.took {
				flight.ObserveConnect(took)
			}
			is.Equal(known.RoundTrips()["b1"], tt.want)
		})
	}
}

// Of two other regions the nearer one is chosen.
func TestTheNearerOfTwoRegionsIsChosen(t *testing.T) {
	for _, far := range []ident.Zone{"b1", "c1"} {
		t.Run(string(far), func(t *testing.T) {
			is := is.New(t)
			known := regional("a1", application("b1"), application("c1"))
			for _, zone := range []ident.Zone{"b1", "c1"} {
				only := &backend.Query{Service: "s", Excluded: []ident.Incarnation{"app-b1", "app-c1"}}
				only.Excluded = only.Excluded[:0]
				for _, other := range []ident.Zone{"b1", "c1"} {
					if other != zone {
						only.Excluded = append(only.Excluded, ident.Incarnation("app-"+other))
					}
				}
				_, flight := pick(t, known, start, only)
				took := 40 * time.Millisecond
				if zone == far {
					took = 80 * time.Millisecond
				}
				flight.ObserveConnect(took)
				flight.End(start, backend.Answered)
			}
			choice, _ := pick(t, known, start, &backend.Query{Service: "s"})
			is.True(choice.Zone != far)
		})
	}
}

// fleet returns engines of the three regions, of each zone so many.
func fleet(counts map[ident.Zone]int) []backend.Record {
	var records []backend.Record
	for _, zone := range []ident.Zone{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for number := range counts[zone] {
			records = append(records, engineIn(zone, ident.Incarnation(fmt.Sprint(zone, "-", number))))
		}
	}
	return records
}

// homes returns the home that a router chooses for each of many prompts, by their keys.
func homes(known *backend.Registry, prompts uint64) map[uint64]ident.Zone {
	chosen := make(map[uint64]ident.Zone)
	for key := uint64(1); key <= prompts; key++ {
		// A long part brings the request home from any place.
		wanted := &backend.Query{Service: "s", Model: model, HomeKey: key * 0x9e3779b97f4a7c15, SharedTokens: 60_000, OwnTokens: 1}
		choice, flight, found := known.Pick(start, wanted)
		if found && choice.Home {
			chosen[key] = choice.Zone
		}
		if found {
			flight.End(start, backend.Answered)
		}
	}
	return chosen
}

const manyPrompts = 600

// Routers of all regions agree on the homes of prompts, and each region has its share.
func TestHomesAreSharedByAllRegions(t *testing.T) {
	is := is.New(t)
	records := fleet(map[ident.Zone]int{"a1": 2, "a2": 4, "b1": 6, "b2": 6, "c1": 12})
	first := homes(regional("a1", records...), manyPrompts)
	is.Equal(len(first), manyPrompts)
	is.Equal(homes(regional("c2", records...), manyPrompts), first)
	shares := map[ident.Region]int{}
	for _, zone := range first {
		shares[regions.Of(zone)]++
	}
	for place, want := range map[ident.Region]int{"a": 120, "b": 240, "c": 240} {
		is.True(shares[place] > want*3/4) // the share of its engines
		is.True(shares[place] < want*5/4)
	}
}

// Who stands in for a home that is silent or gone is in its region, where the store
// that keeps its prompts is.
func TestWhoStandsInForAHomeIsInItsRegion(t *testing.T) {
	whole := fleet(map[ident.Zone]int{"a1": 5, "a2": 5, "b1": 5, "b2": 5, "c1": 5, "c2": 5})
	// Each region loses two engines of ten.
	var left []backend.Record
	var lost []ident.Incarnation
	for index, record := range whole {
		if index%5 == 0 {
			lost = append(lost, record.Instance)
		} else {
			left = append(left, record)
		}
	}
	tests := []struct {
		name string
		lose func(known *backend.Registry)
	}{
		{"silent", func(known *backend.Registry) { known.PeerSilent(start, lost) }},
		{"gone", func(known *backend.Registry) { known.ApplyList(start.Add(time.Second), left) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := homes(regional("a1", whole...), manyPrompts)
			known := regional("a1", whole...)
			tt.lose(known)
			after := homes(known, manyPrompts)
			is.Equal(len(after), manyPrompts)
			for key, zone := range before {
				is.True(regions.Same(after[key], zone))
			}
		})
	}
}

// A region all of whose engines are silent keeps its prompts' homes elsewhere meanwhile.
func TestARegionThatIsSilentIsPassedOver(t *testing.T) {
	is := is.New(t)
	records := fleet(map[ident.Zone]int{"a1": 3, "b1": 3, "c1": 3})
	known := regional("a1", records...)
	known.PeerSilent(start, []ident.Incarnation{"b1-0", "b1-1", "b1-2"})
	for _, zone := range homes(known, manyPrompts) {
		is.True(zone != "b1")
	}
}

// In a fleet of one region homes are those of the engines' own ranking, with or without
// a name for the region.
func TestOneRegionChangesNoHome(t *testing.T) {
	is := is.New(t)
	records := fleet(map[ident.Zone]int{"a1": 4, "a2": 4})
	named := regional("a1", records...)
	plain := backend.NewRegistry(backend.Config{Zone: "a1"})
	plain.ApplyList(start, records)
	one := backend.NewRegistry(backend.Config{
		Zone: "a1", Regions: region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "a2": "a"}),
	})
	one.ApplyList(start, records)
	is.Equal(homes(one, manyPrompts), homes(plain, manyPrompts))
	is.Equal(len(homes(named, manyPrompts)), manyPrompts)
}

// A short shared part is read anew near by rather than sent to a home in another region; a
// long one is worth the way.
func TestALongPartIsWorthTheWayToItsHome(t *testing.T) {
	tests := []struct {
		name   string
		shared int
		home   bool
	}{{"short", 200, false}, {"long", 6000, true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			records := fleet(map[ident.Zone]int{"a1": 3, "b1": 3, "c1": 3})
			for key, zone := range homes(regional("a1", records...), 40) {
				if zone == "a1" {
					continue
				}
				wanted := &backend.Query{Service: "s", Model: model, HomeKey: key * 0x9e3779b97f4a7c15, SharedTokens: tt.shared, OwnTokens: 500}
				choice, _ := pick(t, regional("a1", records...), start, wanted)
				is.Equal(choice.Home, tt.home)
				is.Equal(choice.Zone == zone, tt.home)
			}
		})
	}
}

// Prompts with one region key have their homes in one region, at several of its engines;
// those with others are spread over all.
func TestARegionKeyDrawsTheRegionOfHomes(t *testing.T) {
	is := is.New(t)
	records := fleet(map[ident.Zone]int{"a1": 3, "a2": 3, "b1": 3, "b2": 3, "c1": 3, "c2": 3})
	places := map[ident.Region]bool{}
	for family := uint64(1); family <= 12; family++ {
		engines, regionsOfFamily := map[ident.Incarnation]bool{}, map[ident.Region]bool{}
		known := regional("a1", records...)
		for key := uint64(1); key <= 30; key++ {
			wanted := &backend.Query{
				Service: "s", Model: model, HomeKey: key * 0x9e3779b97f4a7c15, RegionKey: family * 0x9e3779b97f4a7c15,
				SharedTokens: 60_000, OwnTokens: 1,
			}
			choice, flight := pick(t, known, start, wanted)
			is.True(choice.Home)
			flight.End(start, backend.Answered)
			engines[choice.Instance] = true
			regionsOfFamily[regions.Of(choice.Zone)] = true
		}
		is.Equal(len(regionsOfFamily), 1)
		is.True(len(engines) >= 4) // of six
		for place := range regionsOfFamily {
			places[place] = true
		}
	}
	is.Equal(len(places), 3)
}
