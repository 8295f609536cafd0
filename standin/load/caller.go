package load

import (
	"context"
	"net/http"
	"time"

	"github.com/fieldpond/fieldpond/standin/workload"
)

// maxDoublings bounds the exponential back-off after failed connections.
const maxDoublings = 6

// caller is a well-behaved client: it retries at another router when a
// connection fails or a router refuses, and honours Retry-After.
type caller struct {
	config *Config
	client *http.Client
}

// call runs one arrival to its end. Latencies count from the planned time, so
// that a delayed send does not hide a slow system (coordinated omission).
func (c *caller) call(ctx context.Context, arrival workload.Arrival, planned time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	result := Result{Arrival: arrival, Outcome: OutcomeLost}
	if arrival.Application {
		c.callApplication(ctx, planned, &result)
	} else {
		c.callModel(ctx, planned, &result)
	}
	return result
}

// target returns the router of an attempt: round robin over the arrivals, and
// the next one for each retry.
func (c *caller) target(arrival workload.Arrival, attempt int) string {
	return c.config.Targets[(arrival.Number+uint64(attempt))%uint64(len(c.config.Targets))]
}

func (c *caller) setHeaders(request *http.Request, arrival workload.Arrival) {
	request.Header.Set("Authorization", "Bearer "+c.config.Key(arrival.Tenant))
	request.Header.Set("Content-Type", "application/json")
	if arrival.Class != "" {
		request.Header.Set("X-Class", string(arrival.Class))
	}
	if arrival.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", arrival.IdempotencyKey)
	}
}

// recordRefusal records a refusal as the outcome so far and waits for its retry
// delay. It reports whether to retry.
func (c *caller) recordRefusal(ctx context.Context, refused refusal, result *Result) bool {
	result.Refusals = append(result.Refusals, refused.Kind)
	result.Outcome = refused.outcome()
	return refused.retryable() && pause(ctx, max(refused.retryDelay(c.config.MaxWait), c.config.MinWait))
}

// recordBreak records a failed connection and waits with exponential back-off,
// so that callers outlast a restart of the routers. It reports whether to retry.
func (c *caller) recordBreak(ctx context.Context, result *Result) bool {
	wait := c.config.MinWait << min(result.Breaks, maxDoublings)
	result.Breaks++
	return pause(ctx, min(wait, c.config.MaxWait))
}

// pause waits and reports whether the context is still active.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
