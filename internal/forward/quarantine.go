package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// Quarantine keeps requests from back ends under which these crash. Its methods are safe for
// concurrent use.
type Quarantine interface {
	// Check returns why a request may not be sent, nil if it may.
	Check(now time.Time, request *quarantine.Subject) *quarantine.Decision
	// AcquireTrial asks for the grant of a trial that is due, and waits for it for a short time.
	AcquireTrial(ctx context.Context, request *quarantine.Subject) bool
	// ObserveAnswered takes in a whole success, Broke an attempt that broke off at a back end, Left one
	// that was given up by this side and may be at work there still.
	ObserveAnswered(now time.Time, request *quarantine.Subject)
	ObserveBroken(now time.Time, request *quarantine.Subject, at backend.Record)
	ObserveAbandoned(now time.Time, request *quarantine.Subject, at backend.Record)
	// ObserveUnreachable takes in that a back end took no connection.
	ObserveUnreachable(now time.Time, at backend.Record)
}

// subject names what the request asks for, whichever try of its client it is.
func (r *run) subject() *quarantine.Subject {
	if r.named == nil {
		identity := quarantine.Identity{
			Method: r.request.Method, Host: r.request.Host, Target: r.request.Target, Body: r.request.Body,
		}
		if r.tenant != nil {
			identity.Tenant = r.tenant.Name
		}
		r.named = &quarantine.Subject{Identity: identity}
	}
	return r.named
}

// quarantined returns the fault of a request that may not be sent on, nil if it may. It is
// asked before a back end is looked for, since what is held need not wait for one, and again
// right before the attempt, as routers may have learnt of crashes meanwhile.
func (r *run) quarantined(ctx context.Context, now time.Time) *fault.Fault {
	if r.forwarder.Quarantine == nil || r.onTrial {
		return nil
	}
	verdict := r.forwarder.Quarantine.Check(now, r.subject())
	if verdict == nil {
		return nil
	}
	if verdict.TrialDue && r.forwarder.Quarantine.AcquireTrial(ctx, r.subject()) {
		r.onTrial = true
		return nil
	}
	if r.unproven {
		return fault.New(fault.BackendLost, "%s", verdict).WithRan(fault.RanUnknown)
	}
	return fault.New(fault.Quarantined, "%s", verdict).WithRetryAfter(verdict.RetryAfter)
}

// judged tells the quarantine what an attempt says of its request.
func (a *attempt) judged(now time.Time, outcome backend.Outcome) {
	if a.forwarder.Quarantine == nil {
		return
	}
	switch {
	case outcome == backend.Broken && !a.unsound:
		a.forwarder.Quarantine.ObserveBroken(now, a.subject(), a.choice.Record)
	case outcome == backend.Silent, outcome == backend.Abandoned:
		a.forwarder.Quarantine.ObserveAbandoned(now, a.subject(), a.choice.Record)
	case outcome == backend.Unreachable:
		a.forwarder.Quarantine.ObserveUnreachable(now, a.choice.Record)
	case outcome == backend.Answered && a.status < http.StatusMultipleChoices:
		a.forwarder.Quarantine.ObserveAnswered(now, a.subject())
	}
}
