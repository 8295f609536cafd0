package forward

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// placeInterval is the time between two searches for a back end.
	placeInterval = 10 * time.Millisecond
	// placeWaitDivisor divides a route's target into the wait for a back end.
	placeWaitDivisor = 4
)

// place chooses the back end for the next attempt. If none may be used, it waits
// a short time before it returns a fault.
func (r *run) place(ctx context.Context) (backend.Choice, *backend.Attempt, *fault.Fault) {
	waitUntil := clock.Now().Add(r.placeWait())
	r.limitDenials, r.avoidRecentBackoff = 0, false
	for {
		now := clock.Sync()
		if refusal := r.confirmKey(now); refusal != nil {
			return backend.Choice{}, nil, refusal
		}
		if choice, backendAttempt, found := r.pick(now); found {
			accepted, refusal := r.acceptChoice(ctx, now, &choice)
			if accepted {
				return choice, backendAttempt, nil
			}
			r.declinePlacement(now, &choice, backendAttempt)
			if refusal != nil {
				return backend.Choice{}, nil, refusal
			}
			continue
		}
		if len(r.full) > 0 && now.Before(waitUntil) && wait.For(ctx, placeInterval) {
			r.full = nil
			continue
		}
		if r.bound && !r.executionUnknown && !r.forwarder.Backends.HasRelease(r.service, r.release) {
			return backend.Choice{}, nil, r.releaseGoneFault()
		}
		if refusal := r.unavailableFault(now, waitUntil); refusal != nil {
			return backend.Choice{}, nil, refusal
		}
		if trialAt := r.forwarder.Backends.TrialAt(now, r.service); trialAt.After(waitUntil) {
			waitUntil = trialAt
		}
		if !now.Before(waitUntil) || !wait.For(ctx, placeInterval) {
			return backend.Choice{}, nil, r.noBackendFault()
		}
	}
}

// acceptChoice reports whether the attempt may go to the chosen back end. If not, another one is
// chosen unless a fault is returned, which refuses the request.
func (r *run) acceptChoice(ctx context.Context, now time.Time, choice *backend.Choice) (bool, *fault.Fault) {
	switch {
	case !r.stillAllowed(choice):
		return false, nil
	case r.shouldShed(choice, now) && choice.Releases.MaxBackends > 0:
		// It was the best one of a release on trial; the other releases are tried next.
		return false, nil
	case r.shouldShed(choice, now):
		return false, r.overloadedFault(choice, now)
	case choice.RecentBackoff && !r.avoidRecentBackoff && !r.forwarder.hasSpareRetries(r.service):
		// A refusal there would cost a request that another back end can serve.
		r.avoidRecentBackoff = true
		return false, nil
	case r.acquireBackendGrant(ctx, choice):
		return true, nil
	}
	if r.limitDenials++; r.limitDenials >= maxLimitDenials || ctx.Err() != nil {
		return false, r.limitsExhaustedFault(now)
	}
	return false, nil
}
