// Package truth declares the stand-ins' truth log: a record of what actually
// ran, independent of the routers' state, against which proofs check.
//
// A log is kept in bounded memory and may also be written to a writer. Its
// encoding is JSON Lines, one Record per line.
package truth

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Kind is the kind of event that a Record describes.
type Kind string

const (
	// Started is a generation that left the queue and started to run.
	Started Kind = "started"
	// Finished is a generation that emitted its end event.
	Finished Kind = "finished"
	// Cancelled is a generation cancelled by its caller.
	Cancelled Kind = "cancelled"
	// Lost is a generation that ended because its engine's incarnation ended.
	Lost Kind = "lost"
	// OrderApplied is a fenced order that took effect.
	OrderApplied Kind = "order_taken"
	// Loaded is a model version that became ready to serve.
	Loaded Kind = "loaded"
	// Executed is one execution of an application request.
	Executed Kind = "executed"
	// CacheStored is the addition of blocks to the cache.
	CacheStored Kind = "cache_stored"
	// CacheRemoved is the eviction of blocks from the cache.
	CacheRemoved Kind = "cache_removed"
	// IncarnationStarted is the start of an incarnation.
	IncarnationStarted Kind = "life"
	// Crashed is the end of an incarnation.
	Crashed Kind = "crashed"
)

// Reuse counts the cached tokens that a generation reused from one namespace.
type Reuse struct {
	// Tenant, Model, Version and Adapter are what the blocks were computed for.
	Tenant  ident.Tenant       `json:"tenant"`
	Model   ident.Model        `json:"model"`
	Version ident.ModelVersion `json:"version"`
	Adapter ident.Adapter      `json:"adapter,omitempty"`
	// Incarnation is the engine incarnation that holds the blocks.
	Incarnation ident.Incarnation `json:"incarnation"`
	Tokens      int               `json:"tokens"`
}

// Record is one entry of a truth log. Fields that don't apply to its Kind are
// omitted.
type Record struct {
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Engine or Application is the back end that writes the record.
	Engine      ident.Engine      `json:"engine,omitempty"`
	Application ident.Application `json:"application,omitempty"`
	Zone        ident.Zone        `json:"zone,omitempty"`
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`

	RequestID ident.Request      `json:"request_id,omitempty"`
	Attempt   ident.Attempt      `json:"attempt,omitempty"`
	Stream    ident.Stream       `json:"stream,omitempty"`
	Tenant    ident.Tenant       `json:"tenant,omitempty"`
	Model     ident.Model        `json:"model,omitempty"`
	Version   ident.ModelVersion `json:"version,omitempty"`
	Adapter   ident.Adapter      `json:"adapter,omitempty"`

	// Ran is whether any part of the work was executed.
	Ran bool `json:"ran,omitempty"`
	// PromptTokens counts the prompt's tokens, CachedTokens those found in the
	// cache, PrefilledTokens those computed so far.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	CachedTokens    int `json:"cached_tokens,omitempty"`
	PrefilledTokens int `json:"prefilled_tokens,omitempty"`
	// GeneratedTokens counts the tokens emitted by this attempt.
	GeneratedTokens int `json:"generated_tokens,omitempty"`
	// Reused lists the namespaces of the cached tokens.
	Reused []Reuse `json:"reused,omitempty"`
	// Salt and Hashes identify the prompt's blocks on Started, the changed
	// blocks on CacheStored and CacheRemoved.
	Salt   prefix.Salt  `json:"salt,omitempty"`
	Hashes prefix.Chain `json:"hashes,omitempty"`

	// OrderID, OrderKind and Fence are set on OrderApplied.
	OrderID   string `json:"order_id,omitempty"`
	OrderKind string `json:"order_kind,omitempty"`
	Fence     uint64 `json:"fence,omitempty"`

	// Service, Path, IdempotencyKey and Detail are set on Executed.
	Service        ident.Service `json:"service,omitempty"`
	Path           string        `json:"path,omitempty"`
	IdempotencyKey string        `json:"idempotency_key,omitempty"`
	Detail         string        `json:"detail,omitempty"`
}
