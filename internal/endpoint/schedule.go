package endpoint

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// candidateTTL is how long an engine counts as in use after it was last a
// candidate for a request.
const candidateTTL = 30 * time.Second

// idleFactor is how many times less often an engine that is not in use is polled.
const idleFactor = 8

// PollRequest requests a read of one engine's load report.
type PollRequest struct {
	Engine  ident.Engine
	Address string
}

// MarkCandidate records that the engine was a candidate for a request, so that its report is
// worth refreshing.
func (r *Registry) MarkCandidate(now time.Time, engine ident.Engine) {
	if known := r.engines[engine]; known != nil {
		known.lastCandidate = now
	}
}

// Due returns at most budget engines whose reports are to be read now: those in use once an
// interval, the others idleFactor times less often, the least recently polled first. The budget
// bounds the cost of reports to a node, however many engines the fleet has.
func (r *Registry) Due(now time.Time, interval time.Duration, budget int) []PollRequest {
	best := make([]dueEngine, 0, max(0, budget)+1)
	for _, known := range r.order {
		candidate := dueEngine{known: known, inUse: known.inUse(now)}
		if now.Sub(known.lastPolled) < candidate.interval(interval) {
			continue
		}
		position := len(best)
		for position > 0 && candidate.before(best[position-1]) {
			position--
		}
		if position < budget {
			best = slices.Insert(best, position, candidate)[:min(len(best)+1, budget)]
		}
	}
	requests := make([]PollRequest, 0, len(best))
	for _, chosen := range best {
		chosen.known.lastPolled = now
		requests = append(requests, PollRequest{chosen.known.target.Engine, chosen.known.target.Address})
	}
	return requests
}

// dueEngine is an engine whose report may be read now.
type dueEngine struct {
	known *state
	inUse bool
}

func (d dueEngine) interval(interval time.Duration) time.Duration {
	if d.inUse {
		return interval
	}
	return idleFactor * interval
}

// before orders engines in use before idle ones, then by when they were last polled.
func (d dueEngine) before(other dueEngine) bool {
	if d.inUse != other.inUse {
		return d.inUse
	}
	return d.known.lastPolled.Before(other.known.lastPolled)
}

func (s *state) inUse(now time.Time) bool {
	return !s.reported || now.Sub(s.lastCandidate) < candidateTTL
}
