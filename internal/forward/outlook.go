package forward

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// hopeless returns the fault of a request that no back end can take within the time for which it
// may wait; nil if one may.
func (r *run) hopeless(now, heldUntil time.Time) *fault.Fault {
	if r.unproven {
		return nil
	}
	query := r.query()
	switch outlook := r.forwarder.Backends.Outlook(now, &query).(type) {
	case backend.NotBefore:
		if outlook.At.Before(heldUntil) {
			return nil
		}
		after := outlook.At.Sub(now)
		return fault.New(
			fault.Overloaded, "all back ends that could take the request name limits, which are used up for %v", after.Round(time.Millisecond),
		).WithRetryAfter(after)
	case backend.AllLeave:
		return r.unplaced()
	}
	return nil
}
