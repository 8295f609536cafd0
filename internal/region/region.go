// Package region maps zones to regions, as configured. The cost of the way between two zones is
// measured elsewhere.
package region

import (
	"maps"
	"slices"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Map maps zones to regions. The zero Map is that of a fleet in one region. It is immutable and
// safe for concurrent use.
type Map struct {
	zones map[ident.Zone]ident.Region
}

// NewMap returns the map of these zones.
func NewMap(zones map[ident.Zone]ident.Region) Map { return Map{zones: maps.Clone(zones)} }

// Of returns the region of a zone. All zones that are not in the map lie in one region without
// a name.
func (m Map) Of(zone ident.Zone) ident.Region { return m.zones[zone] }

// Zones returns the zones in the map, sorted.
func (m Map) Zones() []ident.Zone { return slices.Sorted(maps.Keys(m.zones)) }

// Same reports whether two zones lie in one region.
func (m Map) Same(a, b ident.Zone) bool { return a == b || m.Of(a) == m.Of(b) }

// HasMultiple reports whether the zones in the map lie in more than one region.
func (m Map) HasMultiple() bool {
	var first ident.Region
	known := false
	for _, region := range m.zones {
		if known && region != first {
			return true
		}
		first, known = region, true
	}
	return false
}

// Distance is how far apart two zones are, in classes of network cost.
type Distance uint8

// The distances, from the nearest.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Between returns the distance of two zones.
func (m Map) Between(a, b ident.Zone) Distance {
	switch {
	case a == b:
		return SameZone
	case m.Same(a, b):
		return SameRegion
	default:
		return OtherRegion
	}
}

// String implements fmt.Stringer.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	default:
		return "other_region"
	}
}
