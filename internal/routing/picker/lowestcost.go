// Package picker holds the Picker plug-ins of a routing decision, one a file.
package picker

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
	"github.com/fieldpond/fieldpond/internal/routing/scorer"
)

// LowestCost picks the cheapest candidate. Candidates within a tolerance of it
// count as tied and the tie goes to the one that ranks highest for the
// prompt's leading blocks: small differences in what routers believe of load
// then do not scatter a prefix over engines.
type LowestCost struct {
	// Tolerance is the difference of cost that always counts as a tie.
	Tolerance time.Duration
	// ToleranceShare widens the tolerance to this share of the time to prefill
	// the whole prompt: what a scattered prefix would cost later on.
	ToleranceShare float64
	// DefaultPrefillPerToken is the slope of an engine that has not told its own.
	DefaultPrefillPerToken time.Duration
}

// Name implements framework.Picker.
func (LowestCost) Name() string { return "lowest-cost" }

// Pick implements framework.Picker.
func (p LowestCost) Pick(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) int {
	cheapest := candidates[0].Cost
	for index := range candidates {
		cheapest = min(cheapest, candidates[index].Cost)
	}
	return Highest(request, candidates, func(candidate *framework.Candidate) bool {
		return candidate.Cost-cheapest <= p.tolerance(request, candidate)
	})
}

func (p LowestCost) tolerance(request *framework.Request, candidate *framework.Candidate) time.Duration {
	slope := scorer.Slope(&candidate.Endpoint.Load, p.DefaultPrefillPerToken)
	share := time.Duration(p.ToleranceShare * float64(request.PromptTokens) * float64(slope))
	return max(p.Tolerance, share)
}

// Highest returns the index of the candidate among those wanted that ranks
// highest for the prompt's leading blocks; at least one must be wanted.
func Highest(request *framework.Request, candidates []framework.Candidate, wanted func(*framework.Candidate) bool) int {
	key, _ := rendezvous.Key(request)
	best, bestScore := -1, uint64(0)
	for index := range candidates {
		candidate := &candidates[index]
		if !wanted(candidate) {
			continue
		}
		score := rendezvous.Score(key, candidate.Endpoint.Engine)
		if best < 0 || rendezvous.RanksAbove(score, candidate.Endpoint.Engine, bestScore, candidates[best].Endpoint.Engine) {
			best, bestScore = index, score
		}
	}
	return best
}
