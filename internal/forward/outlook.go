package forward

import (
	"math/rand/v2"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// returnSpread is the time over which clients come back that wait for the end of one rest, so
// that the back end does not meet all of them at once.
const returnSpread = 250 * time.Millisecond

// hopeless returns the fault of a request that no back end can take within the time for which it
// may wait; nil if one may.
func (r *run) hopeless(now, heldUntil time.Time) *fault.Fault {
	if r.unproven {
		return nil
	}
	query := r.query()
	switch outlook := r.forwarder.Backends.Availability(now, &query).(type) {
	case backend.AvailableAfter:
		if outlook.At.Before(heldUntil) {
			return nil
		}
		kind := fault.Overloaded
		if outlook.Backoff {
			kind = fault.NoPermittedEngine
		}
		return fault.New(
			kind, "all back ends that could take the request want rest, or name limits that are used up, for %v",
			outlook.At.Sub(now).Round(time.Millisecond),
		).WithRetryAfter(r.comeBack(now))
	case backend.AllDraining:
		return r.unplaced()
	}
	return nil
}

// comeBack returns when the client of a refused request is to come back: soon, or when the first
// back end is free if none is before, those that refused this request among them.
func (r *run) comeBack(now time.Time) time.Duration {
	query := r.query()
	query.Excluded = nil
	outlook, held := r.forwarder.Backends.Availability(now, &query).(backend.AvailableAfter)
	if !held {
		return r.forwarder.config.RetryAfter
	}
	after := outlook.At.Sub(now)
	if outlook.Backoff {
		after += rand.N(returnSpread)
	}
	return max(after, r.forwarder.config.RetryAfter)
}
