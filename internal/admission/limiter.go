package admission

import "time"

// Sample is what one finished attempt says of its back end.
type Sample struct {
	// TimeToFirstToken is measured from dispatch; zero if none came.
	TimeToFirstToken time.Duration
	// ServiceTime is from dispatch to the end of the attempt.
	ServiceTime time.Duration
	Outcome     SampleOutcome
}

// SampleOutcome says how an attempt ended, as far as limits are concerned.
type SampleOutcome int

const (
	// SampleServed is an attempt that ran to its end.
	SampleServed SampleOutcome = iota
	// SampleRefused is an attempt the back end refused for want of room, or
	// that was late.
	SampleRefused
	// SampleIgnored is an attempt whose end says nothing of load, such as one
	// cancelled by its caller.
	SampleIgnored
)

// Limiter bounds a router's own attempts in flight on one back end. It is not
// safe for concurrent use. Start a new one with every new incarnation.
type Limiter interface {
	// Limit returns the most attempts that may be in flight; at least 1.
	Limit(now time.Time) int
	// Started tells of an attempt that left.
	Started(now time.Time)
	// Finished tells of an attempt that ended.
	Finished(now time.Time, sample Sample)
}

// LimitBounds are the least and the most an adaptive limit may become.
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

// FixedLimiter never changes its limit.
type FixedLimiter struct{ limit int }

// NewFixedLimiter returns a limiter at the given limit, at least 1.
func NewFixedLimiter(limit int) *FixedLimiter { return &FixedLimiter{limit: max(1, limit)} }

// Limit implements Limiter.
func (f *FixedLimiter) Limit(time.Time) int { return f.limit }

// batchLimit is the batch size of the usual engine. One router alone can fill
// it; what several routers send beyond waits at the engine, which orders it by
// priority too.
const batchLimit = 16

// NewDefaultLimiter returns the limiter that routers use: a fixed one as large
// as an engine's batch. Limits that adapt below it push requests away from
// where their prefix is cached; docs/design/admission.md has the figures.
func NewDefaultLimiter() Limiter { return NewFixedLimiter(batchLimit) }

// Started implements Limiter.
func (f *FixedLimiter) Started(time.Time) {}

// Finished implements Limiter.
func (f *FixedLimiter) Finished(time.Time, Sample) {}
