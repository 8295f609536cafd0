// Package picker holds the Picker plug-ins of a routing decision.
package picker

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
	"github.com/fieldpond/fieldpond/internal/routing/scorer"
)

// LowestCost picks the cheapest candidate. Of candidates within a tolerance of it
// the one that ranks highest for the prompt's leading blocks wins, so that small
// differences in the routers' load estimates do not spread a prefix over engines.
type LowestCost struct {
	// Tolerance is the cost difference that always counts as a tie.
	Tolerance time.Duration
	// ToleranceShare widens the tolerance to this share of the time to prefill
	// the whole prompt, the later cost of spreading a prefix.
	ToleranceShare float64
	// DefaultPrefillPerToken applies to an engine that has not reported its own.
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
	return HighestRanked(request, candidates, func(candidate *framework.Candidate) bool {
		return candidate.Cost-cheapest <= p.tolerance(request, candidate)
	})
}

func (p LowestCost) tolerance(request *framework.Request, candidate *framework.Candidate) time.Duration {
	slope := scorer.Slope(&candidate.Endpoint.Load, p.DefaultPrefillPerToken)
	share := time.Duration(p.ToleranceShare * float64(request.PromptTokens) * float64(slope))
	return max(p.Tolerance, share)
}

// HighestRanked returns the index of the accepted candidate that ranks highest
// for the prompt's leading blocks; at least one must be accepted.
func HighestRanked(request *framework.Request, candidates []framework.Candidate, accept func(*framework.Candidate) bool) int {
	key, _ := rendezvous.Key(request)
	best, bestScore := -1, uint64(0)
	for index := range candidates {
		candidate := &candidates[index]
		if !accept(candidate) {
			continue
		}
		score := rendezvous.Score(key, candidate.Endpoint.Engine)
		if best < 0 || rendezvous.RanksAbove(score, candidate.Endpoint.Engine, bestScore, candidates[best].Endpoint.Engine) {
			best, bestScore = index, score
		}
	}
	return best
}
