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
	Choose(now time.Time, ask canary.ChooseRequest) backend.Releases
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
	query.Releases = r.releases(now)
	choice, flight, found := r.forwarder.Backends.Pick(now, &query)
	if found || query.Releases.Only == "" {
		return choice, flight, found
	}
	r.forwarder.Releases.Declined(r.service)
	query.Releases = r.releases(now)
	choice, flight, found = r.forwarder.Backends.Pick(now, &query)
	if !found && query.Releases.Only != "" {
		r.forwarder.Releases.Declined(r.service)
	}
	return choice, flight, found
}

// stands reports whether the attempt may still go to its back end. An order or a verdict may
// have become known, with the back ends of a new release, after it was asked where the attempt
// may go: it would be placed at a release that nothing has proved.
func (r *run) stands(choice *backend.Choice) bool {
	return r.forwarder.Releases == nil || r.forwarder.Releases.StillAllowed(r.service, &choice.Releases, choice.Release)
}

// decline gives up an attempt that was placed and is not sent.
func (r *run) decline(now time.Time, choice *backend.Choice, flight *backend.Attempt) {
	flight.End(now, backend.Abandoned)
	r.returnPermit()
	if choice.Releases.Only != "" {
		r.forwarder.Releases.Declined(r.service)
	}
}

// releases asks where the next attempt may go. Only the first question counts the request.
func (r *run) releases(now time.Time) backend.Releases {
	ask := canary.ChooseRequest{Service: r.service, Route: r.route.Name, First: !r.asked, Excluded: len(r.excluded)}
	r.asked = true
	return r.forwarder.Releases.Choose(now, ask)
}

// count counts the attempt for the release of its back end.
func (a *attempt) count() {
	if a.forwarder.Releases != nil {
		a.counted = a.forwarder.Releases.Sent(a.sentAt, a.service, a.choice.Record)
	}
}

// heard takes in that bytes of the answer came.
func (a *attempt) heard() {
	now := clock.Now()
	a.flight.ObserveBytes(now)
	if a.heardAt.IsZero() {
		a.heardAt = now
	}
}

// settle tells what the attempt says of the release of its back end.
func (a *attempt) settle(outcome backend.Outcome) {
	if a.forwarder.Releases == nil {
		return
	}
	now := clock.Now()
	sample := canary.Sample{
		Route: a.route.Name, Outcome: a.sampled(outcome), Elapsed: now.Sub(a.sentAt), Predicted: a.choice.PredictedUncached,
	}
	if !a.heardAt.IsZero() {
		sample.Elapsed = a.heardAt.Sub(a.sentAt)
	}
	a.forwarder.Releases.Ended(now, a.counted, sample)
}

// sampled returns what an outcome says of a release. An attempt from which nothing came
// in time counts as an answer that took at least as long: a release that answers too late
// for its callers would otherwise leave no trace of that.
func (a *attempt) sampled(outcome backend.Outcome) canary.Outcome {
	switch {
	case outcome == backend.Failed, a.unsound:
		return canary.Failed
	case outcome == backend.Answered, outcome == backend.Silent && a.heardAt.IsZero():
		return canary.Answered
	case outcome == backend.Abandoned && a.heardAt.IsZero() && context.Cause(a.ctx) == errTimeUp:
		return canary.Answered
	default:
		return canary.NoAnswer
	}
}
