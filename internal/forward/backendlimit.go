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

// BackendLimits enforces the rate limits that back ends advertise, across all routers. Its
// methods are safe for concurrent use.
type BackendLimits interface {
	// Acquire requests the grant of one request to a back end, and waits for the result until
	// ctx ends. Preferred requests are granted before others.
	Acquire(ctx context.Context, choice *backend.Choice, preferred bool) quota.Result
	// Release releases a grant whose request did not reach the back end.
	Release(to ident.Incarnation, grant quota.Grant)
}

const (
	// limitWaitDivisor divides a route's target into the wait for a back end's grant.
	limitWaitDivisor = 8
	// minLimitWait is the least wait, longer than a round trip to another region, some 40 ms.
	minLimitWait = 60 * time.Millisecond
	// maxLimitDenials bounds the back ends with limits that one placement tries: where all have
	// one, a request that is granted nowhere must not try them all.
	maxLimitDenials = 8
	// unconfirmedSkip is how long a back end is skipped for which no router granted or
	// denied a request; a pool that lost its leader elects another one by then.
	unconfirmedSkip = 250 * time.Millisecond
	// maxLimitSkip bounds how long a denial is obeyed, as limits and pools may grow.
	maxLimitSkip = 2 * time.Second
)

// backendGrant is the grant of one request to a back end.
type backendGrant struct {
	to    ident.Incarnation
	grant quota.Grant
}

// acquireBackendGrant reports whether the request may be sent to the chosen back end. Every
// attempt is charged: retries, continued streams and trials too. Reports, orders and reads of
// caches are not, since they use no slot.
func (r *run) acquireBackendGrant(ctx context.Context, choice *backend.Choice) bool {
	if choice.Limit.Rate <= 0 || r.forwarder.Limits == nil {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, max(r.route.Target/limitWaitDivisor, minLimitWait))
	defer cancel()
	// A request is preferred at the home of its prompt, which may have it cached, or, if it has
	// none and all back ends are limited, at any back end.
	preferred := choice.Home || (choice.HomeZone == "" && choice.AllLimited)
	switch result := r.forwarder.Limits.Acquire(bounded, choice, preferred).(type) {
	case quota.Granted:
		r.backendGrant = &backendGrant{to: choice.Instance, grant: result.Grant}
		return true
	case quota.Denied:
		r.skipBackend(choice, result.RetryAfter)
	default:
		if ctx.Err() == nil {
			r.skipBackend(choice, unconfirmedSkip)
		}
	}
	return false
}

// skipBackend skips the back end for a time, at most maxLimitSkip.
func (r *run) skipBackend(choice *backend.Choice, after time.Duration) {
	after = min(after, maxLimitSkip)
	r.forwarder.Backends.ObserveLimitUsedUp(choice.Instance, clock.Now().Add(after))
	r.recordStep(StepLimitDenied, func(step *Step) { step.Choice, step.SkippedFor = *choice, after })
}

// releaseBackendGrant releases the grant of a request that did not reach its back end.
func (r *run) releaseBackendGrant() {
	if r.backendGrant != nil {
		r.forwarder.Limits.Release(r.backendGrant.to, r.backendGrant.grant)
		r.backendGrant = nil
	}
}

// limitsExhaustedFault returns the fault of a request that too many limited back ends denied.
func (r *run) limitsExhaustedFault(now time.Time) *fault.Fault {
	if refusal := r.unavailableFault(now, now); refusal != nil {
		return refusal
	}
	return r.noBackendFault()
}
