package fault

import "net/http"

// Kind names one class of fault. Callers and scripts may rely on the values.
type Kind string

// The kinds. Each has a row in kindTable.
const (
	// BadRequest is a malformed request.
	BadRequest Kind = "bad_request"
	// TooLarge is a body, header or prompt above its limit.
	TooLarge Kind = "too_large"
	// Unauthorized is a missing or unknown tenant key.
	Unauthorized Kind = "unauthorized"
	// Forbidden is a request that the tenant's fleet entry does not allow.
	Forbidden Kind = "forbidden"
	// UnknownService is a service or model that is not in the fleet file.
	UnknownService Kind = "unknown_service"
	// UnknownRoute is a path that the service or the API does not have.
	UnknownRoute Kind = "unknown_route"
	// MissingIdempotencyKey is a non-repeatable request without its key.
	MissingIdempotencyKey Kind = "missing_idempotency_key"
	// KeyReused is an idempotency key sent again with another request body.
	KeyReused Kind = "idempotency_key_reused"
	// AlreadyClaimed is a retry of a non-repeatable request whose first run has
	// not ended or whose answer is no longer retained.
	AlreadyClaimed Kind = "already_claimed"
	// NoPermittedEngine is a service without a live back end in the tenant's places.
	NoPermittedEngine Kind = "no_permitted_engine"
	// Overloaded is a refusal by admission: queue full or share exhausted.
	Overloaded Kind = "overloaded"
	// DeadlineExceeded is a request that waited as long as its class allows.
	DeadlineExceeded Kind = "deadline_exceeded"
	// StoreUnavailable is a table or object store of the platform that did not
	// answer in time.
	StoreUnavailable Kind = "store_unavailable"
	// BackendLost is a back end that failed after the attempt was sent.
	BackendLost Kind = "backend_lost"
	// Quarantined is a request that is not forwarded, since back ends crashed while they ran it.
	Quarantined Kind = "quarantined"
	// StreamNotContinued is a stream that cannot go on, since the release that began it is not known
	// or has no back end.
	StreamNotContinued Kind = "stream_not_continued"
	// BackendRefused is an explicit refusal by a back end before execution.
	BackendRefused Kind = "backend_refused"
	// OutcomeUnknown is a non-repeatable request whose outcome is not known.
	OutcomeUnknown Kind = "outcome_unknown"
	// StreamBroken is a stream that cannot be continued.
	StreamBroken Kind = "stream_broken"
	// InvalidToken is a resume token that is malformed, forged or of another tenant.
	InvalidToken Kind = "invalid_resume_token"
	// NotReady is a router that has no fleet file yet.
	NotReady Kind = "not_ready"
	// ShuttingDown is a router or back end that is shutting down.
	ShuttingDown Kind = "leaving"
	// Conflict is an apply that another operator's apply preceded.
	Conflict Kind = "conflict"
	// InvalidFleet is a fleet file that fails its checks.
	InvalidFleet Kind = "invalid_fleet"
	// InvalidSettings is a settings file or flag that fails its checks.
	InvalidSettings Kind = "invalid_settings"
	// StaleFence is an order or write with a fence older than one seen before.
	StaleFence Kind = "stale_fence"
	// RateLimited is a refusal by a rate limit of the platform or of a tenant.
	RateLimited Kind = "rate_limited"
	// Timeout is a wait, such as apply --wait, that timed out.
	Timeout Kind = "timeout"
	// Internal is a fault of fieldpond itself.
	Internal Kind = "internal"
)

type kindRow struct {
	status int
	exit   int
	remedy string
}

// Exit codes of the command line, by group of kinds.
const (
	exitInternal    = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitTimeout     = 6
	exitDenied      = 7
)

