package endpoint

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// candidateMemory is how long an engine counts as in use after it was last a
// candidate for a request.
const candidateMemory = 30 * time.Second

// idleFactor is how much more rarely an engine is asked that is not in use.
const idleFactor = 8

// PollRequest asks the shell to read one engine's load report.
type PollRequest struct {
	Engine  ident.Engine
	Address string
}

// MarkCandidate takes in that the engine was a candidate for a request, so that
// its report is worth refreshing.
func (r *Registry) MarkCandidate(now time.Time, engine ident.Engine) {
	if known := r.engines[engine]; known != nil {
		known.lastCandidate = now
	}
}

// Due returns at most budget engines whose reports are to be read now: those
// in use once an interval, the others idleFactor times more rarely, the one
// asked longest ago first. The budget bounds what a node spends on reports
// however many engines the fleet has.
func (r *Registry) Due(now time.Time, interval time.Duration, budget int) []PollRequest {
	best := make([]dueEngine, 0, max(0, budget)+1)
	for _, known := range r.order {
		candidate := dueEngine{known: known, inUse: known.inUse(now)}
		if now.Sub(known.lastAsked) < candidate.interval(interval) {
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
	questions := make([]PollRequest, 0, len(best))
	for _, chosen := range best {
		chosen.known.lastAsked = now
		questions = append(questions, PollRequest{chosen.known.target.Engine, chosen.known.target.Address})
	}
	return questions
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

// before orders engines in use before idle ones, then by when they were asked.
func (d dueEngine) before(other dueEngine) bool {
	if d.inUse != other.inUse {
		return d.inUse
	}
	return d.known.lastAsked.Before(other.known.lastAsked)
}

func (s *state) inUse(now time.Time) bool {
	return !s.reported || now.Sub(s.lastCandidate) < candidateMemory
}
