package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// backoffJitter is the time over which clients come back that wait for the end of one rest, so
// that the back end does not meet all of them at once.
const backoffJitter = 250 * time.Millisecond

// hopeless returns the fault of a request that no back end can take within the time for which it
// may wait; nil if one may.
func (r *run) unavailableFault(now, waitUntil time.Time) *fault.Fault {
	if r.executionUnknown {
		return nil
	}
	query := r.query()
	switch outlook := r.forwarder.Backends.Outlook(now, &query).(type) {
	case backend.NotBefore:
		if outlook.At.Before(waitUntil) {
			return nil
		}
		kind := fault.Overloaded
		if outlook.Rest {
			kind = fault.NoPermittedEngine
		}
		return fault.New(
			kind, "all back ends that could take the request want rest, or name limits that are used up, for %v",
			outlook.At.Sub(now).Round(time.Millisecond),
		).WithRetryAfter(r.retryAfter(now))
	case backend.AllLeave:
		return r.noBackendFault()
	}
	return nil
}

// retryAfter returns when the client of a refused request is to come back: soon, or when the first
// back end is free if none is before, those that refused this request among them.
func (r *run) retryAfter(now time.Time) time.Duration {
	query := r.query()
	query.Excluded = nil
	outlook, held := r.forwarder.Backends.Outlook(now, &query).(backend.NotBefore)
	if !held {
		return r.forwarder.config.RetryAfter
	}
	after := outlook.At.Sub(now)
	if outlook.Rest {
		after += rand.N(backoffJitter)
	}
	return max(after, r.forwarder.config.RetryAfter)
}
