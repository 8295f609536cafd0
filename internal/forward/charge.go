package forward

import (
	"context"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quota"
)

// Quotas keeps tenants within their limits. Its methods are safe for concurrent use.
type Quotas interface {
	// Acquire asks for the grant of a claim, and waits for the verdict for a short time.
	Acquire(ctx context.Context, claim quota.Reservation) quota.Result
	// Release gives back a grant whose request did not run.
	Release(grant quota.Grant)
}

// charge counts the request against the limit of its tenant. Its fault says why it may
// not run.
func (r *run) charge(ctx context.Context) *fault.Fault {
	if r.tenant == nil || !r.tenant.Limit.Limited() || r.forwarder.Quotas == nil {
		return nil
	}
	claim := quota.Reservation{
		Subject: quota.Subject(r.tenant.Name), Limit: r.tenant.Limit, Version: r.view.Snapshot.Version,
		Amount: r.tenant.Amount(r.request.Tokens),
	}
	switch verdict := r.forwarder.Quotas.Acquire(ctx, claim).(type) {
	case quota.Granted:
		r.grant = &verdict.Grant
		return nil
	case quota.Denied:
		return fault.New(
			fault.RateLimited, "tenant %s has used its limit of %.0f a second; %.0f more are free in %v",
			claim.Subject, claim.Limit.Rate, claim.Amount, verdict.RetryAfter,
		).WithRetryAfter(verdict.RetryAfter)
	default:
		return r.forwarder.notReady("no other router confirmed that the tenant is within its limit")
	}
}

// chargeRepeat counts a further attempt, if a back end may have run the last one, and
// reports whether it may be sent.
func (r *run) chargeRepeat(ctx context.Context) bool {
	if r.grant != nil {
		return true
	}
	refusal := r.charge(ctx)
	if refusal != nil {
		r.noRepeat = refusal.Detail
	}
	return refusal == nil
}

// giveBack gives back the grant of an attempt that no back end ran.
func (r *run) giveBack() {
	if r.grant != nil {
		r.forwarder.Quotas.Release(*r.grant)
		r.grant = nil
	}
}
