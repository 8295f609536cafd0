// Package routing decides, without I/O, which engine serves a request, or
// that it is held or refused. A Pipeline composes the Filter, Scorer and
// Picker plug-ins of its subpackages.
//
// A Pipeline is safe for concurrent use. So that the cost grows with the
// candidates and not with the fleet, the snapshot should list only endpoints of
// the request's model, grouped by zone.
package routing

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/routing/filter"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Pipeline is a framework.Scheduler made of plug-ins.
type Pipeline struct {
	name string
	// permitFilters run first; if no candidate remains, the request is refused.
	permitFilters []framework.Filter
	// window limits the candidates that are scored; size zero scores all.
	window     filter.Window
	shortlists shortlists
	// capacity returns no candidate when the request has to be held.
	capacity framework.Filter
	scorers  []framework.Scorer
	picker   framework.Picker
	// usesCredits is true if the policy considers cached prefixes.
	usesCredits bool
	mover       mover
	// slotWait is the assumed wait for room on a full engine. A request that is
	// not of the most urgent class is held for the cheapest engine while that
	// engine's cost plus slotWait plus the time already held is below the cost
	// of the best engine with room. Zero never holds for this.
	slotWait time.Duration
	scratch  sync.Pool
}

// scratch holds the slices of one decision, for reuse by later ones.
type scratch struct {
	permitted []framework.Candidate
	scored    []framework.Candidate
}

func newPipeline(name string, picker framework.Picker, scorers ...framework.Scorer) *Pipeline {
	return &Pipeline{
		name: name,
		permitFilters: []framework.Filter{
			filter.Places{}, filter.Alive{}, filter.Draining{}, filter.Excluded{}, filter.Version{}, filter.Role{},
		},
		capacity: filter.Capacity{},
		scorers:  scorers,
		picker:   picker,
		scratch:  sync.Pool{New: func() any { return new(scratch) }},
	}
}

// Name implements framework.Scheduler.
func (p *Pipeline) Name() string { return p.name }

// Schedule implements framework.Scheduler.
func (p *Pipeline) Schedule(request *framework.Request, snapshot *framework.Snapshot) framework.Decision {
	buffers := p.scratch.Get().(*scratch)
	defer p.scratch.Put(buffers)
	if p.window.Size > 0 {
		if window := p.shortlisted(request, snapshot, buffers); window != nil {
			decision := p.choose(request, snapshot, window, buffers)
			if !p.overloaded(&decision) {
				return decision
			}
		}
	}
	permitted, refusal := p.permit(request, snapshot, buffers.allCandidates(snapshot))
	if refusal != "" {
		return framework.Decision{Action: framework.Refuse, Reason: refusal}
	}
	total := len(permitted)
	decision := p.choose(request, snapshot, p.window.Filter(request, snapshot, permitted), buffers)
	if p.window.Size > 0 && total > p.window.Size && p.overloaded(&decision) {
		permitted, _ = p.permit(request, snapshot, buffers.allCandidates(snapshot))
		return p.choose(request, snapshot, permitted, buffers)
	}
	return decision
}

// permit runs the permitting filters; refusal names the one that left no candidate.
func (p *Pipeline) permit(request *framework.Request, snapshot *framework.Snapshot, candidates []framework.Candidate) (permitted []framework.Candidate, refusal string) {
	permitted = candidates
	for _, plugin := range p.permitFilters {
		permitted = plugin.Filter(request, snapshot, permitted)
		if len(permitted) == 0 {
			return nil, plugin.Name()
		}
	}
	return permitted, ""
}

// shortlisted returns the window of permitted candidates without scanning the
// whole snapshot, or nil if the shortlist does not determine the window.
func (p *Pipeline) shortlisted(request *framework.Request, snapshot *framework.Snapshot, buffers *scratch) []framework.Candidate {
	list := p.shortlists.get(request, snapshot)
	if len(list) < p.shortlists.size {
		return nil
	}
	permitted, _ := p.permit(request, snapshot, buffers.candidatesAt(snapshot, list))
	if len(permitted) < p.window.Size || permitted[0].Endpoint.Role == filter.RoleDecode {
		return nil
	}
	return permitted[:p.window.Size]
}

