package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// Capacity keeps endpoints below their adaptive limit of this router's
// unanswered attempts. When it leaves none the request is held, not refused.
type Capacity struct{}

// Name implements framework.Filter.
func (Capacity) Name() string { return "capacity" }

// Filter implements framework.Filter.
func (Capacity) Filter(_ *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	return keep(candidates, func(candidate *framework.Candidate) bool {
		load := &candidate.Endpoint.Load
		return load.ConcurrencyLimit <= 0 || load.OwnInFlight < load.ConcurrencyLimit
	})
}
