package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// backoffJitter spreads the retries of clients that wait for the end of the same back-off.
const backoffJitter = 250 * time.Millisecond

// unavailableFault returns the fault of a request that no back end can take before waitUntil, nil
// if one may.
func (r *run) unavailableFault(now, waitUntil time.Time) *fault.Fault {
	if r.executionUnknown {
		return nil
	}
	query := r.query()
	switch availability := r.forwarder.Backends.Availability(now, &query).(type) {
	case backend.AvailableAfter:
		if availability.At.Before(waitUntil) {
			return nil
		}
		kind := fault.Overloaded
		if availability.Backoff {
			kind = fault.NoPermittedEngine
		}
		return fault.New(
			kind, "all back ends that could take the request are in back-off or have used up their limits for %v",
			availability.At.Sub(now).Round(time.Millisecond),
		).WithRetryAfter(r.retryAfter(now))
	case backend.AllDraining:
		return r.noBackendFault()
	}
	return nil
}

// retryAfter returns the Retry-After of a refused request: the default or, if longer, the time until
// the first back end is available, including those that refused this request.
func (r *run) retryAfter(now time.Time) time.Duration {
	query := r.query()
	query.Excluded = nil
	availability, unavailable := r.forwarder.Backends.Availability(now, &query).(backend.AvailableAfter)
	if !unavailable {
		return r.forwarder.config.RetryAfter
	}
	after := availability.At.Sub(now)
	if availability.Backoff {
		after += rand.N(backoffJitter)
	}
	return max(after, r.forwarder.config.RetryAfter)
}
