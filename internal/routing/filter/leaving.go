package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// Leaving keeps endpoints that show no sign of leaving.
type Leaving struct{}

// Name implements framework.Filter.
func (Leaving) Name() string { return "leaving" }

// Filter implements framework.Filter.
func (Leaving) Filter(_ *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	return keep(candidates, func(candidate *framework.Candidate) bool { return !candidate.Endpoint.Draining })
}
