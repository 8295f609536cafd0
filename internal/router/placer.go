package router

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// transferTimeout bounds one transfer of cached blocks between engines; a longer
// one saves nothing over recomputation.
const transferTimeout = 250 * time.Millisecond

// placer implements dispatch.Placer over the placement runner.
type placer struct {
	placementRunner *placement.Runner
	transfers       engine.Transferer
	current         func() *fleet.Compiled
	homeZone        ident.Zone
	// sequence numbers the placements, so that each has its own key.
	sequence atomic.Uint32
}

// Place implements dispatch.Placer.
func (p *placer) Place(ctx context.Context, job *dispatch.Job) (dispatch.Placement, error) {
	for {
		compiled := p.current()
		if compiled == nil {
			return dispatch.Placement{}, fault.New(fault.NotReady, "this router has no fleet file yet")
		}
		placementJob := p.newPlacementJob(job, compiled)
		placed, err := p.placementRunner.Place(ctx, placementJob)
		if err != nil {
			return dispatch.Placement{}, err
		}
		if p.permits(job, compiled, placed) {
			p.transferBlocks(ctx, placementJob, placed, compiled)
		}
		if p.permits(job, compiled, placed) {
			return p.placement(job, placementJob, placed), nil
		}
		// A fleet file adopted while the job waited forbids the engine.
		p.placementRunner.RecordEnd(placementJob.Key, placement.Result{})
	}
}

// permits returns whether the fleet file in force now still permits an engine
// chosen under an earlier one.
func (p *placer) permits(job *dispatch.Job, earlier *fleet.Compiled, placed placement.Placed) bool {
	compiled := p.current()
	if compiled == earlier {
		return true
	}
	chosen := placed.Candidate
	engine, known := compiled.Engine(chosen.Endpoint.Engine)
	return known && engine.Address == chosen.Endpoint.Address && engine.State != fleet.BackendDraining &&
		compiled.PermittedZones(job.Tenant).Has(engine.Zone) &&
		slices.Contains(versionsFor(job, compiled), chosen.Version)
}

// newPlacementJob returns the job for the placement runner. Zones and versions are
// read from the fleet file in force now, not when the request arrived: permissions
// withdrawn since then apply to a waiting request too.
func (p *placer) newPlacementJob(job *dispatch.Job, compiled *fleet.Compiled) *placement.Job {
	blockTokens := prefix.DefaultBlockTokens
	if model, known := compiled.Model(job.Model); known {
		blockTokens = model.BlockTokens
	}
	prompt := job.Prompt + job.Continued
	versions := versionsFor(job, compiled)
	chains := make(map[ident.ModelVersion]prefix.Chain, len(versions))
	for _, version := range versions {
		namespace := prefix.Namespace{Tenant: job.Tenant, Model: job.Model, Version: version, Adapter: job.Adapter}
		chains[version] = prefix.ChainOf(namespace.Salt(), prompt, blockTokens)
	}
	return &placement.Job{
		Key:     placement.AttemptKeyOf(job.ID, ident.Attempt(p.sequence.Add(1))),
		Weight:  tenantShare(compiled, job.Tenant),
		MaxHold: max(0, time.Until(job.PlacementDeadline)),
		Request: framework.Request{
			ID:                  job.ID,
			Tenant:              job.Tenant,
			Service:             job.Service,
			Class:               job.Class,
			Priority:            job.Priority,
			Model:               job.Model,
			Versions:            versions,
			Adapter:             job.Adapter,
			Zones:               catalog{compiled}.Zones(job.Tenant),
			Chains:              chains,
			BlockTokens:         blockTokens,
			PromptTokens:        prefix.Tokens(prompt),
			RecomputationWeight: job.RecomputationWeight,
			Excluded:            job.Excluded,
			HomeZone:            p.homeZone,
		},
	}
}

// versionsFor returns the versions that may serve the job. An answer that has
// begun continues with its version whatever the file lists, so that no answer has
// text of two versions.
func versionsFor(job *dispatch.Job, compiled *fleet.Compiled) []ident.ModelVersion {
	if job.Continued != "" {
		return job.Versions
	}
	return catalog{compiled}.Versions(job.Model)
}

func tenantShare(compiled *fleet.Compiled, tenant ident.Tenant) float64 {
	entry, known := compiled.Tenant(tenant)
	if !known {
		return 1
	}
	return entry.Share
}

func (p *placer) placement(job *dispatch.Job, placementJob *placement.Job, placed placement.Placed) dispatch.Placement {
	chosen := placed.Candidate
	key := placementJob.Key
	namespace := prefix.Namespace{Tenant: job.Tenant, Model: job.Model, Version: chosen.Version, Adapter: job.Adapter}
	return dispatch.Placement{
		Engine:               chosen.Endpoint.Engine,
		Address:              chosen.Endpoint.Address,
		Incarnation:          chosen.Endpoint.Incarnation,
		Zone:                 chosen.Endpoint.Zone,
		Model:                job.Model,
		Version:              chosen.Version,
		Adapter:              job.Adapter,
		Salt:                 namespace.Salt(),
		ExpectedCachedTokens: chosen.CreditTokens,
		Started: func(incarnation ident.Incarnation, usage protocol.Usage) {
			p.placementRunner.RecordStart(key, incarnation, usage)
		},
		FirstToken: func() { p.placementRunner.RecordFirstToken(key) },
		Release:    func(result dispatch.Result) { p.placementRunner.RecordEnd(key, resultOf(result)) },
	}
}

func resultOf(result dispatch.Result) placement.Result {
	return placement.Result{
		Incarnation:      result.Incarnation,
		Refusal:          result.Refusal,
		Unreachable:      result.Outcome == dispatch.OutcomeUnreachable,
		Broken:           result.Outcome == dispatch.OutcomeBroken,
		TimeToFirstToken: result.TimeToFirstToken,
		Duration:         result.Duration,
	}
}

// transferBlocks copies the prompt's cached blocks from the engine that holds them
// to the chosen one. A failed transfer costs only a recomputation.
func (p *placer) transferBlocks(ctx context.Context, placementJob *placement.Job, placed placement.Placed, compiled *fleet.Compiled) {
	source, known := compiled.Engine(placed.MoveFrom)
	if !known || !placementJob.Request.Zones[source.Zone] {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	request := &placementJob.Request
	namespace := prefix.Namespace{
		Tenant: request.Tenant, Model: request.Model, Version: placed.Candidate.Version, Adapter: request.Adapter,
	}
	transfer := protocol.TransferRequest{
		ExpectedIncarnation: placed.MoveFromIncarnation,
		Salt:                namespace.Salt(),
		Hashes:              request.Chains[placed.Candidate.Version],
	}
	blocks, err := p.transfers.Export(bounded, source.Address, transfer)
	if err != nil {
		return
	}
	transfer.ExpectedIncarnation = placed.Candidate.Endpoint.Incarnation
	_, _ = p.transfers.Import(bounded, placed.Candidate.Endpoint.Address, transfer, blocks)
}
