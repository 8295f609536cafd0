// Package engine is the client of back ends: model engines and applications.
// Other packages depend on its interfaces; HTTPClient implements them over the
// protocol of package protocol.
package engine

import (
	"context"
	"net/http"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Generator starts, resumes and cancels generations.
//
// Errors are *fault.Fault. Ran is "no" only if no byte of the request was sent,
// or if the engine refused explicitly before execution (the cause is then a
// *RefusedError). Otherwise Ran is "unknown".
type Generator interface {
	// Generate starts a generation. It returns after the start event.
	Generate(ctx context.Context, address string, request protocol.GenerateRequest) (EventStream, error)
	// Resume continues the stream of an incarnation at target.From.
	Resume(ctx context.Context, address string, target ResumeTarget) (EventStream, error)
	// Cancel stops a generation; cancelling an unknown stream is no error.
	Cancel(ctx context.Context, address string, stream ident.Stream) error
}

// ResumeTarget is a position in a stream.
type ResumeTarget struct {
	Incarnation ident.Incarnation
	Stream      ident.Stream
	// From is the sequence number of the next event to receive.
	From uint64
}

// EventStream is one open generation. It is used by one goroutine, except that
// Close may be called by any.
type EventStream interface {
	// Next returns the next event as received, unvalidated. After the end event
	// it returns io.EOF; if the stream breaks earlier, a *fault.Fault of kind
	// BackendLost with Ran "unknown" or "yes".
	Next() (protocol.StreamEvent, error)
	// Close releases the connection without cancelling the generation.
	Close()
}

// Observer reads load reports and cache contents of back ends.
type Observer interface {
	// Load returns the back end's load report.
	Load(ctx context.Context, address string) (protocol.LoadReport, error)
	// CacheEvents opens the cache event stream after the given sequence number.
	CacheEvents(ctx context.Context, address string, after uint64) (BatchStream, error)
	// CacheSnapshot returns every block the engine holds.
	CacheSnapshot(ctx context.Context, address string) (protocol.CacheSnapshot, error)
}

// BatchStream is one open cache event stream.
type BatchStream interface {
	// Next returns the next batch, or an error after the stream broke.
	Next() (protocol.CacheEventBatch, error)
	// Close releases the connection.
	Close()
}

// Transferer moves cached blocks between engines.
type Transferer interface {
	// Export reads blocks from an engine.
	Export(ctx context.Context, address string, request protocol.TransferRequest) ([]byte, error)
	// Import writes exported blocks into an engine under the request's salt.
	Import(ctx context.Context, address string, request protocol.TransferRequest, blocks []byte) (protocol.TransferResult, error)
}

// Orderer issues fenced orders.
type Orderer interface {
	// Order issues one order; a stale fence is a *fault.Fault of kind StaleFence.
	Order(ctx context.Context, address string, order protocol.Order) (protocol.OrderResult, error)
}

// ApplicationRequest is one request to an application back end.
type ApplicationRequest struct {
	RequestID      ident.Request
	Attempt        ident.Attempt
	Tenant         ident.Tenant
	Service        ident.Service
	IdempotencyKey string
	Method         string
	// Path is the path below /v1/services/{service}, with its leading slash.
	Path        string
	RawQuery    string
	ContentType string
	Body        []byte
}

// ApplicationResponse is the whole answer of an application back end.
type ApplicationResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Incarnation identifies the process that answered.
	Incarnation ident.Incarnation
}

// ApplicationCaller sends requests to applications.
type ApplicationCaller interface {
	// Call sends one request and reads the whole answer. Errors as in Generator.
	Call(ctx context.Context, address string, request ApplicationRequest) (ApplicationResponse, error)
}

// Client combines all operations on back ends.
type Client interface {
	Generator
	Observer
	Transferer
	Orderer
	ApplicationCaller
}

// RefusedError is the cause of a fault after an explicit refusal.
type RefusedError struct {
	Refusal protocol.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "back end refused (" + string(e.Refusal.Kind) + "): " + e.Refusal.Message
}
