package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Policy is one way to place requests. All policies share the configuration of
// queue and retry budget.
type Policy struct {
	Name string
	// Baseline marks a policy that others are compared with.
	Baseline bool
	// NewScheduler returns the scheduler of one router. exact gives the actual
	// cache contents, for the oracle only.
	NewScheduler func(exact framework.Credits) (framework.Scheduler, error)
	// NewLimiter returns the limiter of one engine at one router; nil means none.
	NewLimiter func() admission.Limiter
	// Beliefs configures the prefix beliefs of one router.
	Beliefs beliefs.Config
}

func predictiveScheduler(config routing.Config) func(framework.Credits) (framework.Scheduler, error) {
	return func(framework.Credits) (framework.Scheduler, error) { return routing.NewPredictive(config) }
}

func pipelineScheduler(newScheduler func() *routing.Pipeline) func(framework.Credits) (framework.Scheduler, error) {
	return func(framework.Credits) (framework.Scheduler, error) { return newScheduler(), nil }
}

func oracleScheduler(exact framework.Credits) (framework.Scheduler, error) {
	return routing.NewOracle(routing.Config{}, exact)
}

func gradientLimiter() admission.Limiter {
	return admission.NewGradientLimiter(admission.LimitBounds{})
}

func rateLimiter() admission.Limiter { return admission.NewLittlesLawLimiter(admission.LimitBounds{}) }

// lowLimit is a fixed limit of one router on one engine, below the engine's batch
// size.
const lowLimit = 4

func lowLimiter() admission.Limiter { return admission.NewFixedLimiter(lowLimit) }

// limiters limit the attempts of one router on one engine; suffix is appended to
// the policy name.
var limiters = []struct {
	suffix     string
	newLimiter func() admission.Limiter
}{
	{"", admission.NewDefaultLimiter}, // as in the router process
	{"-low", lowLimiter},
	{"-gradient", gradientLimiter},
	{"-rate", rateLimiter},
	{"-unlimited", nil},
}

// Policies returns every scheduler with every limiter, baselines first, followed
// by earlier versions of the predictive policy.
func Policies() []Policy {
	schedulers := []Policy{
		{Name: "round-robin", Baseline: true, NewScheduler: pipelineScheduler(routing.NewRoundRobin)},
		{Name: "least-load", Baseline: true, NewScheduler: pipelineScheduler(routing.NewLeastLoad)},
		{Name: "prefix-hash", Baseline: true, NewScheduler: pipelineScheduler(routing.NewPrefixHash)},
		{Name: "prefix-hash-deep", Baseline: true, NewScheduler: deepPrefixHash},
		{Name: "predictive", NewScheduler: predictiveScheduler(routing.Config{})},
		{Name: "oracle", NewScheduler: oracleScheduler},
	}
	var all []Policy
	for _, policy := range schedulers {
		for _, limiter := range limiters {
			variant := policy
			variant.Name += limiter.suffix
			variant.NewLimiter = limiter.newLimiter
			all = append(all, variant)
		}
	}
	return append(all, previousPolicies()...)
}

// previousPolicies returns earlier versions of the predictive policy, oldest first,
// for comparison; the last is also listed as "previous".
func previousPolicies() []Policy {
	const never = routing.NeverMove
	configs := []routing.Config{
		{UrgentReserve: -1, SlotWait: -1, MinMoveTokens: never},
		{UrgentReserve: -1, SlotWait: -1, MinMoveTokens: never},
		{UrgentReserve: 0.5, SlotWait: -1, MinMoveTokens: never},
		{UrgentReserve: 0.5, MinMoveTokens: never},
		{MinMoveTokens: never},
	}
	var versions []Policy
	for index, config := range configs {
		versions = append(versions, Policy{
			Name:         fmt.Sprintf("predictive-v%d", index+1),
			NewScheduler: predictiveScheduler(config), NewLimiter: admission.NewDefaultLimiter,
		})
	}
	versions[0].NewLimiter = gradientLimiter
	last := versions[len(versions)-1]
	last.Name = "previous"
	return append(versions, last)
}

// DefaultPolicies returns the names of the policies compared by default.
func DefaultPolicies() []string {
	return []string{"round-robin", "least-load", "prefix-hash", "prefix-hash-deep", "predictive", "oracle"}
}

// PoliciesByName returns the named policies, or every one for "all".
func PoliciesByName(names []string) ([]Policy, error) {
	all := Policies()
	if slices.Contains(names, nameOfAll) {
		return all, nil
	}
	var known []string
	for _, policy := range all {
		known = append(known, policy.Name)
	}
	var chosen []Policy
	for _, name := range names {
		position := slices.Index(known, name)
		if position < 0 {
			return nil, fault.New(fault.BadRequest, "no policy is named %q", name).
				WithRemedy("name one of: %s, or all", strings.Join(known, ", "))
		}
		chosen = append(chosen, all[position])
	}
	return chosen, nil
}

// deepBlocks is the number of leading blocks (2048 tokens) that the deep prefix
// hash covers: into the second nested layer of both deployments, as the first
// differs by tenant only.
const deepBlocks = 128

// deepHash is the prefix hash policy over more leading blocks of the prompt.
type deepHash struct{ pipeline *routing.Pipeline }

func deepPrefixHash(framework.Credits) (framework.Scheduler, error) {
	return deepHash{routing.NewPrefixHash()}, nil
}

// Name implements framework.Scheduler.
func (deepHash) Name() string { return "prefix-hash-deep" }

// Schedule implements framework.Scheduler.
func (d deepHash) Schedule(request *framework.Request, snapshot *framework.Snapshot) framework.Decision {
	deep := *request
	deep.Chains = make(map[ident.ModelVersion]prefix.Chain, len(request.Chains))
	for version, chain := range request.Chains {
		// The pipeline ranks a chain by its block at index RootBlock.
		deep.Chains[version] = chain[max(0, min(deepBlocks, len(chain))-prefix.RootBlock-1):]
	}
	return d.pipeline.Schedule(&deep, snapshot)
}
