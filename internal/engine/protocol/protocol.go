// Package protocol declares the HTTP protocol of model engines and applications:
// the JSON bodies, paths, headers and stream events that a router and a back end
// exchange. It holds only types and constants, shared by the client
// (internal/engine) and the stand-ins (standin/...).
//
// Model engines:
//
//	POST   /v1/generate                 GenerateRequest  -> SSE of StreamEvent, or Refusal
//	GET    /v1/streams/{stream}?from=N  resume           -> SSE from sequence N, or Refusal
//	DELETE /v1/streams/{stream}         cancel           -> 204
//	GET    /v1/load                     LoadReport
//	GET    /v1/cache/events?after=N     SSE of CacheEventBatch
//	GET    /v1/cache/snapshot           CacheSnapshot
//	POST   /v1/cache/export             TransferRequest  -> application/octet-stream (opaque blocks)
//	POST   /v1/cache/import             opaque blocks, with the HeaderSalt header -> TransferResult
//	POST   /v1/orders                   Order            -> OrderResult, or Refusal
//
// Applications:
//
//	any    /v1/services/{service}/...   body as sent by the caller, with HeaderRequest,
//	                                    HeaderTenant and HeaderIdempotencyKey
//	GET    /v1/load                     LoadReport
//
// A back end that refuses before executing anything answers with status 409,
// 429 or 503 and a Refusal whose Ran is "no" (also in HeaderRan). After any other
// failure the attempt may have been executed.
package protocol

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Header names shared by both kinds of back end.
const (
	HeaderRequest        = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderTenant         = "X-Tenant"
	HeaderIncarnation    = "X-Incarnation"
	HeaderSalt           = "X-Cache-Salt"
	HeaderRan            = "X-Ran"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// GenerateRequest requests one generation. The engine refuses with
// RefusalMismatch before execution unless incarnation, model, version, adapter
// and salt match its own.
type GenerateRequest struct {
	RequestID           ident.Request      `json:"request_id"`
	Attempt             ident.Attempt      `json:"attempt"`
	ExpectedIncarnation ident.Incarnation  `json:"expected_incarnation"`
	Tenant              ident.Tenant       `json:"tenant"`
	Model               ident.Model        `json:"model"`
	Version             ident.ModelVersion `json:"version"`
	Adapter             ident.Adapter      `json:"adapter,omitempty"`
	// Salt is the cache namespace; see prefix.Namespace.
	Salt prefix.Salt `json:"salt"`
	// Priority orders waiting requests on the engine; smaller is more urgent.
	Priority int `json:"priority"`
	// Prompt is the whole rendered prompt text.
	Prompt string `json:"prompt"`
	// Continued is text that an earlier attempt already delivered; the engine
	// treats it as part of the prompt and continues after it.
	Continued string `json:"continued,omitempty"`
	// MaxTokens bounds the tokens to generate, excluding Continued.
	MaxTokens int `json:"max_tokens"`
}

// StreamEventKind is the kind of one server-sent event of a generation.
type StreamEventKind string

const (
	// EventStart is the first event: the request was accepted and will run.
	EventStart StreamEventKind = "start"
	// EventChunk carries generated text.
	EventChunk StreamEventKind = "chunk"
	// EventEnd is the only proof that a stream is complete.
	EventEnd StreamEventKind = "end"
	// EventError ends a stream that the engine cannot finish.
	EventError StreamEventKind = "error"
)

// StreamEvent is the data of one server-sent event of a generation. The SSE
// "event" field repeats Kind and the SSE "id" field repeats Sequence.
type StreamEvent struct {
	Kind        StreamEventKind   `json:"kind"`
	RequestID   ident.Request     `json:"request_id"`
	Attempt     ident.Attempt     `json:"attempt"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Stream      ident.Stream      `json:"stream"`
	// Sequence counts the events of the stream without gaps; start is 0.
	Sequence uint64 `json:"sequence"`
	// Text and Tokens are set on chunks.
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	// Usage is set on start (prompt and cached tokens) and end (all).
	Usage *Usage `json:"usage,omitempty"`
	// FinishReason is set on end: "stop" or "length".
	FinishReason string `json:"finish_reason,omitempty"`
	// Message is set on error.
	Message string `json:"message,omitempty"`
}

// Usage counts the tokens of one generation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// RefusalKind is the reason for a refusal before execution.
type RefusalKind string

const (
	// RefusalMismatch means that incarnation, model, version, adapter or salt differ.
	RefusalMismatch RefusalKind = "mismatch"
	// RefusalFull means that the waiting queue is full.
	RefusalFull RefusalKind = "full"
	// RefusalDraining means that the back end is stopping and accepts no new requests.
	RefusalDraining RefusalKind = "leaving"
	// RefusalUnknownStream means that this incarnation has no such stream (resume, cancel).
	RefusalUnknownStream RefusalKind = "unknown_stream"
	// RefusalStaleFence means that an order with a newer fence was already accepted.
	RefusalStaleFence RefusalKind = "stale_fence"
	// RefusalBadRequest means that the request is malformed.
	RefusalBadRequest RefusalKind = "bad_request"
)

// Refusal is the JSON body of every explicit refusal.
type Refusal struct {
	Kind        RefusalKind       `json:"kind"`
	Message     string            `json:"message"`
	Ran         fault.Ran         `json:"ran"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// RetryAfterMillis is a hint; zero means none.
	RetryAfterMillis int64 `json:"retry_after_millis,omitempty"`
}

// LoadReport is the load that a back end reports; it may be outdated.
type LoadReport struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// MeasuredAt is the time of measurement on the back end's clock.
	MeasuredAt time.Time `json:"measured_at"`
	// AgeMillis is the age of the measurement when the report was sent.
	AgeMillis int64 `json:"age_millis"`
	Draining  bool  `json:"leaving"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxRunning is the batch limit; zero means not reported.
	MaxRunning int `json:"max_running"`
	// QueuedPrefillTokens counts prompt tokens not yet prefilled, over all requests.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// PrefillMicrosPerToken is the measured prefill time per token; zero means not reported.
	PrefillMicrosPerToken float64 `json:"prefill_micros_per_token"`
	// CacheBlocks and CacheCapacityBlocks describe the block cache.
	CacheBlocks         int `json:"cache_blocks"`
	CacheCapacityBlocks int `json:"cache_capacity_blocks"`
	// BlockTokens is the size of one cache block.
	BlockTokens int `json:"block_tokens"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role"`
	// Fence is the highest fence of the orders that this incarnation accepted.
	Fence uint64 `json:"fence"`
	// Loaded lists the model versions ready to serve.
	Loaded []LoadedModel `json:"loaded"`
}

