package forward

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Releases guards rollouts of services to another release. Its methods are safe for
// concurrent use.
type Releases interface {
	// Choose returns the releases that an attempt may go to.
	Choose(now time.Time, ask canary.ChooseRequest) backend.Releases
	// StillAllowed reports whether an attempt that was allowed to go to some releases may
	// still go to one of them.
	StillAllowed(service ident.Service, allowed *backend.Releases, release ident.Release) bool
	// Declined cancels a choice that allowed only one release, since no attempt was sent there.
	Declined(service ident.Service)
	// Sent counts an attempt about to be sent to a back end, Ended records its sample.
	Sent(now time.Time, service ident.Service, to backend.Record) canary.Run
	Ended(now time.Time, run canary.Run, sample canary.Sample)
}

// pick chooses the back end for the next attempt among the allowed releases. If no back
// end of a release on trial can take it, pick tries the others.
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
	if r.bound {
		return choice, backendAttempt, false
	}
	query.Releases = r.chooseReleases(now)
	choice, backendAttempt, found = r.forwarder.Backends.Pick(now, &query)
	if !found && query.Releases.Only != "" {
		r.forwarder.Releases.Declined(r.service)
	}
	return choice, backendAttempt, found
}

// stillAllowed reports whether the attempt may still go to its back end: an order or a decision,
// and the back ends of a new, untested release, may have become known since Choose.
func (r *run) stillAllowed(choice *backend.Choice) bool {
	return r.forwarder.Releases == nil || r.forwarder.Releases.StillAllowed(r.service, &choice.Releases, choice.Release)
}

// declinePlacement cancels an attempt that was placed and is not sent.
func (r *run) declinePlacement(now time.Time, choice *backend.Choice, backendAttempt *backend.Attempt) {
	backendAttempt.End(now, backend.Abandoned)
	r.releaseBackendGrant()
	if choice.Releases.Only != "" {
		r.forwarder.Releases.Declined(r.service)
	}
}

// chooseReleases returns the releases for the next attempt. Only the first call counts the request.
func (r *run) chooseReleases(now time.Time) backend.Releases {
	request := canary.ChooseRequest{Service: r.service, Route: r.route.Name, First: !r.counted, Excluded: len(r.excluded), Continues: r.bound, Release: r.release}
	r.counted = true
	return r.forwarder.Releases.Choose(now, request)
}

// countForRelease counts the attempt for the release of its back end.
func (a *attempt) countForRelease() {
	if a.forwarder.Releases != nil {
		a.releaseRun = a.forwarder.Releases.Sent(a.sentAt, a.service, a.choice.Record)
	}
}

// recordReceived records that bytes of the answer arrived.
func (a *attempt) recordReceived() {
	now := clock.Now()
	a.backendAttempt.ObserveBytes(now)
	if a.firstByteAt.IsZero() {
		a.firstByteAt = now
	}
}

// reportSample reports the result of the attempt to Releases.
func (a *attempt) reportSample(outcome backend.Outcome) {
	if a.forwarder.Releases == nil {
		return
	}
	now := clock.Now()
	sample := canary.Sample{
		Route: a.route.Name, Outcome: a.sampleOutcome(outcome), Elapsed: now.Sub(a.sentAt), Predicted: a.choice.PredictedUncached,
		Continues: a.continues,
	}
	if !a.firstByteAt.IsZero() {
		sample.Elapsed = a.firstByteAt.Sub(a.sentAt)
	}
	a.forwarder.Releases.Ended(now, a.releaseRun, sample)
}

// sampleOutcome converts an outcome to that of a release's sample. An attempt without any bytes
// in time counts as an answer that took as long, so that a release that answers too late is noticed.
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
