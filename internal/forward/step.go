package forward

import (
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// StepKind is the kind of a decision about a request.
type StepKind string

// The decisions about a request.
const (
	// StepRefused is the router's own final answer.
	StepRefused StepKind = "refused"
	// StepSent is an attempt that was sent to a back end.
	StepSent StepKind = "sent"
	// StepAttemptEnded is the end of an attempt.
	StepAttemptEnded StepKind = "attempt_ended"
	// StepAnswered is a complete answer passed on to the client.
	StepAnswered StepKind = "answered"
	// StepBroken is an answer that broke off after its head was passed on.
	StepBroken StepKind = "broken"
	// StepClientGone is a request whose client left.
	StepClientGone StepKind = "client_gone"
	// StepRetryGranted and StepRetryDenied are the decisions of the retry budget.
	StepRetryGranted StepKind = "repeat_granted"
	StepRetryDenied  StepKind = "repeat_denied"
	// StepBackendLimit is an answer that changes its back end's limit.
	StepBackendLimit StepKind = "backend_limit"
	// StepLimitDenied is a back end that was skipped since its limit is used up.
	StepLimitDenied StepKind = "limit_denied"
	// StepBackendDraining is the first answer that advertises that its back end is draining.
	StepBackendDraining StepKind = "backend_leaving"
	// StepBackendBackoff is a refusal whose back end asked this router to back off.
	StepBackendBackoff StepKind = "backend_rest"
	// StepBackendsBrittle is an answer that advertises that the back ends of its service are
	// brittle, which was not known.
	StepBackendsBrittle StepKind = "backends_brittle"
)

// Step is one decision about a request, with its reasons.
type Step struct {
	Kind    StepKind
	Request ident.Request
	// Resumes is the request whose stream this one continues, or empty.
	Resumes ident.Request
	// Route, ConfigurationVersion and ConfigurationAge are empty if the request
	// was refused before it had a route. The last two are set also then if the reason is the
	// age of the configuration.
	Route                string
	ConfigurationVersion uint64
	ConfigurationAge     time.Duration
	// Unconfirmed is set if the request was refused since the configuration is not confirmed.
	Unconfirmed catalog.UnconfirmedReason
	// Attempt is the number of attempts so far.
	Attempt int
	Choice  backend.Choice
	Outcome backend.Outcome
	// Fingerprint identifies the request of an attempt that broke off; otherwise it is zero.
	Fingerprint quarantine.Fingerprint
	// Tenant and SharedParts are the caller and the shared parts of the prompt of an attempt that
	// broke off.
	Tenant      ident.Tenant
	SharedParts []Part
	Status      int
	// Through is the router that relayed the attempt, the zero value for a direct one.
	Through netip.AddrPort
	// Carrier is the connection that the answer of an attempt arrived on, Unframed whether the end of
	// that connection is the end of the answer.
	Carrier  exchange.Carrier
	Unframed bool
	// Elapsed is the time since the request was received.
	Elapsed time.Duration
	// Events is the number of stream events passed on, LastEvent the id of the last one that the
	// client has, or empty.
	Events    int
	LastEvent string
	// Retry is the state on which a retry was granted or denied.
	Retry RetryState
	// Limit is the change of a back end's limit that an answer advertised.
	Limit backend.LimitChange
	// SkippedFor is how long a back end is skipped whose limit is used up.
	SkippedFor time.Duration
	// Backoff is how long a back end asked this router to send nothing.
	Backoff time.Duration
	// MaxRefusals is the number of refusals in a second that the back ends of a brittle service bear.
	MaxRefusals int
	Fault       *fault.Fault
	Cause       error
}

// RetryState is the state of a service's retry budget at this router at one moment.
type RetryState struct {
	Service ident.Service
	// Requests are those that earn retries now, Retries those made in the window, including
	// one just granted.
	Requests, Retries int
	// Slack is this router's share of the retry slack, Sharers the number of routers that
	// share it; both are 0 while it has none.
	Slack   float64
	Sharers int
}

func (f *Forwarder) record(request *Request, kind StepKind, fill func(*Step)) {
	step := Step{Kind: kind, Request: request.ID, Resumes: request.Resumes, Elapsed: clock.Since(request.ReceivedAt)}
	fill(&step)
	f.Record(step)
}
