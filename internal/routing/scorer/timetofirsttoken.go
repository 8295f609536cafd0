// Package scorer holds the Scorer plug-ins of a routing decision.
// Every cost is a time; smaller is better.
package scorer

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// TimeToFirstToken predicts the time until the first token: the wait in the
// engine's queue, the prefill of uncached tokens, and the network time. It sets
// Candidate.Wait, Prefill and Hop and adds their sum to the cost.
type TimeToFirstToken struct {
	// DefaultPrefillPerToken applies to an engine that has not reported its own.
	DefaultPrefillPerToken time.Duration
	// RequestDuration is the assumed time a running request keeps its batch slot.
	RequestDuration time.Duration
}

// Name implements framework.Scorer.
func (TimeToFirstToken) Name() string { return "time-to-first-token" }

// Score implements framework.Scorer.
func (s TimeToFirstToken) Score(request *framework.Request, snapshot *framework.Snapshot, candidates []framework.Candidate) {
	for index := range candidates {
		candidate := &candidates[index]
		load := &candidate.Endpoint.Load
		slope := Slope(load, s.DefaultPrefillPerToken)
		missing := max(0, float64(request.PromptTokens)-candidate.CreditTokens)
		candidate.Wait = s.wait(load, slope)
		candidate.Prefill = time.Duration(missing * float64(slope))
		if snapshot.Hop != nil {
			candidate.Hop = snapshot.Hop(candidate.Endpoint.Zone)
		}
		candidate.Cost += candidate.TimeToFirstToken()
	}
}

// wait is the time to prefill the queue plus, if the batch is full, the time
// until a slot is free: MaxRunning slots become free per RequestDuration.
func (s TimeToFirstToken) wait(load *framework.Load, slope time.Duration) time.Duration {
	wait := time.Duration(max(0, load.QueuedPrefillTokens) * float64(slope))
	if load.MaxRunning > 0 && load.Running >= load.MaxRunning {
		ahead := load.Running - load.MaxRunning + load.Waiting + 1
		wait += s.RequestDuration * time.Duration(ahead) / time.Duration(load.MaxRunning)
	}
	return wait
}

// Slope returns the engine's own prefill time per token, or the fallback.
func Slope(load *framework.Load, fallback time.Duration) time.Duration {
	if load.PrefillPerToken > 0 {
		return load.PrefillPerToken
	}
	return fallback
}
