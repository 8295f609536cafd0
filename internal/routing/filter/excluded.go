package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// Excluded drops engines that already refused or failed this request.
type Excluded struct{}

// Name implements framework.Filter.
func (Excluded) Name() string { return "excluded" }

// Filter implements framework.Filter.
func (Excluded) Filter(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	if len(request.Excluded) == 0 {
		return candidates
	}
	return keep(candidates, func(candidate *framework.Candidate) bool {
		return !request.Excluded[candidate.Endpoint.Engine]
	})
}
