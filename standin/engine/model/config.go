// Package model is a discrete-event model of a model engine: continuous
// batching with chunked prefill, a bounded waiting queue with priorities, a
// limited block cache with least-recently-used eviction, late and lossy cache
// events, lagged load reports, fenced orders and crashes.
//
// It holds no I/O, clock, goroutine or global random source. A driver (the
// HTTP shell in real time, an experiment in virtual time) calls its methods
// with the current time, which must never go back, and drains the outputs with
// Advance. An Engine is used by one goroutine.
package model

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Roles of an engine. A role shifts the prefill budget of a step.
const (
	// RoleMixed serves prefill and decode alike.
	RoleMixed = "mixed"
	// RolePrefill doubles the prefill budget.
	RolePrefill = "prefill"
	// RoleDecode quarters the prefill budget.
	RoleDecode = "decode"
)

// Config fixes the behaviour of an engine for all its lives.
type Config struct {
	// Name and Zone go into the truth records.
	Name ident.Engine
	Zone ident.Zone
	// BlockTokens is the size of one cache block; default 16.
	BlockTokens int
	// CacheBlocks is the capacity of the block cache; default 4096.
	CacheBlocks int
	// MaxRunning bounds the batch; default 16.
	MaxRunning int
	// MaxWaiting bounds the waiting queue; default 256.
	MaxWaiting int
	// PrefillChunkTokens is the prefill budget of one step, shared over the
	// batch, urgent first; default 256.
	PrefillChunkTokens int
	// PrefillPerToken is the prefill slope; default 100 µs.
	PrefillPerToken time.Duration
	// DecodePerToken is the time of a decode step for one request; default 10 ms.
	DecodePerToken time.Duration
	// DecodeGrowth is the share by which each further request of the batch
	// lengthens a decode step; default 0.02.
	DecodeGrowth float64
	// LoadDuration is the time to load a version once its weights are there;
	// default 2 s.
	LoadDuration time.Duration
	// ExternalWeights makes every load wait for WeightsArrived.
	ExternalWeights bool
	// TransferPerBlock is the time to export or import one block, acted out by
	// the driver; default 100 µs.
	TransferPerBlock time.Duration
	// MaxPromptTokens and MaxOutputTokens bound one request; defaults 262144
	// and 8192.
	MaxPromptTokens int
	MaxOutputTokens int
	// EventDelay is how late cache events are published; default 200 ms.
	EventDelay time.Duration
	// EventLoss is the probability that a cache event is lost; default 0.
	EventLoss float64
	// LoadLag is how old load reports are; default 250 ms.
	LoadLag time.Duration
	// Models are loaded at the start of every life.
	Models []protocol.LoadedModel
	// Role is the role at the start of every life; default "mixed".
	Role string
	// TruthBlocks adds the block hashes of prompts and of true cache changes to
	// the truth records.
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
		WithRemedy("correct the engine stand-in's flags as 'rehearse engine --help' says")
}

func validRole(role string) bool {
	return role == RoleMixed || role == RolePrefill || role == RoleDecode
}

// Conditions are the circumstances that faults change while an engine lives.
type Conditions struct {
	// Stalled stops all progress of generations.
	Stalled bool
	// RefuseFull refuses all new work as if the queue were full.
	RefuseFull bool
	// Draining refuses all new work because the engine is stopping.
	Draining bool
	// SlowFactor multiplies the duration of steps; below 1 counts as 1.
	SlowFactor float64
	// EventLoss, EventDelay and LoadLag replace those of the Config.
	EventLoss  float64
	EventDelay time.Duration
	LoadLag    time.Duration
}

// Conditions returns the circumstances without any fault.
func (c Config) Conditions() Conditions {
	return Conditions{SlowFactor: 1, EventLoss: c.EventLoss, EventDelay: c.EventDelay, LoadLag: c.LoadLag}
}
