package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// Quarantine keeps model requests from engines under which these crash. Its methods are safe for
// concurrent use.
type Quarantine interface {
	// Check returns why a request may not be sent, nil if it may.
	Check(now time.Time, request *quarantine.Subject) *quarantine.Decision
	// AcquireTrial asks for the grant of a trial that is due, and waits for it for a short time.
	AcquireTrial(ctx context.Context, request *quarantine.Subject) bool
	// ObserveAnswered takes in a whole answer, Broke an attempt that broke off at an engine, Left one
	// whose caller left while the engine may be at work, Unreached one that did not leave.
	ObserveAnswered(now time.Time, request *quarantine.Subject)
	ObserveBroken(now time.Time, request *quarantine.Subject, at Placement)
	ObserveAbandoned(now time.Time, request *quarantine.Subject, at Placement)
	ObserveUnreachable(now time.Time, at Placement)
}

// subjectOf names what a job asks for, whichever try of its caller it is. What an earlier attempt
// has emitted is not part of it.
func subjectOf(job *Job) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{
		Tenant: job.Tenant, Method: string(job.Service), Host: string(job.Model),
		Target: string(job.Adapter) + "/" + strconv.Itoa(job.MaxTokens), Body: []byte(job.Prompt),
	}}
}

// quarantined returns the fault of a request that may not be sent on, nil if it may. It is asked
// before an engine is looked for and again once one was found.
func (g *generation) quarantined(ctx context.Context) error {
	guard := g.dispatcher.Quarantine
	if guard == nil || g.onTrial {
		return nil
	}
	verdict := guard.Check(time.Now(), g.subject)
	if verdict == nil {
		return nil
	}
	if verdict.TrialDue && guard.AcquireTrial(ctx, g.subject) {
		g.onTrial = true
		return nil
	}
	if g.ledger.Ran() != fault.RanNo {
		return fault.New(fault.BackendLost, "%s", verdict)
	}
	return fault.New(fault.Quarantined, "%s", verdict).WithRetryAfter(verdict.RetryAfter)
}

// judged tells the quarantine what an attempt says of its request. A trial ends with the first
// attempt that an engine may have taken.
func (a *attempt) judged(now time.Time) {
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
		// The engine lives and has not run it.
	}
}
