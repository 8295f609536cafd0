package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// RoleDecode is the role of engines that should not prefill whole prompts.
const RoleDecode = "decode"

// Role drops engines of the role "decode" unless only such remain: a new request
// starts with a prefill, but the role is only the operator's preference.
type Role struct{}

// Name implements framework.Filter.
func (Role) Name() string { return "role" }

// Filter implements framework.Filter.
func (Role) Filter(_ *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	for index := range candidates {
		if candidates[index].Endpoint.Role != RoleDecode {
			return keep(candidates, func(candidate *framework.Candidate) bool {
				return candidate.Endpoint.Role != RoleDecode
			})
		}
	}
	return candidates
}
