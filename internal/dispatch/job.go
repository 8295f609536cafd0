// Package dispatch runs one caller request: its attempts, streams, resumes and
// late answers.
//
// A model request may use several attempts; a chunk is accepted only if it
// belongs to the attempt being read and is the next one (Sequencer). An
// application request that may not run twice has at most one attempt that may
// have executed it. RunLedger alone decides whether a request ran.
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
	// Zones are the zones the tenant's data may be in.
	Zones map[ident.Zone]bool
	// RecomputationWeight is that of the service's objective.
	RecomputationWeight float64
	// Prompt is the rendered prompt.
	Prompt string
	// Continued is the text already emitted by earlier attempts.
	Continued string
	// MaxTokens bounds the complete answer, Continued included.
	MaxTokens int
	// Excluded lists engines that refused or failed this request.
	Excluded map[ident.Engine]bool
	// PlacementDeadline is the deadline for the placement of an attempt.
	PlacementDeadline time.Time
	// FirstTokenTimeout bounds the wait for the first chunk; zero means the
	// stall timeout.
	FirstTokenTimeout time.Duration
	// Resumable is true if the caller receives positions it can resume from.
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
	// ExpectedCachedTokens is the number of prompt tokens expected to be cached.
	ExpectedCachedTokens float64
	// Started is called once if the engine accepted the attempt, with its own
	// count of prompt and cached tokens. It may be nil and must not block.
	Started func(incarnation ident.Incarnation, usage protocol.Usage)
	// FirstToken is called once if the attempt returned a chunk. It may be
	// nil and must not block.
	FirstToken func()
	// Release is called exactly once, when the attempt is over. It may be nil.
	Release func(Result)
}

// Outcome is the way an attempt ended.
type Outcome string

const (
	// OutcomeAnswered is a complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused is an explicit refusal before execution.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnreachable is an attempt of which no byte was sent.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeBroken is an attempt that broke after it was sent.
	OutcomeBroken Outcome = "broken"
	// OutcomeAbandoned is an attempt whose caller left.
	OutcomeAbandoned Outcome = "abandoned"
)

// Result is the outcome of one attempt, as reported to its placer.
type Result struct {
	Outcome Outcome
	// Refusal is set for OutcomeRefused.
	Refusal protocol.RefusalKind
	// Incarnation is the one that answered or refused; empty if none did.
	Incarnation ident.Incarnation
	// TimeToFirstToken is zero if no chunk arrived.
	TimeToFirstToken time.Duration
	// Duration is the time from the start of the attempt to its end.
	Duration time.Duration
	// Usage is the engine's own count, or nil if it reported none.
	Usage *protocol.Usage
}

// Placer admits a request and chooses an engine for its next attempt.
type Placer interface {
	// Place blocks until an engine is chosen or the job's deadline for placement
	// passes; errors are *fault.Fault.
	Place(ctx context.Context, job *Job) (Placement, error)
}

// RetryBudget bounds retries as a share of successes.
type RetryBudget interface {
	// Allow spends one retry of the service's budget and reports whether it had one.
	Allow(service ident.Service) bool
	// Success records a success.
	Success(service ident.Service)
}

// Position is a position in an engine's stream, with the caller's progress up to it.
type Position struct {
	Request     ident.Request
	Attempt     ident.Attempt
	Engine      ident.Engine
	Incarnation ident.Incarnation
	Stream      ident.Stream
	Version     ident.ModelVersion
	// Next is the sequence number of the next event.
	Next uint64
	// EmittedBytes and EmittedTokens count the text sent to the caller.
	EmittedBytes, EmittedTokens int
	// PromptTokens and CachedTokens are the first attempt's.
	PromptTokens, CachedTokens int
}

// Chunk is one piece of the answer, in order. The first chunk of an answer may
// be empty: it marks the start of the generation.
type Chunk struct {
	Text     string
	Position Position
}

// Sink receives the answer. An error means that the caller is gone or too slow.
type Sink interface {
	// Chunk passes on the next chunk.
	Chunk(chunk Chunk) error
}

// Completion is the proven end of an answer.
type Completion struct {
	FinishReason string
	Usage        protocol.Usage
	Version      ident.ModelVersion
}
