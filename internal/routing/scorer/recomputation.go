package scorer

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Recomputation adds the service's weight times the time that an endpoint would
// spend on tokens that the best permitted candidate has cached: from 0 for that
// candidate to weight times the whole prefill.
type Recomputation struct {
	// DefaultPrefillPerToken applies to an engine that has not reported its own.
	DefaultPrefillPerToken time.Duration
	// Floor is the least weight: recomputation always takes engine time from
	// other requests.
	Floor float64
}

// Name implements framework.Scorer.
func (Recomputation) Name() string { return "recomputation" }

// Score implements framework.Scorer.
func (s Recomputation) Score(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) {
	weight := max(request.RecomputationWeight, s.Floor)
	if weight <= 0 {
		return
	}
	best := 0.0
	for index := range candidates {
		best = max(best, candidates[index].CreditTokens)
	}
	for index := range candidates {
		candidate := &candidates[index]
		slope := Slope(&candidate.Endpoint.Load, s.DefaultPrefillPerToken)
		wasted := (best - candidate.CreditTokens) * float64(slope)
		candidate.Cost += time.Duration(weight * wasted)
	}
}
