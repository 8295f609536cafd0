package forward

import (
	"context"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quota"
)

// Quotas enforces the rate limits of tenants. Its methods are safe for concurrent use.
type Quotas interface {
	// Acquire requests a grant, and waits a short time for the result.
	Acquire(ctx context.Context, reservation quota.Reservation) quota.Result
	// Release releases a grant whose request did not run.
	Release(grant quota.Grant)
}

// charge acquires a grant of the tenant's limit. It returns a fault if the request may not run.
func (r *run) charge(ctx context.Context) *fault.Fault {
	if r.tenant == nil || !r.tenant.Limit.Limited() || r.forwarder.Quotas == nil {
		return nil
	}
	reservation := quota.Reservation{
		Subject: quota.Subject(r.tenant.Name), Limit: r.tenant.Limit, Version: r.view.Snapshot.Version,
		Amount: r.tenant.Amount(r.request.Tokens),
	}
	switch result := r.forwarder.Quotas.Acquire(ctx, reservation).(type) {
	case quota.Granted:
		r.grant = &result.Grant
		return nil
	case quota.Denied:
		return fault.New(
			fault.RateLimited, "tenant %s has used up its limit of %.0f a second; %.0f more are available in %v",
			reservation.Subject, reservation.Limit.Rate, reservation.Amount, result.RetryAfter,
		).WithRetryAfter(result.RetryAfter)
	default:
		return r.forwarder.notReady("no other router confirmed that the tenant is within its limit")
	}
}

// chargeRetry charges a further attempt, if a back end may have run the last one, and
// reports whether it may be sent.
func (r *run) chargeRetry(ctx context.Context) bool {
	if r.grant != nil {
		return true
	}
	refusal := r.charge(ctx)
	if refusal != nil {
		r.noRetryReason = refusal.Detail
	}
	return refusal == nil
}

// releaseGrant releases the grant of a request that no back end ran.
func (r *run) releaseGrant() {
	if r.grant != nil {
		r.forwarder.Quotas.Release(*r.grant)
		r.grant = nil
	}
}
