package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
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
		return r.trips.to(candidate.record.Zone, r.config.RegionHop)
	}
}

// spillPrice returns the price of a shared part at an engine that is not the home of its
// prompt, in times that it takes to read it there.
func (r *Registry) spillPrice(candidate, home *state) float64 {
	if home == nil || r.config.Regions.Same(candidate.record.Zone, home.record.Zone) {
		return spillPrice
	}
	return farSpillPrice
}

// trips are the round trips to other zones, as the openings of connections took them. An
// opening is one round trip and the work of the back end, so that the least of the last
// ones is closest to the truth.
type trips map[ident.Zone]time.Duration

const (
	// tripDrift is the part by which a round trip is taken to have become longer with
	// each opening that took longer, as a divisor: one that has doubled is believed
	// after 14 openings.
	tripDrift = 20
	// leastTrip and mostTrip bound a round trip that is believed: shorter ones are those
	// of one region, and an opening that took longer is a loss on the way.
	leastTrip = time.Millisecond
	mostTrip  = 400 * time.Millisecond
)

// observe takes in how long the opening of a connection to a zone took.
func (t trips) observe(zone ident.Zone, took time.Duration) {
	if took <= 0 || took > mostTrip {
		return
	}
	took = max(took, leastTrip)
	known, found := t[zone]
	if found {
		took = min(took, known+known/tripDrift)
	}
	t[zone] = took
}

// to returns the round trip to a zone, or the prior of one that was not measured.
func (t trips) to(zone ident.Zone, prior time.Duration) time.Duration {
	if known, found := t[zone]; found {
		return known
	}
	return prior
}

// ObserveConnect takes in how long the opening of a connection for the attempt took.
func (f *Attempt) ObserveConnect(took time.Duration) {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	f.registry.trips.observe(f.target.record.Zone, took)
}

// RoundTrips returns the round trips to zones as they were measured.
func (r *Registry) RoundTrips() map[ident.Zone]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	measured := make(map[ident.Zone]time.Duration, len(r.trips))
	for zone, trip := range r.trips {
		measured[zone] = trip
	}
	return measured
}
