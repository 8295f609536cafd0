package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// candidateMemory is how long an engine counts as in use after it was last a
// candidate for a request.
const candidateMemory = 30 * time.Second

// idleFactor is how much more rarely an engine is asked that is not in use.
const idleFactor = 8

// Question asks the shell to read one engine's load report.
type Question struct {
	Engine  ident.Engine
	Address string
}

// Considered takes in that the engine was a candidate for a request, so that
// its report is worth refreshing.
func (r *Registry) Considered(now time.Time, engine ident.Engine) {
	if known := r.engines[engine]; known != nil {
		known.lastCandidate = now
	}
}

// Due returns at most budget engines whose reports are to be read now: those
// in use once an interval, the others idleFactor times more rarely, the one
// asked longest ago first. The budget bounds what a node spends on reports
// however many engines the fleet has.
func (r *Registry) Due(now time.Time, interval time.Duration, budget int) []Question {
	var due []*state
	for _, known := range r.order {
		if now.Sub(known.lastAsked) >= known.interval(now, interval) {
			due = append(due, known)
		}
	}
	slices.SortStableFunc(due, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.urgency(now), a.urgency(now)), a.lastAsked.Compare(b.lastAsked))
	})
	questions := make([]Question, 0, min(budget, len(due)))
	for _, known := range due[:min(budget, len(due))] {
		known.lastAsked = now
		questions = append(questions, Question{known.target.Engine, known.target.Address})
	}
	return questions
}

func (s *state) inUse(now time.Time) bool {
	return !s.reported || now.Sub(s.lastCandidate) < candidateMemory
}

func (s *state) interval(now time.Time, interval time.Duration) time.Duration {
	if s.inUse(now) {
		return interval
	}
	return idleFactor * interval
}

func (s *state) urgency(now time.Time) int {
	if s.inUse(now) {
		return 1
	}
	return 0
}
