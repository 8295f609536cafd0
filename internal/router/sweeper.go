package router

import (
	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/telemetry"
)

const (
	// sweepContenders is the number of routers that contend for the sweep's lease.
	sweepContenders = 3
	// sweepRate limits the requests of a sweep per second, and sweepShare its
	// fraction of this router's share of the table's rate limit.
	sweepRate  = 2
	sweepShare = 0.1
)

// newSweeper returns the sweeper, which deletes old claims while this router holds
// its lease.
func (r *Router) newSweeper() *claim.Sweeper {
	return claim.NewSweeper(claim.SweeperOptions{
		Node:  ident.Node(r.settings.Node),
		Table: r.platform,
		Contends: func() bool {
			return r.syncer.Current() != nil && r.owns(r.view().Owners(claim.SweepLease, sweepContenders))
		},
		Prefixes: func() []string { return claimPrefixes(r.syncer.Current()) },
		Config: claim.SweepConfig{
			Retention:         r.settings.Table.ClaimRetention,
			RequestsPerSecond: min(sweepRate, sweepShare*r.settings.Table.RequestsPerSecond),
		},
	})
}

// claimPrefixes returns the claim prefixes of every tenant and application service
// of the file, permitted or not: the tenant may have been permitted earlier.
func claimPrefixes(compiled *fleet.Compiled) []string {
	if compiled == nil {
		return nil
	}
	var prefixes []string
	for _, service := range compiled.Document.Services {
		if service.Kind != fleet.ServiceApplication {
			continue
		}
		for _, tenant := range compiled.Document.Tenants {
			prefixes = append(prefixes, claim.SweepPrefix(claim.Key{Tenant: tenant.Name, Service: service.Name}))
		}
	}
	return prefixes
}

// sweepState is the state of the sweeper.
type sweepState struct {
	held     bool
	counters claim.SweepCounters
}

func (r *Router) registerSweep() {
	group := telemetry.NewGroup(r.telemetry, func() (sweepState, bool) {
		return sweepState{r.sweeper.Held(), r.sweeper.Counters()}, true
	})
	group.Gauge("claim_sweep_lease_held", "1 on the router that deletes old claims, 0 on the others.", func(s sweepState) int {
		if s.held {
			return 1
		}
		return 0
	})
	group.Counter("claims_swept_total", "Claim rows deleted since their retention had passed.", func(s sweepState) uint64 { return s.counters.Deleted })
	group.Counter("claim_sweep_rows_read_total", "Claim rows read to see whether their retention has passed.", func(s sweepState) uint64 { return s.counters.Read })
	group.Counter("claim_sweep_rows_changed_total", "Claim rows left alone since they had changed after they were read.", func(s sweepState) uint64 { return s.counters.Changed })
	group.Counter("claim_sweep_failures_total", "Requests of the sweep without an answer of the table; they are made again.", func(s sweepState) uint64 { return s.counters.Failed })
	group.Counter("claim_sweep_passes_total", "Whole passes over all claim rows.", func(s sweepState) uint64 { return s.counters.Passes })
	group.Register()
}
