// Package routing decides, without I/O, which engine serves a request, or
// that it is held or refused. A Pipeline composes the Filter, Scorer and
// Picker plug-ins of the packages below it over one snapshot.
//
// A Pipeline may be used by many goroutines at once. For a cost that grows
// with the candidates and not with the fleet, the snapshot should list only
// endpoints of the request's model, grouped by zone.
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
	// permits run first; a request that they leave no candidate is refused.
	permits []framework.Filter
	// window bounds the candidates that are scored; size zero scores all.
	window     filter.Window
	shortlists shortlists
	// capacity leaves no candidate when the request has to be held.
	capacity framework.Filter
	scorers  []framework.Scorer
	picker   framework.Picker
	// credits is true if the policy looks at cached prefixes.
	credits bool
	mover   mover
	// slotWait is the least wait for room on an engine without any. A request
	// that is not of the most urgent class is held for the cheapest engine
	// while that, and as long again as it has been held so far, costs less than
	// the best engine with room. Zero never holds for this.
	slotWait time.Duration
	scratch  sync.Pool
}

// scratch holds the slices of one decision, reused by later ones.
type scratch struct {
	permitted []framework.Candidate
	scored    []framework.Candidate
}

func newPipeline(name string, picker framework.Picker, scorers ...framework.Scorer) *Pipeline {
	return &Pipeline{
		name: name,
		permits: []framework.Filter{
			filter.Places{}, filter.Alive{}, filter.Leaving{}, filter.Excluded{}, filter.Version{}, filter.Role{},
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
			if !p.crowded(&decision) {
				return decision
			}
		}
	}
	permitted, refusal := p.permit(request, snapshot, buffers.fill(snapshot))
	if refusal != "" {
		return framework.Decision{Action: framework.Refuse, Reason: refusal}
	}
	total := len(permitted)
	decision := p.choose(request, snapshot, p.window.Filter(request, snapshot, permitted), buffers)
	if p.window.Size > 0 && total > p.window.Size && p.crowded(&decision) {
		permitted, _ = p.permit(request, snapshot, buffers.fill(snapshot))
		return p.choose(request, snapshot, permitted, buffers)
	}
	return decision
}

// permit runs the permitting filters; refusal names the one that left nothing.
func (p *Pipeline) permit(request *framework.Request, snapshot *framework.Snapshot, candidates []framework.Candidate) (permitted []framework.Candidate, refusal string) {
	permitted = candidates
	for _, permit := range p.permits {
		permitted = permit.Filter(request, snapshot, permitted)
		if len(permitted) == 0 {
			return nil, permit.Name()
		}
	}
	return permitted, ""
}

// shortlisted returns the window of permitted candidates without looking at
// the whole snapshot, or nil if the shortlist does not settle what it is.
func (p *Pipeline) shortlisted(request *framework.Request, snapshot *framework.Snapshot, buffers *scratch) []framework.Candidate {
	list := p.shortlists.get(request, snapshot)
	if len(list) < p.shortlists.size {
		return nil
	}
	permitted, _ := p.permit(request, snapshot, buffers.fillFrom(snapshot, list))
	if len(permitted) < p.window.Size || permitted[0].Endpoint.Role == filter.RoleDecode {
		return nil
	}
	return permitted[:p.window.Size]
}

// crowded reports whether engines outside the window may do better: all of
// the window is at its limit, or the best one's wait exceeds a whole prefill.
func (p *Pipeline) crowded(decision *framework.Decision) bool {
	if decision.Action == framework.Hold {
		return true
	}
	chosen := &decision.Chosen
	return chosen.Wait > chosen.Prefill+crowdedWait
}

// crowdedWait is the wait that is borne within the window besides a prefill.
const crowdedWait = 500 * time.Millisecond

// choose decides among permitted candidates, of which there is at least one.
func (p *Pipeline) choose(request *framework.Request, snapshot *framework.Snapshot, permitted []framework.Candidate, buffers *scratch) framework.Decision {
	best := 0.0
	if p.credits && snapshot.Credits != nil {
		best = creditAll(request, snapshot, permitted)
	}
	buffers.scored = append(buffers.scored[:0], permitted...)
	for _, scorer := range p.scorers {
		scorer.Score(request, snapshot, buffers.scored)
	}
	cheapest := cheapestOf(buffers.scored)
	open := p.capacity.Filter(request, snapshot, buffers.scored)
	if len(open) == 0 {
		return framework.Decision{Action: framework.Hold, Reason: p.capacity.Name(), BestCreditTokens: best}
	}
	chosen := open[p.picker.Pick(request, snapshot, open)]
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

// cheapestOf returns the lowest cost, of endpoints without room as well.
func cheapestOf(candidates []framework.Candidate) time.Duration {
	cheapest := candidates[0].Cost
	for index := range candidates {
		cheapest = min(cheapest, candidates[index].Cost)
	}
	return cheapest
}

// creditAll sets each candidate's credit and returns the largest one. A credit
// never exceeds the prompt.
func creditAll(request *framework.Request, snapshot *framework.Snapshot, candidates []framework.Candidate) float64 {
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

func (s *scratch) fill(snapshot *framework.Snapshot) []framework.Candidate {
	s.permitted = s.permitted[:0]
	for index := range snapshot.Endpoints {
		s.permitted = append(s.permitted, framework.Candidate{Endpoint: &snapshot.Endpoints[index]})
	}
	return s.permitted
}

// fillFrom is fill for the listed positions only.
func (s *scratch) fillFrom(snapshot *framework.Snapshot, positions []int32) []framework.Candidate {
	s.permitted = s.permitted[:0]
	for _, position := range positions {
		if int(position) < len(snapshot.Endpoints) {
			s.permitted = append(s.permitted, framework.Candidate{Endpoint: &snapshot.Endpoints[position]})
		}
	}
	return s.permitted
}
