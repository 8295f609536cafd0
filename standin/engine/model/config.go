// Package model is a discrete-event model of an inference engine: continuous
// batching with chunked prefill, a bounded waiting queue with priorities, a
// bounded LRU block cache, delayed and lossy cache events, lagged load reports,
// fenced orders and crashes.
//
// It has no I/O, clock, goroutine or global random source. A driver (the HTTP
// server in real time, an experiment in virtual time) calls its methods with the
// current time, which must not go back, and drains the outputs with Advance. An
// Engine is not safe for concurrent use.
package model

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Roles of an engine. The role sets the prefill budget of a step.
const (
	// RoleMixed serves prefill and decode equally.
	RoleMixed = "mixed"
	// RolePrefill doubles the prefill budget.
	RolePrefill = "prefill"
	// RoleDecode quarters the prefill budget.
	RoleDecode = "decode"
)

// Config is the behaviour of an engine, the same for all its incarnations.
type Config struct {
	// Name and Zone are written to the truth records.
	Name ident.Engine
	Zone ident.Zone
	// BlockTokens is the size of one cache block; default 16.
	BlockTokens int
	// CacheBlocks is the capacity of the block cache; default 4096.
	CacheBlocks int
	// MaxRunning is the largest batch size; default 16.
	MaxRunning int
	// MaxWaiting bounds the waiting queue; default 256.
	MaxWaiting int
	// PrefillChunkTokens is the prefill budget of one step, shared by the batch
	// in order of priority; default 256.
	PrefillChunkTokens int
	// PrefillPerToken is the prefill time of one token; default 100 µs.
	PrefillPerToken time.Duration
	// DecodePerToken is the time of a decode step for one request; default 10 ms.
	DecodePerToken time.Duration
	// DecodeGrowth is the fraction by which each further request of the batch
	// lengthens a decode step; default 0.02.
	DecodeGrowth float64
	// LoadDuration is the time to load a version once its weights are fetched;
	// default 2 s.
	LoadDuration time.Duration
	// ExternalWeights makes every load wait for WeightsArrived.
	ExternalWeights bool
	// TransferPerBlock is the time to export or import one block, simulated by
	// the driver; default 100 µs.
	TransferPerBlock time.Duration
	// MaxPromptTokens and MaxOutputTokens bound one request; defaults 262144
	// and 8192.
	MaxPromptTokens int
	MaxOutputTokens int
	// EventDelay is the delay of published cache events; default 200 ms.
	EventDelay time.Duration
	// EventLoss is the probability that a cache event is lost; default 0.
	EventLoss float64
	// LoadLag is the age of load reports; default 250 ms.
	LoadLag time.Duration
	// Models are loaded at the start of every incarnation.
	Models []protocol.LoadedModel
	// Role is the role at the start of every incarnation; default "mixed".
	Role string
	// TruthBlocks adds the block hashes of prompts and of cache changes to the
	// truth records.
	TruthBlocks bool
}

// DefaultConfig returns the defaults, without a name and without models.
func DefaultConfig() Config {
	return Config{
		BlockTokens:        prefix.DefaultBlockTokens,
		CacheBlocks:        4096,
		MaxRunning:         16,
		MaxWaiting:         256,
		PrefillChunkTokens: 256,
		PrefillPerToken:    100 * time.Microsecond,
		DecodePerToken:     10 * time.Millisecond,
		DecodeGrowth:       0.02,
		LoadDuration:       2 * time.Second,
		TransferPerBlock:   100 * time.Microsecond,
		MaxPromptTokens:    262144,
		MaxOutputTokens:    8192,
		EventDelay:         200 * time.Millisecond,
		LoadLag:            250 * time.Millisecond,
		Role:               RoleMixed,
	}
}

// Validate checks the ranges; the error is a *fault.Fault of InvalidSettings.
func (c Config) Validate() error {
	positive := []struct {
		name  string
		value int
	}{
		{"block tokens", c.BlockTokens},
		{"cache blocks", c.CacheBlocks},
		{"running limit", c.MaxRunning},
		{"waiting limit", c.MaxWaiting},
		{"prefill chunk tokens", c.PrefillChunkTokens},
		{"prefill time per token", int(c.PrefillPerToken)},
		{"decode time per token", int(c.DecodePerToken)},
		{"prompt limit", c.MaxPromptTokens},
		{"output limit", c.MaxOutputTokens},
	}
	for _, setting := range positive {
		if setting.value <= 0 {
			return invalidConfig("%s must be above zero", setting.name)
		}
	}
	if c.DecodeGrowth < 0 || c.LoadDuration < 0 || c.TransferPerBlock < 0 || c.EventDelay < 0 || c.LoadLag < 0 {
		return invalidConfig("growth, load and transfer durations, event delay and load lag must not be negative")
	}
	if !(c.EventLoss >= 0 && c.EventLoss <= 1) {
		return invalidConfig("event loss must be from 0 to 1")
	}
	if !validRole(c.Role) {
		return invalidConfig("role %q is unknown", c.Role)
	}
	return nil
}

func invalidConfig(format string, arguments ...any) error {
	return fault.New(fault.InvalidSettings, format, arguments...).
		WithRemedy("correct the flags of the engine stand-in; see 'rehearse engine --help'")
}

func validRole(role string) bool {
	return role == RoleMixed || role == RolePrefill || role == RoleDecode
}

// Conditions are the parameters that faults change while an engine runs.
type Conditions struct {
	// Stalled stops all progress of generations.
	Stalled bool
	// RefuseFull rejects all new work as if the queue were full.
	RefuseFull bool
	// Draining rejects all new work because the engine is stopping.
	Draining bool
	// SlowFactor multiplies the duration of steps; values below 1 count as 1.
	SlowFactor float64
	// EventLoss, EventDelay and LoadLag replace those of the Config.
	EventLoss  float64
	EventDelay time.Duration
	LoadLag    time.Duration
}

// Conditions returns the conditions without any fault.
func (c Config) Conditions() Conditions {
	return Conditions{SlowFactor: 1, EventLoss: c.EventLoss, EventDelay: c.EventDelay, LoadLag: c.LoadLag}
}
