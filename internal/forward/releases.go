package forward

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Releases guards services that are moved to another release. Its methods are safe for
// concurrent use.
type Releases interface {
	// Choose returns the releases that an attempt may go to.
	Choose(now time.Time, ask canary.Ask) backend.Releases
	// StillAllowed reports whether an attempt that was allowed to go to some releases may still go to
	// one of them.
	StillAllowed(service ident.Service, allowed *backend.Releases, release ident.Release) bool
	// Declined takes back a choice that named the only release allowed, since nothing was
	// sent there.
	Declined(service ident.Service)
	// Sent counts an attempt that leaves for a back end, and Ended what came of it.
	Sent(now time.Time, service ident.Service, to backend.Record) canary.Run
	Ended(now time.Time, run canary.Run, sample canary.Sample)
}

// pick chooses the back end for the next attempt among the releases that are allowed. If
// no back end of the release that it is meant to try can take it, it goes to the others.
func (r *run) pick(now time.Time) (backend.Choice, *backend.Attempt, bool) {
	query := r.query()
	if r.forwarder.Releases == nil {
		return r.forwarder.Backends.Pick(now, &query)
	}
	query.Releases = r.chooseReleases(now)
	choice, backendAttempt, found := r.forwarder.Backends.Pick(now, &query)
	if found || query.Releases.Only == "" {
		return choice, backendAttempt, found
	}
	r.forwarder.Releases.Declined(r.service)
	query.Releases = r.chooseReleases(now)
	choice, backendAttempt, found = r.forwarder.Backends.Pick(now, &query)
	if !found && query.Releases.Only != "" {
		r.forwarder.Releases.Declined(r.service)
	}
	return choice, backendAttempt, found
}

// stillAllowed reports whether the attempt may still go to its back end. An order or a verdict may
// have become known, with the back ends of a new release, after it was asked where the attempt
// may go: it would be placed at a release that nothing has proved.
func (r *run) stillAllowed(choice *backend.Choice) bool {
	return r.forwarder.Releases == nil || r.forwarder.Releases.StillAllowed(r.service, &choice.Releases, choice.Release)
}

// declinePlacement gives up an attempt that was placed and is not sent.
func (r *run) declinePlacement(now time.Time, choice *backend.Choice, backendAttempt *backend.Attempt) {
	backendAttempt.End(now, backend.Abandoned)
	r.releaseBackendGrant()
	if choice.Releases.Only != "" {
		r.forwarder.Releases.Declined(r.service)
	}
}

// chooseReleases asks where the next attempt may go. Only the first question counts the request.
func (r *run) chooseReleases(now time.Time) backend.Releases {
	ask := canary.Ask{Service: r.service, Route: r.route.Name, First: !r.counted, Excluded: len(r.excluded)}
	r.counted = true
	return r.forwarder.Releases.Choose(now, ask)
}

// countForRelease counts the attempt for the release of its back end.
func (a *attempt) countForRelease() {
	if a.forwarder.Releases != nil {
		a.releaseRun = a.forwarder.Releases.Sent(a.sentAt, a.service, a.choice.Record)
	}
}

// recordReceived takes in that bytes of the answer came.
func (a *attempt) recordReceived() {
	now := clock.Now()
	a.backendAttempt.ObserveBytes(now)
	if a.firstByteAt.IsZero() {
		a.firstByteAt = now
	}
}

// reportSample tells what the attempt says of the release of its back end.
func (a *attempt) reportSample(outcome backend.Outcome) {
	if a.forwarder.Releases == nil {
		return
	}
	now := clock.Now()
	sample := canary.Sample{
		Route: a.route.Name, Outcome: a.sampleOutcome(outcome), Elapsed: now.Sub(a.sentAt), Predicted: a.choice.PredictedUncached,
	}
	if !a.firstByteAt.IsZero() {
		sample.Elapsed = a.firstByteAt.Sub(a.sentAt)
	}
	a.forwarder.Releases.Ended(now, a.releaseRun, sample)
}

// sampleOutcome returns what an outcome says of a release. An attempt from which nothing came
// in time counts as an answer that took at least as long: a release that answers too late
// for its callers would otherwise leave no trace of that.
func (a *attempt) sampleOutcome(outcome backend.Outcome) canary.Outcome {
	switch {
	case outcome == backend.Failed, a.invalid:
		return canary.Failed
	case outcome == backend.Answered, outcome == backend.Silent && a.firstByteAt.IsZero():
		return canary.Answered
	case outcome == backend.Abandoned && a.firstByteAt.IsZero() && context.Cause(a.ctx) == errDeadline:
		return canary.Answered
	default:
		return canary.NoAnswer
	}
}
