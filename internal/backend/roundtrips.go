package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// hopCost returns the cost of the network distance to a back end.
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

// spillFactor returns the cost of a shared part at an engine that is not the prompt's home, in
// units of its prefill time.
func (r *Registry) spillFactor(candidate, home *state) float64 {
	if home == nil || r.config.Regions.Same(candidate.record.Zone, home.record.Zone) {
		return spillFactor
	}
	return farSpillFactor
}

// roundTrips are the round-trip times to other zones, taken from connection setups. A setup is
// one round trip plus work of the back end, so the least of the recent ones is the best
// estimate.
type roundTrips map[ident.Zone]time.Duration

const (
	// roundTripDrift bounds, as a divisor, by how much one longer setup raises an estimate.
	roundTripDrift = 20
	// minRoundTrip and maxRoundTrip bound an estimate: shorter round trips are those within one
	// region, and longer setups include packet loss.
	minRoundTrip = time.Millisecond
	maxRoundTrip = 400 * time.Millisecond
)

// observe records how long a connection setup to a zone took.
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

// estimate returns the round trip to a zone, or prior if none was measured.
func (t roundTrips) estimate(zone ident.Zone, prior time.Duration) time.Duration {
	if known, found := t[zone]; found {
		return known
	}
	return prior
}

// ObserveConnect records how long the connection setup for the attempt took.
func (a *Attempt) ObserveConnect(took time.Duration) {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	a.registry.roundTrips.observe(a.target.record.Zone, took)
}

// RoundTrips returns the measured round trips to zones.
func (r *Registry) RoundTrips() map[ident.Zone]time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	measured := make(map[ident.Zone]time.Duration, len(r.roundTrips))
	for zone, roundTrip := range r.roundTrips {
		measured[zone] = roundTrip
	}
	return measured
}
