package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// Alive keeps endpoints that are believed alive and whose incarnation is known:
// a dispatch must state the expected incarnation.
type Alive struct{}

// Name implements framework.Filter.
func (Alive) Name() string { return "alive" }

// Filter implements framework.Filter.
func (Alive) Filter(_ *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	return keep(candidates, func(candidate *framework.Candidate) bool {
		return candidate.Endpoint.Alive && candidate.Endpoint.Incarnation != ""
	})
}
