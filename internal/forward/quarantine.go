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
	// Judge returns why a request may not be sent, nil if it may.
	Judge(now time.Time, request *quarantine.Subject) *quarantine.Verdict
	// Try asks for the grant of a trial that is due, and waits for it for a short time.
	Try(ctx context.Context, request *quarantine.Subject) bool
	// Answered takes in a whole success, Broke an attempt that broke off at a back end, Left one
	// that was given up by this side and may be at work there still.
	Answered(now time.Time, request *quarantine.Subject)
	Broke(now time.Time, request *quarantine.Subject, at backend.Record)
	Left(now time.Time, request *quarantine.Subject, at backend.Record)
	// Unreached takes in that a back end took no connection.
	Unreached(now time.Time, at backend.Record)
}

// subject names what the request asks for, whichever try of its client it is.
func (r *run) subject() *quarantine.Subject {
	if r.quarantineSubject == nil {
		identity := quarantine.Identity{
			Method: r.request.Method, Host: r.request.Host, Target: r.request.Target, Body: r.request.Body,
		}
		if r.tenant != nil {
			identity.Tenant = r.tenant.Name
		}
		r.quarantineSubject = &quarantine.Subject{Identity: identity}
	}
	return r.quarantineSubject
}

// checkQuarantine returns the fault of a request that may not be sent on, nil if it may. It is
// asked before a back end is looked for, since what is held need not wait for one, and again
// right before the attempt, as routers may have learnt of crashes meanwhile.
func (r *run) checkQuarantine(ctx context.Context, now time.Time) *fault.Fault {
	if r.forwarder.Quarantine == nil || r.onTrial {
		return nil
	}
	verdict := r.forwarder.Quarantine.Judge(now, r.subject())
	if verdict == nil {
		return nil
	}
	if verdict.TrialDue && r.forwarder.Quarantine.Try(ctx, r.subject()) {
		r.onTrial = true
		return nil
	}
	if r.executionUnknown {
		return fault.New(fault.BackendLost, "%s", verdict).WithRan(fault.RanUnknown)
	}
	return fault.New(fault.Quarantined, "%s", verdict).WithRetryAfter(verdict.RetryAfter)
}

// reportToQuarantine tells the quarantine what an attempt says of its request.
func (a *attempt) reportToQuarantine(now time.Time, outcome backend.Outcome) {
	if a.forwarder.Quarantine == nil {
		return
	}
	switch {
	case outcome == backend.Broken && !a.invalid:
		a.forwarder.Quarantine.Broke(now, a.subject(), a.choice.Record)
	case outcome == backend.Silent, outcome == backend.Abandoned:
		a.forwarder.Quarantine.Left(now, a.subject(), a.choice.Record)
	case outcome == backend.Unreachable:
		a.forwarder.Quarantine.Unreached(now, a.choice.Record)
	case outcome == backend.Answered && a.status < http.StatusMultipleChoices:
		a.forwarder.Quarantine.Answered(now, a.subject())
	}
}
