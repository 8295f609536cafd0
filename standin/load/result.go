package load

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// Outcome is the final result of a request as its caller observed it.
type Outcome string

const (
	// OutcomeAnswered is a complete and correct answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused is a refusal without execution.
	OutcomeRefused Outcome = "refused_not_run"
	// OutcomeFailed is an error after execution started.
	OutcomeFailed Outcome = "failed_after_start"
	// OutcomeUnknown is an error that leaves open whether the request ran.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeLost is a request without a final response, or with an incomplete
	// stream, after all attempts.
	OutcomeLost Outcome = "lost"
	// OutcomeCorrupt is a closed stream with invalid content.
	OutcomeCorrupt Outcome = "corrupt"
)

// Result is the result of one arrival.
type Result struct {
	Arrival workload.Arrival
	Outcome Outcome
	// Refusals lists all refusals in order, the final one included.
	Refusals []fault.Kind
	// FirstToken is the time from the planned arrival to the first text, or to
	// an application's whole response.
	FirstToken time.Duration
	// Token usage of an answered model request.
	PromptTokens, CachedTokens, CompletionTokens int
	// Retries counts requests sent again, Resumes streams continued from their
	// last event, Restarts streams started again, Breaks failed connections.
	Retries, Resumes, Restarts, Breaks int
	// Detail is the reason of a corrupt or lost result, without any text of the
	// answer.
	Detail string
}
