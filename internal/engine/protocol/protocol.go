// Package protocol declares the published HTTP protocol of model engines and
// applications: the JSON bodies, paths, headers and stream events that a
// router and a back end exchange. It holds no behaviour, so that the client
// (internal/engine) and the stand-ins (standin/...) meet only here.
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
// 429 or 503 and a Refusal whose Ran is "no" (also in HeaderRan). Any other
// end of an exchange leaves the fate of the attempt to be judged by the reader.
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

// GenerateRequest asks an engine for one generation. The engine refuses with
// RefusalMismatch, before running, unless incarnation, model, version, adapter
// and salt are what it holds.
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
	// Priority orders waiting work on the engine; smaller is more urgent.
	Priority int `json:"priority"`
	// Prompt is the whole rendered prompt text.
	Prompt string `json:"prompt"`
	// Continued is text already given to the caller by an earlier attempt; the
	// engine treats it as part of the prompt and continues after it.
	Continued string `json:"continued,omitempty"`
	// MaxTokens bounds the tokens to generate, Continued not included.
	MaxTokens int `json:"max_tokens"`
}

// StreamEventKind names the kind of one server-sent event of a generation.
type StreamEventKind string

const (
	// EventStart opens a stream: the request was accepted and will run.
	EventStart StreamEventKind = "start"
	// EventChunk carries generated text.
	EventChunk StreamEventKind = "chunk"
	// EventEnd is the only proof that a stream is whole.
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

// RefusalKind names why a back end refused before executing anything.
type RefusalKind string

const (
	// RefusalMismatch means: another incarnation, version, adapter or salt is in force.
	RefusalMismatch RefusalKind = "mismatch"
	// RefusalFull means: the waiting queue is full.
	RefusalFull RefusalKind = "full"
	// RefusalDraining means: the back end is stopping and takes no new work.
	RefusalDraining RefusalKind = "leaving"
	// RefusalUnknownStream means: no such stream in this incarnation (resume, cancel).
	RefusalUnknownStream RefusalKind = "unknown_stream"
	// RefusalStaleFence means: an order with an older fence than one already taken.
	RefusalStaleFence RefusalKind = "stale_fence"
	// RefusalBadRequest means: the request could not be understood.
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

// LoadReport is what a back end says of itself; it lags behind the truth.
type LoadReport struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// MeasuredAt is when the figures were true, on the back end's clock.
	MeasuredAt time.Time `json:"measured_at"`
	// AgeMillis is how old the figures were when the report was sent.
	AgeMillis int64 `json:"age_millis"`
	Draining  bool  `json:"leaving"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MaxRunning is the batch limit; zero means not told.
	MaxRunning int `json:"max_running"`
	// QueuedPrefillTokens counts prompt tokens not yet prefilled, over all requests.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// PrefillMicrosPerToken is the measured prefill slope; zero means not told.
	PrefillMicrosPerToken float64 `json:"prefill_micros_per_token"`
	// CacheBlocks and CacheCapacityBlocks describe the block cache.
	CacheBlocks         int `json:"cache_blocks"`
	CacheCapacityBlocks int `json:"cache_capacity_blocks"`
	// BlockTokens is the size of one cache block.
	BlockTokens int `json:"block_tokens"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role"`
	// Fence is the highest fence this incarnation has taken an order with.
	Fence uint64 `json:"fence"`
	// Loaded lists what the engine can serve now.
	Loaded []LoadedModel `json:"loaded"`
}

// LoadedModel is one model version and its adapters, ready to serve.
type LoadedModel struct {
	Model    ident.Model        `json:"model"`
	Version  ident.ModelVersion `json:"version"`
	Adapters []ident.Adapter    `json:"adapters,omitempty"`
}

// CacheEventKind names one change of an engine's block cache.
type CacheEventKind string

const (
	// CacheStored means: the blocks are now held.
	CacheStored CacheEventKind = "stored"
	// CacheRemoved means: the blocks were evicted.
	CacheRemoved CacheEventKind = "removed"
	// CacheCleared means: every block was dropped.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's block cache.
type CacheEvent struct {
	// Sequence counts the events of an incarnation, starting at 1. A gap means
	// that events were lost.
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

// CacheSnapshot lists every block an engine holds, as of Sequence.
type CacheSnapshot struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Hashes      prefix.Chain      `json:"hashes"`
}

// TransferRequest names cached blocks to export.
type TransferRequest struct {
	ExpectedIncarnation ident.Incarnation `json:"expected_incarnation"`
	Salt                prefix.Salt       `json:"salt"`
	Hashes              prefix.Chain      `json:"hashes"`
}

// TransferResult says how many blocks an import took.
type TransferResult struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Imported    int               `json:"imported"`
}

// OrderKind names what a fenced order does.
type OrderKind string

const (
	// OrderLoad loads a model version with its adapters, fetched from the weight store.
	OrderLoad OrderKind = "load"
	// OrderUnload drops a model version and every block cached under it.
	OrderUnload OrderKind = "unload"
	// OrderRole changes the role.
	OrderRole OrderKind = "role"
)

// Order is a fenced command to one engine. An engine takes an order only if
// its fence is at least the highest one seen; repeats of OrderID take effect once.
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

// OrderResult confirms that an order was taken; loading goes on in the
// background and shows in LoadReport.Loaded.
type OrderResult struct {
	OrderID string `json:"order_id"`
	Fence   uint64 `json:"fence"`
}
