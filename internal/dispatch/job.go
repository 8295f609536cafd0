// Package dispatch runs one caller request: its attempts, streams, resumes and
// the answers that come late.
//
// A model request may use several attempts; each chunk is taken only if it
// belongs to the attempt being read and is the next one (Sequencer). An
// application request that may not be repeated has at most one attempt whose
// fate is not an explicit refusal. RunLedger is the only judge of what ran.
package dispatch

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Job is one model request that has passed its checks.
type Job struct {
	ID       ident.Request
	Tenant   ident.Tenant
	Service  ident.Service
	Class    ident.Class
	Priority int
	Model    ident.Model
	Adapter  ident.Adapter
	// Versions lists the permitted versions, preferred first. Once text was
	// emitted it holds only the version that emitted it.
	Versions []ident.ModelVersion
	// Zones is the set of places the tenant's data may be in.
	Zones map[ident.Zone]bool
	// RecomputationWeight is the service's objective.
	RecomputationWeight float64
	// Prompt is the rendered prompt.
	Prompt string
	// Continued is the text already emitted by earlier attempts.
	Continued string
	// MaxTokens bounds the whole answer, Continued included.
	MaxTokens int
	// Excluded lists engines that refused or failed this request.
	Excluded map[ident.Engine]bool
	// PlacementDeadline is when a placement is given up.
	PlacementDeadline time.Time
	// FirstTokenTimeout bounds the wait for the first chunk; zero means the
	// stall timeout.
	FirstTokenTimeout time.Duration
	// Resumable says that the caller receives positions it can resume from.
	Resumable bool
}

// Placement is the engine chosen for one attempt.
type Placement struct {
	Engine      ident.Engine
	Address     string
	Incarnation ident.Incarnation
	Zone        ident.Zone
	Model       ident.Model
	Version     ident.ModelVersion
	Adapter     ident.Adapter
	Salt        prefix.Salt
	// ExpectedCachedTokens is the number of prompt tokens believed to be cached.
	ExpectedCachedTokens float64
	// Started is called once if the engine accepted the attempt, with its own
	// count of prompt and cached tokens. It may be nil and must not block.
	Started func(incarnation ident.Incarnation, usage protocol.Usage)
	// FirstToken is called once if the attempt gave a first chunk. It may be
	// nil and must not block.
	FirstToken func()
	// Release is called exactly once, when the attempt is over. It may be nil.
	Release func(Result)
}

// Outcome says how an attempt ended.
type Outcome string

const (
	// OutcomeAnswered is a whole answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused is an explicit refusal before execution.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnreachable is an attempt of which no byte left.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeBroken is an attempt that broke after it left.
	OutcomeBroken Outcome = "broken"
	// OutcomeAbandoned is an attempt whose caller went away.
	OutcomeAbandoned Outcome = "abandoned"
)

// Result is what beliefs and limits learn from one attempt.
type Result struct {
	Outcome Outcome
	// Refusal is set for OutcomeRefused.
	Refusal protocol.RefusalKind
	// Incarnation is the one that answered or refused; empty if none did.
	Incarnation ident.Incarnation
	// TimeToFirstToken is zero if no chunk came.
	TimeToFirstToken time.Duration
	// Duration is the time the attempt held the engine.
	Duration time.Duration
	// Usage is the engine's own count, or nil if it told none.
	Usage *protocol.Usage
}

// Placer admits a request and chooses an engine for its next attempt.
type Placer interface {
	// Place blocks until an engine is chosen or the hold time ran out; errors
	// are *fault.Fault.
	Place(ctx context.Context, job *Job) (Placement, error)
}

// RetryBudget bounds retries as a share of successes.
type RetryBudget interface {
	// Allow takes one retry out of the budget of the service, if there is one.
	Allow(service ident.Service) bool
	// Success records a success.
	Success(service ident.Service)
}

// Position is a place in a stream of an engine, and what the caller has up to it.
type Position struct {
	Request     ident.Request
	Attempt     ident.Attempt
	Engine      ident.Engine
	Incarnation ident.Incarnation
	Stream      ident.Stream
	Version     ident.ModelVersion
	// Next is the sequence number of the next event wanted.
	Next uint64
	// EmittedBytes and EmittedTokens count the text the caller has.
	EmittedBytes, EmittedTokens int
	// PromptTokens and CachedTokens are the first attempt's.
	PromptTokens, CachedTokens int
}

// Chunk is one piece of the answer, in order. The first chunk of an answer may
// be empty: it tells that the generation started.
type Chunk struct {
	Text     string
	Position Position
}

// Sink receives the answer. An error means that the caller is gone or too slow.
type Sink interface {
	// Chunk takes the next chunk.
	Chunk(chunk Chunk) error
}

// Completion is the proven end of an answer.
type Completion struct {
	FinishReason string
	Usage        protocol.Usage
	Version      ident.ModelVersion
}
