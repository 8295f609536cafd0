package filter

import (
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Places keeps endpoints in a zone where the tenant's data may be. It is first
// in every pipeline. A request without zones is permitted nowhere.
type Places struct{}

// Name implements framework.Filter.
func (Places) Name() string { return "places" }

// Filter implements framework.Filter.
func (Places) Filter(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	var lastZone ident.Zone
	lastPermitted, cached := false, false
	return keep(candidates, func(candidate *framework.Candidate) bool {
		// Endpoints are usually grouped by zone: one lookup per group.
		if zone := candidate.Endpoint.Zone; !cached || zone != lastZone {
			lastZone, lastPermitted, cached = zone, request.Zones[zone], true
		}
		return lastPermitted
	})
}
