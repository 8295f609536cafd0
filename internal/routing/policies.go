package routing

import (
	"github.com/fieldpond/fieldpond/internal/routing/filter"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/picker"
	"github.com/fieldpond/fieldpond/internal/routing/scorer"
)

// NewPredictive returns the scheduler that minimises predicted time to first
// token plus weighted recomputation, or a *fault.Fault for invalid settings.
func NewPredictive(config Config) (*Pipeline, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config = withDefaults(config)
	slope := config.DefaultPrefillPerToken
	pipeline := newPipeline("predictive",
		picker.LowestCost{Tolerance: config.TieTolerance, ToleranceShare: config.TieShare, DefaultPrefillPerToken: slope},
		scorer.TimeToFirstToken{DefaultPrefillPerToken: slope, RequestDuration: config.RequestDuration},
		scorer.Recomputation{DefaultPrefillPerToken: slope, Floor: config.RecomputationFloor})
	pipeline.window = filter.Window{Size: config.Window}
	pipeline.shortlists.size = shortlistFactor * config.Window
	pipeline.capacity = filter.Capacity{Reserve: config.UrgentReserve}
	pipeline.slotWait = max(0, config.SlotWait)
	pipeline.usesCredits = true
	pipeline.mover = mover{perToken: config.TransferPerToken, minTokens: float64(config.MinMoveTokens), fallback: slope}
	return pipeline, nil
}

// NewRoundRobin returns the baseline that picks permitted engines in turn.
func NewRoundRobin() *Pipeline { return newPipeline("round-robin", &picker.RoundRobin{}) }

// NewLeastLoad returns the baseline that picks the least loaded permitted engine.
func NewLeastLoad() *Pipeline { return newPipeline("least-load", picker.LeastLoad{}) }

// NewPrefixHash returns the baseline that hashes the prompt's leading blocks
// and ignores load and cache beliefs.
func NewPrefixHash() *Pipeline { return newPipeline("prefix-hash", picker.Rendezvous{}) }

// Oracle is the predictive scheduler with exact cache contents in place of
// beliefs, for experiments.
type Oracle struct {
	pipeline *Pipeline
	exact    framework.Credits
}

// NewOracle returns an Oracle over the given exact credits. It scores every
// permitted candidate, without a window.
func NewOracle(config Config, exact framework.Credits) (*Oracle, error) {
	pipeline, err := NewPredictive(config)
	if err != nil {
		return nil, err
	}
	pipeline.window = filter.Window{}
	return &Oracle{pipeline: pipeline, exact: exact}, nil
}

// Name implements framework.Scheduler.
func (o *Oracle) Name() string { return "oracle" }

// Schedule implements framework.Scheduler.
func (o *Oracle) Schedule(request *framework.Request, snapshot *framework.Snapshot) framework.Decision {
	exact := *snapshot
	exact.Credits = o.exact
	return o.pipeline.Schedule(request, &exact)
}
