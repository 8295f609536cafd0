package admission

import (
	"cmp"
	"math"
	"time"
)

const (
	// gradientTolerance is how far the short-term time to first token may
	// exceed the long-term minimum before the limit shrinks.
	gradientTolerance = 2.0
	// gradientFloor bounds one step down.
	gradientFloor = 0.5
	// gradientSmoothing is the part of a step applied for one sample.
	gradientSmoothing = 0.2
	// gradientShortWeight is the weight of a new sample in the short-term average.
	gradientShortWeight = 0.1
	// gradientRefusalFactor shrinks the limit after a refusal.
	gradientRefusalFactor = 0.9
)

// GradientLimiter compares a short-term average of the time to first token with its floor over
// the last 30 to 60 seconds. Their ratio shrinks the limit when queues grow at the back end;
// the square root of the limit is allowed as a queue, which makes the limit grow while there is
// none.
type GradientLimiter struct {
	bounds   LimitBounds
	limit    float64
	inFlight int
	short    float64
	floor    latencyFloor
}

// NewGradientLimiter returns a limiter at its initial limit.
func NewGradientLimiter(bounds LimitBounds) *GradientLimiter {
	bounds = bounds.withDefaults()
	return &GradientLimiter{bounds: bounds, limit: float64(bounds.Initial)}
}

// Limit implements Limiter.
func (g *GradientLimiter) Limit(time.Time) int { return g.floor.lowered(g.limit, g.bounds) }

// Started implements Limiter.
func (g *GradientLimiter) Started(time.Time) { g.inFlight++ }

// Finished implements Limiter.
func (g *GradientLimiter) Finished(now time.Time, sample Sample) {
	before := g.inFlight
	g.inFlight = max(0, g.inFlight-1)
	switch {
	case sample.Outcome == SampleIgnored:
	case sample.Outcome == SampleRefused:
		g.limit = g.bounds.clamp(g.limit * gradientRefusalFactor)
	case sample.TimeToFirstToken > 0:
		g.observe(now, sample)
		g.step(before)
	}
}

// observe excludes samples under the lowered limit from the short-term average.
func (g *GradientLimiter) observe(now time.Time, sample Sample) {
	latency := sample.TimeToFirstToken.Seconds()
	g.floor.observe(now, sample)
	g.short = cmp.Or(g.short, latency)
	if !g.floor.probing() {
		g.short += gradientShortWeight * (latency - g.short)
	}
}

// step adjusts the limit. It does not grow while less than half of it is used, since then
// latency does not show the effect of more load.
func (g *GradientLimiter) step(inFlight int) {
	gradient := min(1, max(gradientFloor, gradientTolerance*g.floor.minimum()/g.short))
	target := g.limit*gradient + math.Sqrt(g.limit)
	if g.floor.probing() {
		return
	}
	if target > g.limit && float64(inFlight) < g.limit/2 {
		return
	}
	g.limit = g.bounds.clamp(g.limit + gradientSmoothing*(target-g.limit))
}
