package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/region"
)

// hop returns the price of the way to a back end.
func (r *Registry) hop(candidate *state) time.Duration {
	switch r.config.Regions.Between(r.config.Zone, candidate.record.Zone) {
	case region.SameZone:
		return 0
	case region.SameRegion:
		return r.config.ZoneHop
	default:
		return r.config.RegionHop
	}
}
