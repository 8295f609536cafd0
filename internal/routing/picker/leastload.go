package picker

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// LeastLoad picks the candidate with the fewest running and waiting requests,
// then the fewest queued tokens; engine names break ties.
type LeastLoad struct{}

// Name implements framework.Picker.
func (LeastLoad) Name() string { return "least-load" }

// Pick implements framework.Picker.
func (LeastLoad) Pick(_ *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) int {
	best := 0
	for index := range candidates {
		if lessLoaded(candidates[index].Endpoint, candidates[best].Endpoint) {
			best = index
		}
	}
	return best
}

func lessLoaded(first, second *framework.Endpoint) bool {
	firstCount := first.Load.Running + first.Load.Waiting
	secondCount := second.Load.Running + second.Load.Waiting
	if firstCount != secondCount {
		return firstCount < secondCount
	}
	if first.Load.QueuedPrefillTokens != second.Load.QueuedPrefillTokens {
		return first.Load.QueuedPrefillTokens < second.Load.QueuedPrefillTokens
	}
	return first.Engine < second.Engine
}
