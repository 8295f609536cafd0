package routing

import (
	"cmp"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Config configures the predictive scheduler. A zero field takes its default.
type Config struct {
	// DefaultPrefillPerToken is the prefill time per token of an engine that
	// has not reported its own. Default: 100us.
	DefaultPrefillPerToken time.Duration
	// RequestDuration is the assumed time that a running request keeps its
	// batch slot, used to predict the wait for a full batch. Default: 2s.
	RequestDuration time.Duration
	// TieTolerance is the cost difference that counts as a tie. It should exceed
	// the difference of network times between zones. Default: 5ms.
	TieTolerance time.Duration
	// TieShare widens the tolerance to this share of the time to prefill the
	// whole prompt. Default: 0.05.
	TieShare float64
	// RecomputationFloor is the least recomputation weight of a service: without
	// one, a burst for a new prefix is recomputed on every idle engine, which
	// delays other requests. Default: 0.25.
	RecomputationFloor float64
	// UrgentReserve is the part of an engine's batch that classes of priority 2
	// and above may not use; priority 1 may use half of it. Below zero means
	// none. Default: 0.75.
	UrgentReserve float64
	// SlotWait is the assumed wait for room on an engine that has none for the
	// request's class. A request is held for an engine that has its prefix
	// while this plus the time already held costs less than recomputing
	// elsewhere. Below zero means never. Default: 100ms.
	SlotWait time.Duration
	// Window is the number of candidates that are scored, those ranking highest
	// for the prompt's leading blocks; at most 128. Default: 32.
	Window int
	// TransferPerToken is the assumed time to export one token's cache from an
	// engine, and again to import it into another. Default: 7us.
	TransferPerToken time.Duration
	// MinMoveTokens is the smallest gain in cached tokens that justifies a move;
	// NeverMove disables moves. Default: 256.
	MinMoveTokens int
}

const (
	defaultPrefillPerToken = 100 * time.Microsecond
	defaultRequestDuration = 2 * time.Second
	defaultTieTolerance    = 5 * time.Millisecond
	defaultTieShare        = 0.05
	defaultFloor           = 0.25
	defaultReserve         = 0.75
	defaultSlotWait        = 100 * time.Millisecond
	defaultWindow          = 32
	defaultTransfer        = 7 * time.Microsecond
	defaultMinMoveTokens   = 256
)

// NeverMove is a MinMoveTokens above every prompt length.
const NeverMove = 1 << 30

// shortlistFactor is the length of a shortlist in windows: up to half of it may
// be dead, draining or excluded before all endpoints are scanned.
const shortlistFactor = 2

const maxFloor = 100

// maxReserve guarantees less urgent classes a part of every batch.
const maxReserve = 0.95

const maxWindow = rendezvous.MaxTop / shortlistFactor

func withDefaults(config Config) Config {
	config.DefaultPrefillPerToken = cmp.Or(config.DefaultPrefillPerToken, defaultPrefillPerToken)
	config.RequestDuration = cmp.Or(config.RequestDuration, defaultRequestDuration)
	config.TieTolerance = cmp.Or(config.TieTolerance, defaultTieTolerance)
	config.TieShare = cmp.Or(config.TieShare, defaultTieShare)
	config.RecomputationFloor = cmp.Or(config.RecomputationFloor, defaultFloor)
	config.UrgentReserve = cmp.Or(config.UrgentReserve, defaultReserve)
	config.SlotWait = cmp.Or(config.SlotWait, defaultSlotWait)
	config.UrgentReserve = max(0, config.UrgentReserve)
	config.Window = cmp.Or(config.Window, defaultWindow)
	config.TransferPerToken = cmp.Or(config.TransferPerToken, defaultTransfer)
	config.MinMoveTokens = cmp.Or(config.MinMoveTokens, defaultMinMoveTokens)
	return config
}

// Validate returns a *fault.Fault of kind InvalidSettings for a value outside
// its range.
func (c Config) Validate() error {
	switch {
	case c.Window < 0 || c.Window > maxWindow:
		return fault.New(fault.InvalidSettings, "routing window %d is outside 0 to %d", c.Window, maxWindow)
	case c.TieShare < 0 || c.TieShare > 1:
		return fault.New(fault.InvalidSettings, "routing tie share %g is outside 0 to 1", c.TieShare)
	case c.UrgentReserve > maxReserve:
		return fault.New(fault.InvalidSettings, "routing urgent reserve %g is above %g", c.UrgentReserve, maxReserve)
	case c.RecomputationFloor < 0 || c.RecomputationFloor > maxFloor:
		return fault.New(fault.InvalidSettings, "routing recomputation floor %g is outside 0 to %d", c.RecomputationFloor, maxFloor)
	case c.DefaultPrefillPerToken < 0 || c.RequestDuration < 0 || c.TieTolerance < 0 || c.TransferPerToken < 0 || c.MinMoveTokens < 0:
		return fault.New(fault.InvalidSettings, "a routing time or token count is negative")
	}
	return nil
}
