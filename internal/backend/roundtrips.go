package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// hopCost returns the price of the way to a back end.
func (r *Registry) hopCost(candidate *state) time.Duration {
	switch r.config.Regions.Between(r.config.Zone, candidate.record.Zone) {
	case region.SameZone:
		return 0
	case region.SameRegion:
		return r.config.ZoneHop
	default:
		return r.roundTrips.estimate(candidate.record.Zone, r.config.RegionHop)
	}
}

// spillFactor returns the price of a shared part at an engine that is not the home of its
// prompt, in times that it takes to read it there.
func (r *Registry) spillFactor(candidate, home *state) float64 {
	if home == nil || r.config.Regions.Same(candidate.record.Zone, home.record.Zone) {
		return spillFactor
	}
	return farSpillFactor
}

// roundTrips are the round trips to other zones, as the openings of connections took them. An
// opening is one round trip and the work of the back end, so that the least of the last
// ones is closest to the truth.
type roundTrips map[ident.Zone]time.Duration

const (
	// roundTripDrift is the part by which a round trip is taken to have become longer with
	// each opening that took longer, as a divisor: one that has doubled is believed
	// after 14 openings.
	roundTripDrift = 20
	// minRoundTrip and maxRoundTrip bound a round trip that is believed: shorter ones are those
	// of one region, and an opening that took longer is a loss on the way.
	minRoundTrip = time.Millisecond
	maxRoundTrip = 400 * time.Millisecond
)

// observe takes in how long the opening of a connection to a zone took.
func (t roundTrips) observe(zone ident.Zone, took time.Duration) {
	if took <= 0 || took > maxRoundTrip {
		return
	}
	took = max(took, minRoundTrip)
	known, found := t[zone]
	if found {
		took = min(took, known+known/roundTripDrift)
	}
	t[zone] = took
}

// estimate returns the round trip to a zone, or the prior of one that was not measured.
func (t roundTrips) estimate(zone ident.Zone, prior time.Duration) time.Duration {
	if known, found := t[zone]; found {
		return known
	}
	return prior
}

// ObserveConnect takes in how long the opening of a connection for the attempt took.
func (a *Attempt) ObserveConnect(took time.Duration) {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	a.registry.roundTrips.observe(a.target.record.Zone, took)
}

// RoundTrips returns the round trips to zones as they were measured.
func (r *Registry) RoundTrips() map[ident.Zone]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	measured := make(map[ident.Zone]time.Duration, len(r.roundTrips))
	for zone, roundTrip := range r.roundTrips {
		measured[zone] = roundTrip
	}
	return measured
}
