package picker

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// Rendezvous picks the candidate that ranks highest for the prompt's leading
// blocks and ignores everything else.
type Rendezvous struct{}

// Name implements framework.Picker.
func (Rendezvous) Name() string { return "rendezvous" }

// Pick implements framework.Picker.
func (Rendezvous) Pick(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) int {
	return HighestRanked(request, candidates, func(*framework.Candidate) bool { return true })
}