// LoadedModel is one model version and its adapters, ready to serve.
type LoadedModel struct {
	Model    ident.Model        `json:"model"`
	Version  ident.ModelVersion `json:"version"`
	Adapters []ident.Adapter    `json:"adapters,omitempty"`
}

// CacheEventKind is the kind of one change of an engine's block cache.
type CacheEventKind string

const (
	// CacheStored means that the blocks were added.
	CacheStored CacheEventKind = "stored"
	// CacheRemoved means that the blocks were evicted.
	CacheRemoved CacheEventKind = "removed"
	// CacheCleared means that all blocks were dropped.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's block cache.
type CacheEvent struct {
	// Sequence counts the events of an incarnation from 1; a gap means lost events.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Salt     prefix.Salt    `json:"salt,omitempty"`
	Hashes   prefix.Chain   `json:"hashes,omitempty"`
}

// CacheEventBatch is the data of one server-sent event of the event stream.
type CacheEventBatch struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheSnapshot lists all cached blocks of an engine as of Sequence.
type CacheSnapshot struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Hashes      prefix.Chain      `json:"hashes"`
}

// TransferRequest selects cached blocks to export.
type TransferRequest struct {
	ExpectedIncarnation ident.Incarnation `json:"expected_incarnation"`
	Salt                prefix.Salt       `json:"salt"`
	Hashes              prefix.Chain      `json:"hashes"`
}

// TransferResult is the number of blocks imported.
type TransferResult struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Imported    int               `json:"imported"`
}

// OrderKind is the action of a fenced order.
type OrderKind string

const (
	// OrderLoad loads a model version with its adapters, fetched from the weight store.
	OrderLoad OrderKind = "load"
	// OrderUnload drops a model version and every block cached under it.
	OrderUnload OrderKind = "unload"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
)

// Order is a fenced command to one engine. An engine accepts an order only if
// its fence is at least the highest one accepted; a retried OrderID is applied once.
type Order struct {
	OrderID             string             `json:"order_id"`
	Fence               uint64             `json:"fence"`
	ExpectedIncarnation ident.Incarnation  `json:"expected_incarnation"`
	Kind                OrderKind          `json:"kind"`
	Model               ident.Model        `json:"model,omitempty"`
	Version             ident.ModelVersion `json:"version,omitempty"`
	Adapters            []ident.Adapter    `json:"adapters,omitempty"`
	Role                string             `json:"role,omitempty"`
}

// OrderResult confirms that an order was accepted; loading continues in the
// background and appears in LoadReport.Loaded.
type OrderResult struct {
	OrderID string `json:"order_id"`
	Fence   uint64 `json:"fence"`
}
