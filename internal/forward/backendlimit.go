package forward

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quota"
)

// BackendLimits keeps back ends within the limits that they name, over all routers. Its
// methods are safe for concurrent use.
type BackendLimits interface {
	// Acquire asks for the grant of one request to a back end, and waits for the verdict until
	// ctx ends. Preferred requests come before others.
	Acquire(ctx context.Context, choice *backend.Choice, preferred bool) quota.Result
	// Release gives back a grant whose request did not reach the back end.
	Release(to ident.Incarnation, grant quota.Grant)
}

const (
	// claimPart is the part of a route's target time, as a divisor, for which the grant of a
	// request to a back end is awaited, and leastClaimWait the least time: a way to another
	// zone of the region and back takes 3 ms, one to another region 40 ms.
	claimPart      = 8
	leastClaimWait = 60 * time.Millisecond
	// maxClaims bounds the back ends with limits that one placement claims from: where all
	// have one, a request that would be granted nowhere is not to go round all of them.
	maxClaims = 8
	// unconfirmedPause is how long a back end is passed over for which no router granted or
	// denied a request: a pool that lost its leader has another one within a few hellos.
	unconfirmedPause = 250 * time.Millisecond
	// longestUsedUp bounds the time for which a denial is kept to, as limits rise and pools
	// grow meanwhile.
	longestUsedUp = 2 * time.Second
)

// permit is the grant of one request to a back end.
type permit struct {
	to    ident.Incarnation
	grant quota.Grant
}

// permitted reports whether the request may be sent to the back end that was chosen for it.
// Each sending is charged: attempts, repeats, streams that are continued, trials of releases
// and of requests that were held. Reports, orders and reads of caches take no place there and
// are not.
func (r *run) permitted(ctx context.Context, choice *backend.Choice) bool {
	if choice.Limit.Rate <= 0 || r.forwarder.Limits == nil {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, max(r.route.Target/claimPart, leastClaimWait))
	defer cancel()
	// What a back end holds of the prompt is worth most there. Where all have limits, a prompt
	// that nothing of is held anywhere is worth as much at each.
	preferred := choice.Home || (choice.HomeZone == "" && choice.AllLimited)
	switch verdict := r.forwarder.Limits.Acquire(bounded, choice, preferred).(type) {
	case quota.Granted:
		r.permit = &permit{to: choice.Instance, grant: verdict.Grant}
		return true
	case quota.Denied:
		r.usedUp(choice, verdict.RetryAfter)
	default:
		if ctx.Err() == nil {
			r.usedUp(choice, unconfirmedPause)
		}
	}
	return false
}

// usedUp has the back end passed over for a time.
func (r *run) usedUp(choice *backend.Choice, after time.Duration) {
	after = min(after, longestUsedUp)
	r.forwarder.Backends.ObserveLimitUsedUp(choice.Instance, clock.Now().Add(after))
	r.note(StepLimitDenied, func(step *Step) { step.Choice, step.SkippedFor = *choice, after })
}

// returnPermit gives back the grant of a request that did not reach its back end.
func (r *run) returnPermit() {
	if r.permit != nil {
		r.forwarder.Limits.Release(r.permit.to, r.permit.grant)
		r.permit = nil
	}
}

// unclaimed is the fault of a request that many back ends were claimed for in vain.
func (r *run) unclaimed(now time.Time) *fault.Fault {
	if refusal := r.hopeless(now, now); refusal != nil {
		return refusal
	}
	return r.unplaced()
}
