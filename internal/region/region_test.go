package region_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

func TestTheDistanceOfZonesFollowsTheirRegions(t *testing.T) {
	three := region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b", "c1": "c"})
	tests := []struct {
		name  string
		zones region.Map
		a, b  ident.Zone
		want  region.Distance
	}{
		{"one zone", three, "a1", "a1", region.SameZone},
		{"one region", three, "a1", "a2", region.SameRegion},
		{"two regions", three, "a1", "b1", region.OtherRegion},
		{"a zone that is not named", three, "a1", "x1", region.OtherRegion},
		{"two zones that are not named", three, "x1", "x2", region.SameRegion},
		{"no region is named", region.Map{}, "a1", "b1", region.SameRegion},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.zones.Between(tt.a, tt.b), tt.want)
		})
	}
}

func TestSeveralRegionsAreTold(t *testing.T) {
	tests := []struct {
		name  string
		zones map[ident.Zone]ident.Region
		want  bool
	}{
		{"none", nil, false},
		{"one", map[ident.Zone]ident.Region{"a1": "a", "a2": "a"}, false},
		{"two", map[ident.Zone]ident.Region{"a1": "a", "b1": "b"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(region.NewMap(tt.zones).HasMultiple(), tt.want)
		})
	}
}
