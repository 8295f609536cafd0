package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// Quarantine withholds model requests that crash engines. Its methods are safe for
// concurrent use.
type Quarantine interface {
	// Check returns why a request may not be sent, nil if it may.
	Check(now time.Time, request *quarantine.Subject) *quarantine.Decision
	// AcquireTrial requests the grant of a trial that is due, waits a short time for it, and
	// reports whether it was granted.
	AcquireTrial(ctx context.Context, decision *quarantine.Decision) bool
	// ObserveAnswered records a complete answer.
	ObserveAnswered(now time.Time, request *quarantine.Subject)
	// ObserveBroken records an attempt that broke off at an engine, ObserveAbandoned one whose
	// caller left while the engine may still run it, ObserveUnreachable one that was not sent.
	ObserveBroken(now time.Time, request *quarantine.Subject, at Placement)
	ObserveAbandoned(now time.Time, request *quarantine.Subject, at Placement)
	ObserveUnreachable(now time.Time, at Placement)
}

// subjectOf identifies a job's request, equal for all retries of its caller. It excludes the text
// emitted by earlier attempts.
func subjectOf(job *Job) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{
		Tenant: job.Tenant, Method: string(job.Service), Host: string(job.Model),
		Target: string(job.Adapter) + "/" + strconv.Itoa(job.MaxTokens), Body: []byte(job.Prompt),
	}}
}

// checkQuarantine returns the fault of a quarantined request, nil if it may be sent. It is called
// before an engine is chosen and again afterwards.
func (g *generation) checkQuarantine(ctx context.Context) error {
	guard := g.dispatcher.Quarantine
	if guard == nil || g.onTrial {
		return nil
	}
	decision := guard.Check(time.Now(), g.subject)
	if decision == nil {
		return nil
	}
	if decision.TrialDue && guard.AcquireTrial(ctx, decision) {
		g.onTrial = true
		return nil
	}
	if g.ledger.Ran() != fault.RanNo {
		return fault.New(fault.BackendLost, "%s", decision)
	}
	return fault.New(fault.Quarantined, "%s", decision).WithRetryAfter(decision.RetryAfter)
}

// reportToQuarantine reports the attempt's outcome to the quarantine. A trial ends with the first
// attempt that may have reached an engine.
func (a *attempt) reportToQuarantine(now time.Time) {
	g := a.generation
	guard := g.dispatcher.Quarantine
	if guard == nil {
		return
	}
	g.onTrial = g.onTrial && a.result.Outcome == OutcomeUnreachable
	switch a.result.Outcome {
	case OutcomeAnswered:
		guard.ObserveAnswered(now, g.subject)
	case OutcomeBroken:
		guard.ObserveBroken(now, g.subject, a.placement)
	case OutcomeAbandoned:
		guard.ObserveAbandoned(now, g.subject, a.placement)
	case OutcomeUnreachable:
		guard.ObserveUnreachable(now, a.placement)
	case OutcomeRefused:
		// The engine is alive and has not run the request.
	}
}
