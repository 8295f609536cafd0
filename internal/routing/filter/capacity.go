package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

// Capacity keeps endpoints below their limit of this router's unanswered
// attempts and, for classes that are not the most urgent, below the part of
// the engine's batch that they may fill. If none remains, the request is held,
// not refused.
//
// The reserve keeps batch slots and cache space for urgent requests, since an
// engine orders waiting requests by priority but does not preempt running ones.
type Capacity struct {
	// Reserve is the part of an engine's batch, from 0 to 1, that classes of
	// priority 2 and above may not use; priority 1 may use half of it.
	Reserve float64
}

// Name implements framework.Filter.
func (Capacity) Name() string { return "capacity" }

// Filter implements framework.Filter.
func (c Capacity) Filter(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	share := c.share(request)
	return keep(candidates, func(candidate *framework.Candidate) bool {
		load := &candidate.Endpoint.Load
		if load.ConcurrencyLimit > 0 && load.OwnInFlight >= load.ConcurrencyLimit {
			return false
		}
		return share >= 1 || load.MaxRunning <= 0 || float64(load.Running+load.Waiting) < share*float64(load.MaxRunning)
	})
}

// share returns the part of an engine's batch that the request's class may fill.
func (c Capacity) share(request *framework.Request) float64 {
	switch {
	case request.Priority <= 0 || request.BypassReserve:
		return 1
	case request.Priority == 1:
		return 1 - c.Reserve/2
	default:
		return 1 - c.Reserve
	}
}