// overloaded reports whether engines outside the window may be better: the whole
// window is at its limit, or the best one's wait exceeds its prefill time by more
// than toleratedWait.
func (p *Pipeline) overloaded(decision *framework.Decision) bool {
	if decision.Action == framework.Hold {
		return true
	}
	chosen := &decision.Chosen
	return chosen.Wait > chosen.Prefill+toleratedWait
}

// toleratedWait is the wait, beyond a prefill, that is accepted within the window.
const toleratedWait = 500 * time.Millisecond

// choose decides among permitted candidates; there is at least one.
func (p *Pipeline) choose(request *framework.Request, snapshot *framework.Snapshot, permitted []framework.Candidate, buffers *scratch) framework.Decision {
	best := 0.0
	if p.usesCredits && snapshot.Credits != nil {
		best = setCredits(request, snapshot, permitted)
	}
	buffers.scored = append(buffers.scored[:0], permitted...)
	for _, scorer := range p.scorers {
		scorer.Score(request, snapshot, buffers.scored)
	}
	cheapest := cheapestOf(buffers.scored)
	available := p.capacity.Filter(request, snapshot, buffers.scored)
	if len(available) == 0 {
		return framework.Decision{Action: framework.Hold, Reason: p.capacity.Name(), BestCreditTokens: best}
	}
	chosen := available[p.picker.Pick(request, snapshot, available)]
	if p.slotWait > 0 && request.Priority > 0 && cheapest+p.slotWait+request.Waited < chosen.Cost {
		return framework.Decision{Action: framework.Hold, Reason: framework.ReasonHome, BestCreditTokens: best}
	}
	return framework.Decision{
		Action:           framework.Dispatch,
		Chosen:           chosen,
		BestCreditTokens: best,
		MoveFrom:         p.mover.source(&chosen, permitted),
	}
}

// cheapestOf returns the lowest cost, endpoints without room included.
func cheapestOf(candidates []framework.Candidate) time.Duration {
	cheapest := candidates[0].Cost
	for index := range candidates {
		cheapest = min(cheapest, candidates[index].Cost)
	}
	return cheapest
}

// setCredits sets each candidate's credit and returns the largest one. A credit
// never exceeds the prompt.
func setCredits(request *framework.Request, snapshot *framework.Snapshot, candidates []framework.Candidate) float64 {
	best := 0.0
	for index := range candidates {
		candidate := &candidates[index]
		chain := request.Chains[candidate.Version]
		if len(chain) == 0 {
			continue
		}
		blocks := snapshot.Credits.Credit(candidate.Endpoint.Engine, candidate.Endpoint.Incarnation, chain)
		candidate.CreditTokens = min(max(0, blocks)*float64(request.BlockTokens), float64(request.PromptTokens))
		best = max(best, candidate.CreditTokens)
	}
	return best
}

func (s *scratch) allCandidates(snapshot *framework.Snapshot) []framework.Candidate {
	s.permitted = s.permitted[:0]
	for index := range snapshot.Endpoints {
		s.permitted = append(s.permitted, framework.Candidate{Endpoint: &snapshot.Endpoints[index]})
	}
	return s.permitted
}

// candidatesAt is allCandidates for the given positions only.
func (s *scratch) candidatesAt(snapshot *framework.Snapshot, positions []int32) []framework.Candidate {
	s.permitted = s.permitted[:0]
	for _, position := range positions {
		if int(position) < len(snapshot.Endpoints) {
			s.permitted = append(s.permitted, framework.Candidate{Endpoint: &snapshot.Endpoints[position]})
		}
	}
	return s.permitted
}
