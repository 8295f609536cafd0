package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// Draining drops endpoints that are draining.
type Draining struct{}

// Name implements framework.Filter.
func (Draining) Name() string { return "leaving" }

// Filter implements framework.Filter.
func (Draining) Filter(_ *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	return keep(candidates, func(candidate *framework.Candidate) bool { return !candidate.Endpoint.Draining })
}
