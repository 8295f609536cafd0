package load

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// Outcome is how a request ended for its caller.
type Outcome string

const (
	// OutcomeAnswered is a whole and right answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused is a refusal that says "not run".
	OutcomeRefused Outcome = "refused_not_run"
	// OutcomeFailed is a statement that the work began and failed.
	OutcomeFailed Outcome = "failed_after_start"
	// OutcomeUnknown is a statement that the work may or may not have run.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeLost is a request that got no final word, or a model request
	// whose stream began and never became whole, after every attempt.
	OutcomeLost Outcome = "lost"
	// OutcomeCorrupt is a stream that claims to be whole and is not right.
	OutcomeCorrupt Outcome = "corrupt"
)

// Result is what became of one arrival.
type Result struct {
	Arrival workload.Arrival
	Outcome Outcome
	// Refusals lists every refusal met on the way, the last word included.
	Refusals []fault.Kind
	// FirstToken is the time from the planned arrival to the first text; for
	// an application request, to the whole answer.
	FirstToken time.Duration
	// Usage of an answered model request.
	PromptTokens, CachedTokens, CompletionTokens int
	// Retries counts requests sent again, Resumes streams continued from
	// their last event, Restarts streams begun anew, Breaks broken connections.
	Retries, Resumes, Restarts, Breaks int
	// Detail says why a stream is corrupt or lost, without any of its text.
	Detail string
}
