package admission

import "time"

// Sample is the measurement of one finished attempt.
type Sample struct {
	// TimeToFirstToken is measured from dispatch; zero if there was no token.
	TimeToFirstToken time.Duration
	// ServiceTime is from dispatch to the end of the attempt.
	ServiceTime time.Duration
	Outcome     SampleOutcome
}

// SampleOutcome is how an attempt ended, as far as it concerns limits.
type SampleOutcome int

const (
	// SampleServed is an attempt that was completed.
	SampleServed SampleOutcome = iota
	// SampleRefused is an attempt that was late or that the back end refused for lack of
	// capacity.
	SampleRefused
	// SampleIgnored is an attempt that is no measure of load, such as one cancelled by its
	// caller.
	SampleIgnored
)

// Limiter bounds a router's own attempts in flight at one back end. It is not safe for
// concurrent use. Each incarnation needs a new one.
type Limiter interface {
	// Limit returns the largest number of attempts in flight; at least 1.
	Limit(now time.Time) int
	// Started records the start of an attempt.
	Started(now time.Time)
	// Finished records the end of an attempt.
	Finished(now time.Time, sample Sample)
}

// LimitBounds bound an adaptive limit.
type LimitBounds struct {
	// Initial limit. Default: 8, within the other two.
	Initial int
	// Minimum limit. Default: 2.
	Minimum int
	// Maximum limit. Default: 256.
	Maximum int
}

const (
	defaultInitialLimit = 8
	defaultMinimumLimit = 2
	defaultMaximumLimit = 256
)

func (b LimitBounds) withDefaults() LimitBounds {
	if b.Minimum <= 0 {
		b.Minimum = defaultMinimumLimit
	}
	if b.Maximum <= 0 {
		b.Maximum = defaultMaximumLimit
	}
	b.Maximum = max(b.Maximum, b.Minimum)
	if b.Initial <= 0 {
		b.Initial = defaultInitialLimit
	}
	b.Initial = min(max(b.Initial, b.Minimum), b.Maximum)
	return b
}

func (b LimitBounds) clamp(limit float64) float64 {
	return min(max(limit, float64(b.Minimum)), float64(b.Maximum))
}

// FixedLimiter has a constant limit.
type FixedLimiter struct{ limit int }

// NewFixedLimiter returns a limiter at the given limit, at least 1.
func NewFixedLimiter(limit int) *FixedLimiter { return &FixedLimiter{limit: max(1, limit)} }

// Limit implements Limiter.
func (f *FixedLimiter) Limit(time.Time) int { return f.limit }

// batchLimit is the usual batch size of an engine. What several routers send beyond it waits at
// the engine, which orders it by priority too.
const batchLimit = 16

// NewDefaultLimiter returns the limiter that routers use: a fixed one of an engine's batch
// size. Adaptive limits below it would move requests away from cached prefixes.
func NewDefaultLimiter() Limiter { return NewFixedLimiter(batchLimit) }

// Started implements Limiter.
func (f *FixedLimiter) Started(time.Time) {}

// Finished implements Limiter.
func (f *FixedLimiter) Finished(time.Time, Sample) {}
