// Package load estimates an engine's queue at the time of a decision from its
// last report, which lags, and this router's own dispatches since.
package load

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// maxFinishedAge is how long a finished attempt is kept while no report accounts
// for it.
const maxFinishedAge = 30 * time.Second

// AttemptKey identifies one attempt of a request.
type AttemptKey struct {
	Request ident.Request
	Attempt ident.Attempt
}

// Tracker tracks the load of one incarnation of one engine. A new incarnation
// needs a new Tracker. It is not safe for concurrent use.
type Tracker struct {
	// defaultPrefill is the prefill time per token until the engine reports its own.
	defaultPrefill time.Duration
	report         protocol.LoadReport
	// measured is the time of the report's measurement by this router's clock;
	// zero before the first report.
	measured time.Time
	// attempts lists this router's attempts in order of dispatch.
	attempts []attempt
}

type attempt struct {
	key        AttemptKey
	tokens     float64
	dispatched time.Time
	// prefilled and finished are zero until the first token and the end.
	prefilled, finished time.Time
}

// NewTracker returns a Tracker that assumes the given prefill time per token
// until the engine reports its own.
func NewTracker(defaultPrefillPerToken time.Duration) *Tracker {
	return &Tracker{defaultPrefill: defaultPrefillPerToken}
}

// RecordReport records a load report received now; one older than the last is
// ignored.
func (t *Tracker) RecordReport(now time.Time, report protocol.LoadReport) {
	measured := now.Add(-time.Duration(max(0, report.AgeMillis)) * time.Millisecond)
	if measured.Before(t.measured) {
		return
	}
	t.report, t.measured = report, measured
	t.dropFinished(measured)
}

// Dispatched records an attempt sent now with the number of uncached prompt
// tokens that the engine is expected to prefill.
func (t *Tracker) Dispatched(now time.Time, key AttemptKey, tokens float64) {
	t.dropFinished(now.Add(-maxFinishedAge))
	t.attempts = append(t.attempts, attempt{key: key, tokens: max(0, tokens), dispatched: now})
}

// FirstToken records that an attempt's prefill is done.
func (t *Tracker) FirstToken(now time.Time, key AttemptKey) {
	if own := t.find(key); own != nil && own.prefilled.IsZero() {
		own.prefilled = now
	}
}

// Finished records the end of an attempt with any result.
func (t *Tracker) Finished(now time.Time, key AttemptKey) {
	if own := t.find(key); own != nil && own.finished.IsZero() {
		own.finished = now
	}
}

// InFlight returns the number of this router's unfinished attempts.
func (t *Tracker) InFlight() int {
	count := 0
	for index := range t.attempts {
		if t.attempts[index].finished.IsZero() {
			count++
		}
	}
	return count
}

// Load returns the estimate as of now. ConcurrencyLimit is left zero.
func (t *Tracker) Load(now time.Time) framework.Load {
	estimate := framework.Load{
		MaxRunning:          t.report.MaxRunning,
		PrefillPerToken:     t.slope(),
		QueuedPrefillTokens: t.queuedTokens(now),
	}
	if !t.measured.IsZero() {
		estimate.ReportAge = now.Sub(t.measured)
	}
	requests := t.report.Running + t.report.Waiting
	for index := range t.attempts {
		own := &t.attempts[index]
		reported := !t.measured.IsZero() && !own.dispatched.After(t.measured)
		switch {
		case own.finished.IsZero():
			estimate.OwnInFlight++
			if !reported {
				requests++
			}
		case reported && own.finished.After(t.measured):
			requests--
		}
	}
	estimate.Running = max(0, requests)
	if limit := t.report.MaxRunning; limit > 0 && requests > limit {
		estimate.Running, estimate.Waiting = limit, requests-limit
	}
	return estimate
}

// queuedTokens extrapolates the engine's prefill queue: the reported queue shrinks
// by the prefill time per token and grows with each dispatch since. The first
// token of an attempt proves that all before it is done.
func (t *Tracker) queuedTokens(now time.Time) float64 {
	tokens, at := float64(t.report.QueuedPrefillTokens), t.measured
	for index := range t.attempts {
		own := &t.attempts[index]
		if !own.dispatched.After(t.measured) {
			continue
		}
		if !own.prefilled.IsZero() {
			tokens, at = 0, own.prefilled
			continue
		}
		if !own.finished.IsZero() {
			continue
		}
		tokens = t.remaining(tokens, own.dispatched.Sub(at)) + own.tokens
		at = later(at, own.dispatched)
	}
	return t.remaining(tokens, now.Sub(at))
}

func (t *Tracker) remaining(tokens float64, elapsed time.Duration) float64 {
	slope := t.slope()
	if elapsed <= 0 || slope <= 0 || tokens <= 0 {
		return max(0, tokens)
	}
	return max(0, tokens-float64(elapsed)/float64(slope))
}

func (t *Tracker) slope() time.Duration {
	if t.report.PrefillMicrosPerToken > 0 {
		return time.Duration(t.report.PrefillMicrosPerToken * float64(time.Microsecond))
	}
	return t.defaultPrefill
}

func (t *Tracker) find(key AttemptKey) *attempt {
	for index := range t.attempts {
		if t.attempts[index].key == key {
			return &t.attempts[index]
		}
	}
	return nil
}

// dropFinished removes attempts that finished before a time.
func (t *Tracker) dropFinished(before time.Time) {
	t.attempts = slices.DeleteFunc(t.attempts, func(own attempt) bool {
		return !own.finished.IsZero() && own.finished.Before(before)
	})
}

func later(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}