var kindTable = map[Kind]kindRow{
	BadRequest:            {http.StatusBadRequest, exitUsage, "correct the request as the message describes and send it again"},
	TooLarge:              {http.StatusRequestEntityTooLarge, exitUsage, "send a smaller body or header; the router's settings define the limits"},
	Unauthorized:          {http.StatusUnauthorized, exitDenied, "send 'Authorization: Bearer KEY' with a key whose hash is in the fleet file"},
	Forbidden:             {http.StatusForbidden, exitDenied, "ask the operator to list the service, class or place under your tenant in the fleet file"},
	UnknownService:        {http.StatusNotFound, exitUsage, "name a service of the fleet file; 'GET /v1/models' lists those you may use"},
	UnknownRoute:          {http.StatusNotFound, exitUsage, "check path and method against the API reference"},
	MissingIdempotencyKey: {http.StatusBadRequest, exitUsage, "send an Idempotency-Key header, the same one on every retry of this request"},
	KeyReused:             {http.StatusUnprocessableEntity, exitUsage, "use a new Idempotency-Key for a new request"},
	AlreadyClaimed:        {http.StatusConflict, exitConflict, "do not send the request with another key; retry with the same key later to get the outcome"},
	NoPermittedEngine:     {http.StatusServiceUnavailable, exitUnavailable, "retry after the stated time; if the error persists, the operator should check 'fieldpond status' for engines in the tenant's places"},
	Overloaded:            {http.StatusTooManyRequests, exitUnavailable, "retry after the stated time"},
	DeadlineExceeded:      {http.StatusServiceUnavailable, exitTimeout, "retry after the stated time, or ask the operator for a longer maxHold in the class"},
	StoreUnavailable:      {http.StatusServiceUnavailable, exitUnavailable, "retry after the stated time with the same Idempotency-Key; the operator should check the platform's table service"},
	BackendLost:           {http.StatusBadGateway, exitUnavailable, "retry a repeatable request after the stated time"},
	Quarantined:           {http.StatusServiceUnavailable, exitUnavailable, "change the request, or ask the operator to check the back ends named and to release the request"},
	StreamNotContinued:    {http.StatusServiceUnavailable, exitUnavailable, "send the request anew, without the id of the last event"},
	BackendRefused:        {http.StatusServiceUnavailable, exitUnavailable, "retry after the stated time"},
	OutcomeUnknown:        {http.StatusBadGateway, exitUnavailable, "do not send the request with another key; retry with the same Idempotency-Key to get the outcome"},
	StreamBroken:          {http.StatusBadGateway, exitUnavailable, "send the request again; the text received so far is correct but incomplete"},
	InvalidToken:          {http.StatusBadRequest, exitUsage, "resume with the last event id exactly as received, with the same tenant key"},
	NotReady:              {http.StatusServiceUnavailable, exitUnavailable, "retry after the stated time; the operator should apply a fleet file"},
	ShuttingDown:          {http.StatusServiceUnavailable, exitUnavailable, "send the request to another router"},
	Conflict:              {http.StatusConflict, exitConflict, "run 'fieldpond diff' against the winning version, then apply again"},
	InvalidFleet:          {http.StatusUnprocessableEntity, exitInvalid, "correct the lines named and run 'fieldpond check'"},
	InvalidSettings:       {http.StatusUnprocessableEntity, exitInvalid, "correct the settings named; docs/reference/settings.md lists them"},
	StaleFence:            {http.StatusConflict, exitConflict, "stop: a newer holder has the lease"},
	RateLimited:           {http.StatusTooManyRequests, exitUnavailable, "retry after the stated time"},
	Timeout:               {http.StatusGatewayTimeout, exitTimeout, "check 'fieldpond status' for routers that lag, then wait again"},
	Internal:              {http.StatusInternalServerError, exitInternal, "report this message to the maintainers"},
}

// Status returns the HTTP status code of the kind.
func (k Kind) Status() int { return k.row().status }

// ExitCode returns the exit code of the command line for the kind.
func (k Kind) ExitCode() int { return k.row().exit }

// Remedy returns the usual remedy of the kind.
func (k Kind) Remedy() string { return k.row().remedy }

func (k Kind) row() kindRow {
	if row, known := kindTable[k]; known {
		return row
	}
	return kindTable[Internal]
}
