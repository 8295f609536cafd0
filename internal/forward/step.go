package forward

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// StepKind names a decision about a request.
type StepKind string

// The decisions about a request.
const (
	// StepRefused is a final answer of the router's own.
	StepRefused StepKind = "refused"
	// StepSent is an attempt that was sent to a back end.
	StepSent StepKind = "sent"
	// StepAttemptEnded is the end of an attempt.
	StepAttemptEnded StepKind = "attempt_ended"
	// StepAnswered is a whole answer passed on to the client.
	StepAnswered StepKind = "answered"
	// StepBroken is an answer that broke off after its head was passed on.
	StepBroken StepKind = "broken"
	// StepClientGone is a request whose client left.
	StepClientGone StepKind = "client_gone"
	// StepRetryGranted and StepRetryDenied tell what the budget of repeats said.
	StepRetryGranted StepKind = "repeat_granted"
	StepRetryDenied  StepKind = "repeat_denied"
	// StepBackendLimit is an answer that changes what is believed of its back end's limit.
	StepBackendLimit StepKind = "backend_limit"
	// StepLimitDenied is a back end that was passed over since its limit is used up.
	StepLimitDenied StepKind = "limit_denied"
	// StepBackendDraining is the first answer that says that its back end leaves.
	StepBackendDraining StepKind = "backend_leaving"
	// StepBackendBackoff is a refusal whose back end wants nothing from this router for a time.
	StepBackendBackoff StepKind = "backend_rest"
)

// Step is one decision about a request, with what decided it.
type Step struct {
	Kind    StepKind
	Request ident.Request
	// Route, ConfigurationVersion and ConfigurationAge are those the request
	// is run under; they are empty if it was refused before it had a route.
	Route                string
	ConfigurationVersion uint64
	ConfigurationAge     time.Duration
	// Attempt counts the sendings, starting at 1.
	Attempt int
	Choice  backend.Choice
	Outcome backend.Outcome
	// Fingerprint names what was asked for, of attempts that broke off; else it is zero.
	Fingerprint quarantine.Fingerprint
	Status      int
	// Elapsed is the time since the request was received.
	Elapsed time.Duration
	// Events is the number of stream events passed on.
	Events int
	// Retry is what a repeat was granted or denied on.
	Retry RetryState
	// Limit is the change of a back end's limit that an answer told.
	Limit backend.LimitChange
	// SkippedFor is for how long a back end is passed over whose limit is used up.
	SkippedFor time.Duration
	// Backoff is for how long a back end wants nothing from this router.
	Backoff time.Duration
	Fault   *fault.Fault
	Cause   error
}

// RetryState is the state of a service's budget of repeats at this router at one moment.
type RetryState struct {
	Service ident.Service
	// Requests earn a share of repeats now, Repeats are those in the window, one just granted
	// among them.
	Requests, Retries int
	// Slack is this router's part of the slack, of which each of Sharers has one; both are
	// 0 while it has none.
	Slack   float64
	Sharers int
}

func (f *Forwarder) record(request *Request, kind StepKind, fill func(*Step)) {
	step := Step{Kind: kind, Request: request.ID, Elapsed: clock.Since(request.ReceivedAt)}
	fill(&step)
	f.Record(step)
}
