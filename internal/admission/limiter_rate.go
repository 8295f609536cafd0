package admission

import (
	"math"
	"time"
)

const (
	// rateWeight is the weight of a new sample in both moving averages.
	rateWeight = 0.02
	// rateHeadroom lets the limit grow: the limit bounds the rate of starts, so without
	// headroom it could only shrink.
	rateHeadroom = 1.25
	// rateWarmup is the number of finished attempts before the estimate counts.
	rateWarmup = 20
)

// LittlesLawLimiter estimates the useful concurrency by Little's law: the rate of starts times
// the mean service time, both exponential moving averages, plus headroom. The rate is the
// inverse of the mean interval, because the mean of inverse intervals is unbounded for
// irregular arrivals. The service time excludes queueing at the back end, which would increase
// the estimate again; that is the time to first token above its floor.
type LittlesLawLimiter struct {
	bounds    LimitBounds
	limit     float64
	lastStart time.Time
	interval  float64
	service   float64
	finished  int
	floor     latencyFloor
}

// NewLittlesLawLimiter returns a limiter at its initial limit.
func NewLittlesLawLimiter(bounds LimitBounds) *LittlesLawLimiter {
	bounds = bounds.withDefaults()
	return &LittlesLawLimiter{bounds: bounds, limit: float64(bounds.Initial)}
}

// Limit implements Limiter.
func (r *LittlesLawLimiter) Limit(time.Time) int { return r.floor.lowered(r.limit, r.bounds) }

// Started implements Limiter.
func (r *LittlesLawLimiter) Started(now time.Time) {
	if !r.lastStart.IsZero() {
		r.interval = average(r.interval, now.Sub(r.lastStart).Seconds())
	}
	r.lastStart = now
}

// Finished implements Limiter. Refused attempts shrink the limit by one.
func (r *LittlesLawLimiter) Finished(now time.Time, sample Sample) {
	switch sample.Outcome {
	case SampleIgnored:
		return
	case SampleRefused:
		r.limit = r.bounds.clamp(r.limit - 1)
		return
	default:
	}
	r.service = average(r.service, r.withoutQueueing(now, sample))
	r.finished++
	if r.finished < rateWarmup || r.interval <= 0 || r.floor.probing() {
		return
	}
	r.limit = r.bounds.clamp(math.Ceil(r.service/r.interval*rateHeadroom) + 1)
}

func (r *LittlesLawLimiter) withoutQueueing(now time.Time, sample Sample) float64 {
	latency := sample.TimeToFirstToken.Seconds()
	if latency <= 0 {
		return sample.ServiceTime.Seconds()
	}
	r.floor.observe(now, sample)
	return sample.ServiceTime.Seconds() - max(0, latency-r.floor.minimum())
}

// average updates a moving average; the first sample initialises it.
func average(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + rateWeight*(sample-mean)
}
