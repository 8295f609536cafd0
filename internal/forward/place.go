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
	// placePause is the time between two looks for a back end.
	placePause = 10 * time.Millisecond
	// holdPart is the part of a route's target time for which a request waits
	// for a back end.
	holdPart = 4
)

// place chooses the back end for the next attempt. If none may be used it
// waits a short while, and refuses the request then.
func (r *run) place(ctx context.Context) (backend.Choice, *backend.Attempt, *fault.Fault) {
	heldUntil := clock.Now().Add(r.route.Target / holdPart)
	r.claims, r.avoidDoubted = 0, false
	for {
		now := clock.Sync()
		if refusal := r.confirm(now); refusal != nil {
			return backend.Choice{}, nil, refusal
		}
		if choice, flight, found := r.pick(now); found {
			accepted, refusal := r.accept(ctx, now, &choice)
			if accepted {
				return choice, flight, nil
			}
			r.decline(now, &choice, flight)
			if refusal != nil {
				return backend.Choice{}, nil, refusal
			}
			continue
		}
		if refusal := r.hopeless(now, heldUntil); refusal != nil {
			return backend.Choice{}, nil, refusal
		}
		if !now.Before(heldUntil) || !wait.For(ctx, placePause) {
			return backend.Choice{}, nil, r.unplaced()
		}
	}
}

// accept reports whether the attempt may go to the back end that was chosen for it. If not,
// another one is looked for, unless a fault says that the request is refused.
func (r *run) accept(ctx context.Context, now time.Time, choice *backend.Choice) (bool, *fault.Fault) {
	switch {
	case !r.stands(choice):
		return false, nil
	case r.overloadedBy(choice, now) && choice.Releases.MaxBackends > 0:
		// It was the best of a release on trial; the next look is at the others.
		return false, nil
	case r.overloadedBy(choice, now):
		return false, r.overloaded(choice, now)
	case choice.RecentBackoff && !r.avoidDoubted && !r.forwarder.repeatsToSpare(r.service):
		// A refusal there would cost a request that another back end can serve.
		r.avoidDoubted = true
		return false, nil
	case r.permitted(ctx, choice):
		return true, nil
	}
	if r.claims++; r.claims >= maxClaims || ctx.Err() != nil {
		return false, r.unclaimed(now)
	}
	return false, nil
}
