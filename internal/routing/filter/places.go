package filter

import (
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Places keeps endpoints in a zone where the tenant's data may be. It stands
// first in every pipeline. A request without zones is permitted nowhere.
type Places struct{}

// Name implements framework.Filter.
func (Places) Name() string { return "places" }

// Filter implements framework.Filter.
func (Places) Filter(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	var lastZone ident.Zone
	lastPermitted, looked := false, false
	return keep(candidates, func(candidate *framework.Candidate) bool {
		// Endpoints usually come grouped by zone: one lookup a group.
		if zone := candidate.Endpoint.Zone; !looked || zone != lastZone {
			lastZone, lastPermitted, looked = zone, request.Zones[zone], true
		}
		return lastPermitted
	})
}
