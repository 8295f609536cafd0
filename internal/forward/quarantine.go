package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// Quarantine withholds requests that crash back ends. Its methods are safe for concurrent use.
type Quarantine interface {
	// Check returns why a request may not be sent, nil if it may.
	Check(now time.Time, request *quarantine.Subject) *quarantine.Decision
	// Suspected reports whether a part of the prompt has crashed back ends repeatedly, so that a
	// request that was lost with its back end must not be sent again.
	Suspected(request *quarantine.Subject) bool
	// AcquireTrial requests the grant of a trial that is due, waits a short time for it, and
	// reports whether it was granted.
	AcquireTrial(ctx context.Context, decision *quarantine.Decision) bool
	// ObserveAnswered records a complete successful answer, ObserveUnproven one that ended with its
	// connection, without a length or chunks.
	ObserveAnswered(now time.Time, request *quarantine.Subject)
	ObserveUnproven(now time.Time, request *quarantine.Subject, at backend.Record)
	// ObserveProgress records an answer that has been arriving for quarantine.PartProgress.
	ObserveProgress(now time.Time, request *quarantine.Subject)
	// ObserveBroken records an attempt that broke off at a back end after its answer had been
	// arriving for some time, ObserveAbandoned one that this router cancelled and the back end may
	// still run.
	ObserveBroken(now time.Time, request *quarantine.Subject, at backend.Record, arriving time.Duration)
	ObserveAbandoned(now time.Time, request *quarantine.Subject, at backend.Record)
	// ObserveUnreachable records that a back end accepted no connection, or is another incarnation.
	ObserveUnreachable(now time.Time, at backend.Record)
}

// subject identifies the request, equal for all retries of its client.
func (r *run) subject() *quarantine.Subject {
	if r.quarantineSubject == nil {
		identity := quarantine.Identity{
			Method: r.request.Method, Host: r.request.Host, Target: r.request.Target, Body: r.request.Body,
		}
		if r.tenant != nil {
			identity.Tenant = r.tenant.Name
		}
		r.quarantineSubject = &quarantine.Subject{Identity: identity}
		if prompt := r.request.Prompt; prompt != nil {
			r.quarantineSubject.Model, r.quarantineSubject.SharedParts = prompt.Model, prompt.sharedIDs
		}
	}
	return r.quarantineSubject
}

// checkQuarantine returns the fault of a quarantined request, nil if it may be sent. It is called
// before a back end is chosen, so that the request need not wait for one, and again right before
// the attempt, as crashes may have been reported since.
func (r *run) checkQuarantine(ctx context.Context, now time.Time) *fault.Fault {
	if r.forwarder.Quarantine == nil || r.onTrial {
		return nil
	}
	decision := r.forwarder.Quarantine.Check(now, r.subject())
	if decision == nil {
		return nil
	}
	if decision.TrialDue && r.forwarder.Quarantine.AcquireTrial(ctx, decision) {
		r.onTrial = true
		return nil
	}
	if r.executionUnknown {
		return fault.New(fault.BackendLost, "%s", decision).WithRan(fault.RanUnknown)
	}
	return fault.New(fault.Quarantined, "%s", decision).WithRetryAfter(decision.RetryAfter)
}

// reportToQuarantine reports the attempt's outcome to the quarantine.
func (a *attempt) reportToQuarantine(now time.Time, outcome backend.Outcome) {
	if a.forwarder.Quarantine == nil {
		return
	}
	switch {
	case outcome == backend.Broken && !a.invalid:
		a.forwarder.Quarantine.ObserveBroken(now, a.subject(), a.choice.Record, a.arriving(now))
	case outcome == backend.Silent, outcome == backend.Abandoned:
		a.forwarder.Quarantine.ObserveAbandoned(now, a.subject(), a.choice.Record)
	case outcome == backend.Unreachable, outcome == backend.Misdirected:
		a.forwarder.Quarantine.ObserveUnreachable(now, a.choice.Record)
	case outcome == backend.Answered && a.status < http.StatusMultipleChoices && a.unframed:
		a.forwarder.Quarantine.ObserveUnproven(now, a.subject(), a.choice.Record)
	case outcome == backend.Answered && a.status < http.StatusMultipleChoices:
		a.forwarder.Quarantine.ObserveAnswered(now, a.subject())
	}
}

// arriving returns how long the answer has been arriving, 0 if no byte has.
func (a *attempt) arriving(now time.Time) time.Duration {
	if a.firstByteAt.IsZero() {
		return 0
	}
	return now.Sub(a.firstByteAt)
}

// reportProgress reports to the quarantine, once in quarantine.PartProgress, that the answer is still
// arriving.
func (a *attempt) reportProgress(now time.Time) {
	if a.forwarder.Quarantine == nil || now.Sub(a.progressAt) < quarantine.PartProgress {
		return
	}
	if !a.progressAt.IsZero() {
		a.forwarder.Quarantine.ObserveProgress(now, a.subject())
	}
	a.progressAt = now
}

// suspected reports whether a part of the prompt has crashed back ends repeatedly.
func (r *run) suspected() bool {
	return r.forwarder.Quarantine != nil && r.forwarder.Quarantine.Suspected(r.subject())
}
