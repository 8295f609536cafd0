package load

import (
	"context"
	"net/http"
	"time"

	"github.com/fieldpond/fieldpond/standin/workload"
)

// maxDoublings bounds the growth of the pause after a broken connection.
const maxDoublings = 6

// caller acts as a proper client of the routers: it tries another one when a
// connection breaks or a router refuses, and waits as long as it is told to.
type caller struct {
	config *Config
	client *http.Client
}

// call runs one arrival to its end. The planned time is the start of every
// measured wait, so that a slow system cannot hide behind late requests.
func (c *caller) call(ctx context.Context, arrival workload.Arrival, planned time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, c.config.Patience)
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
// the next one for each further attempt.
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

// refused notes a refusal as the last word so far and waits as long as it
// asks for. It reports whether another attempt makes sense.
func (c *caller) recordRefusal(ctx context.Context, refused refusal, result *Result) bool {
	result.Refusals = append(result.Refusals, refused.Kind)
	result.Outcome = refused.outcome()
	return refused.retryable() && pause(ctx, max(refused.retryDelay(c.config.MaxWait), c.config.MinWait))
}

// recordBreak notes a connection that could not be opened or broke off, and waits
// twice as long each time, so that callers outlast a restart of the routers.
func (c *caller) recordBreak(ctx context.Context, result *Result) bool {
	wait := c.config.MinWait << min(result.Breaks, maxDoublings)
	result.Breaks++
	return pause(ctx, min(wait, c.config.MaxWait))
}

// pause waits and reports whether the context is still alive.
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
