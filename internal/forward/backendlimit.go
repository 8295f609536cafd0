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
	// Take asks for the grant of one request to a back end, and waits for the verdict until
	// ctx ends. Preferred requests come before others.
	Take(ctx context.Context, choice *backend.Choice, preferred bool) quota.Verdict
	// Return gives back a grant whose request did not reach the back end.
	Return(to ident.Incarnation, grant quota.Grant)
}

const (
	// limitWaitDivisor is the part of a route's target time, as a divisor, for which the grant of a
	// request to a back end is awaited, and minLimitWait the least time: a way to another
	// zone of the region and back takes 3 ms, one to another region 40 ms.
	limitWaitDivisor = 8
	minLimitWait     = 60 * time.Millisecond
	// maxLimitDenials bounds the back ends with limits that one placement claims from: where all
	// have one, a request that would be granted nowhere is not to go round all of them.
	maxLimitDenials = 8
	// unconfirmedSkip is how long a back end is passed over for which no router granted or
	// denied a request: a pool that lost its leader has another one within a few hellos.
	unconfirmedSkip = 250 * time.Millisecond
	// maxLimitSkip bounds the time for which a denial is kept to, as limits rise and pools
	// grow meanwhile.
	maxLimitSkip = 2 * time.Second
)

// backendGrant is the grant of one request to a back end.
type backendGrant struct {
	to    ident.Incarnation
	grant quota.Grant
}

// acquireBackendGrant reports whether the request may be sent to the back end that was chosen for it.
// Each sending is charged: attempts, repeats, streams that are continued, trials of releases
// and of requests that were held. Reports, orders and reads of caches take no place there and
// are not.
func (r *run) acquireBackendGrant(ctx context.Context, choice *backend.Choice) bool {
	if choice.Limit.Rate <= 0 || r.forwarder.Limits == nil {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, max(r.route.Target/limitWaitDivisor, minLimitWait))
	defer cancel()
	// What a back end holds of the prompt is worth most there. Where all have limits, a prompt
	// that nothing of is held anywhere is worth as much at each.
	preferred := choice.Home || (choice.HomeZone == "" && choice.AllLimited)
	switch verdict := r.forwarder.Limits.Take(bounded, choice, preferred).(type) {
	case quota.Granted:
		r.backendGrant = &backendGrant{to: choice.Instance, grant: verdict.Grant}
		return true
	case quota.Denied:
		r.skipBackend(choice, verdict.After)
	default:
		if ctx.Err() == nil {
			r.skipBackend(choice, unconfirmedSkip)
		}
	}
	return false
}

// skipBackend has the back end passed over for a time.
func (r *run) skipBackend(choice *backend.Choice, after time.Duration) {
	after = min(after, maxLimitSkip)
	r.forwarder.Backends.LimitUsedUp(choice.Instance, clock.Now().Add(after))
	r.recordStep(StepLimitDenied, func(step *Step) { step.Choice, step.After = *choice, after })
}

// releaseBackendGrant gives back the grant of a request that did not reach its back end.
func (r *run) releaseBackendGrant() {
	if r.backendGrant != nil {
		r.forwarder.Limits.Return(r.backendGrant.to, r.backendGrant.grant)
		r.backendGrant = nil
	}
}

// limitsExhaustedFault is the fault of a request that many back ends were claimed for in vain.
func (r *run) limitsExhaustedFault(now time.Time) *fault.Fault {
	if refusal := r.unavailableFault(now, now); refusal != nil {
		return refusal
	}
	return r.noBackendFault()
}
