// Package truth declares the stand-ins' truth log: what truly ran, whatever
// any router believes. Proofs are judged on these records.
//
// A log is kept in memory, bounded, and may also be appended to a writer. On
// every wire it is JSON lines, one Record a line.
package truth

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Kind names what a Record states.
type Kind string

const (
	// Started is a generation that left the waiting queue and began to run.
	Started Kind = "started"
	// Finished is a generation that emitted its end event.
	Finished Kind = "finished"
	// Cancelled is a generation stopped by its caller.
	Cancelled Kind = "cancelled"
	// Lost is a generation that ended with the life of its engine.
	Lost Kind = "lost"
	// OrderTaken is a fenced order that took effect.
	OrderTaken Kind = "order_taken"
	// Loaded is a model version that became ready to serve.
	Loaded Kind = "loaded"
	// Executed is one execution of an application request.
	Executed Kind = "executed"
	// CacheStored and CacheRemoved are true changes of a block cache.
	CacheStored Kind = "cache_stored"
	// CacheRemoved is a block eviction; see CacheStored.
	CacheRemoved Kind = "cache_removed"
	// Life is the start of an incarnation.
	Life Kind = "life"
	// Crashed is the end of an incarnation.
	Crashed Kind = "crashed"
)

// Reuse counts the cached tokens a generation reused out of one namespace.
type Reuse struct {
	// Tenant, Model, Version and Adapter are what the blocks were computed for.
	Tenant  ident.Tenant       `json:"tenant"`
	Model   ident.Model        `json:"model"`
	Version ident.ModelVersion `json:"version"`
	Adapter ident.Adapter      `json:"adapter,omitempty"`
	// Incarnation is the life of the engine that holds the blocks.
	Incarnation ident.Incarnation `json:"incarnation"`
	Tokens      int               `json:"tokens"`
}

// Record is one line of a truth log. Fields that do not apply to its Kind are
// left out.
type Record struct {
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Engine or Application names the back end that writes the record.
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

	// Ran says whether any part of the work was executed.
	Ran bool `json:"ran,omitempty"`
	// PromptTokens counts the prompt, CachedTokens what the cache gave of it,
	// PrefilledTokens what was computed of it so far.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	CachedTokens    int `json:"cached_tokens,omitempty"`
	PrefilledTokens int `json:"prefilled_tokens,omitempty"`
	// GeneratedTokens counts the tokens emitted by this attempt.
	GeneratedTokens int `json:"generated_tokens,omitempty"`
	// Reused lists whose blocks the cached tokens came from.
	Reused []Reuse `json:"reused,omitempty"`
	// Salt and Hashes name blocks: those of the prompt on Started, those
	// changed on CacheStored and CacheRemoved.
	Salt   prefix.Salt  `json:"salt,omitempty"`
	Hashes prefix.Chain `json:"hashes,omitempty"`

	// OrderID, OrderKind and Fence are set on OrderTaken.
	OrderID   string `json:"order_id,omitempty"`
	OrderKind string `json:"order_kind,omitempty"`
	Fence     uint64 `json:"fence,omitempty"`

	// Service, Path, IdempotencyKey and Detail are set on Executed.
	Service        ident.Service `json:"service,omitempty"`
	Path           string        `json:"path,omitempty"`
	IdempotencyKey string        `json:"idempotency_key,omitempty"`
	Detail         string        `json:"detail,omitempty"`
}
