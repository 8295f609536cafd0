package forward

import (
	"context"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Streams knows at which releases streams began, at this router and at others. Its methods are safe
// for concurrent use.
type Streams interface {
	// Began records where a stream began, here and at other routers. It returns once the record is
	// sent, and does not wait for an answer. The record is kept for ttl.
	Began(key affinity.Key, origin affinity.Origin, ttl time.Duration)
	// Find returns where a stream of a service began. It asks other routers if need be, for a
	// bounded time.
	Find(ctx context.Context, key affinity.Key, service ident.Service) affinity.Result
	// AskHolders returns where a stream of a service began if this router has a record of it, or one of the
	// few that others would have sent it to. It takes a shorter time than Find, and Unknown is complete
	// if one of those has answered.
	AskHolders(ctx context.Context, key affinity.Key, service ident.Service) affinity.Result
}

// streamOrigin is the release that a stream must go on at: what two releases write does not fit
// together, and back ends do not check it.
type streamOrigin struct {
	// bound is whether the stream has begun, at release.
	bound   bool
	release ident.Release
	// recorded is whether Streams knows of it.
	recorded bool
	// unknownRelease is whether the back end at which it began may have another release than its
	// record said.
	unknownRelease bool
}

const (
	// boundPlaceWait is how long a stream that has begun waits for a back end of its release, and
	// boundPlaceDivisor divides the time left into the longest such wait.
	boundPlaceWait    = time.Second
	boundPlaceDivisor = 4
	// unansweredRetryAfter is when a client may come back if not all routers answered: they may be
	// restarting.
	unansweredRetryAfter = 500 * time.Millisecond
	// aloneListAge is the oldest list on which the only release that it shows is taken for the one that began a
	// stream if no other router answers.
	aloneListAge = time.Second
)

// resumable reports whether another attempt or request may continue the answer.
func (r *run) resumable() bool {
	return r.route.Kind == catalog.Streaming && r.route.Resumable && r.forwarder.Streams != nil
}

// findOrigin finds the release at which the stream began that the request continues, if it does. It
// returns a fault if that is not known.
func (r *run) findOrigin(ctx context.Context) *fault.Fault {
	if !r.resumable() || r.request.LastEventID == "" {
		return nil
	}
	timed, cancel := context.WithTimeout(ctx, max(clock.Until(r.deadline), 0))
	defer cancel()
	if !r.onAnyService(r.forwarder.Backends.MayHaveSeveralReleases) {
		if refused := r.findRecord(timed); refused != nil || r.bound {
			return refused
		}
		if r.bindToSole() {
			return nil
		}
		// The list may have changed while others were asked.
		if !r.onAnyService(r.forwarder.Backends.MayHaveSeveralReleases) {
			return r.forwarder.notReady("no back end of the service is known")
		}
	}
	return r.searchOrigin(timed)
}

// findRecord binds a stream to the release at which other routers know that it began, though this one knows only one
// release: others may have known of a new one earlier. It returns a fault if they can't be asked and the list is
// not young enough to rule that out.
func (r *run) findRecord(ctx context.Context) *fault.Fault {
	if r.request.Resumes == "" {
		return nil
	}
	switch result := r.forwarder.Streams.AskHolders(ctx, r.streamKey(), r.service).(type) {
	case affinity.Found:
		refused := r.bind(result.Origin)
		if refused != nil {
			// The list of this router may be behind.
			refused = refused.WithRetryAfter(unansweredRetryAfter)
		}
		return refused
	case affinity.Conflicting:
		return conflictingFault()
	case affinity.Unknown:
		alone := !result.Complete && clock.Since(r.forwarder.Backends.ListedAt()) > aloneListAge
		if alone || result.Several && !r.onAnyService(r.forwarder.Backends.MayHaveSeveralReleases) {
			return unansweredFault()
		}
	}
	return nil
}

// searchOrigin is findOrigin where the service may have several releases.
func (r *run) searchOrigin(ctx context.Context) *fault.Fault {
	if r.request.Resumes == "" && r.onAnyService(r.forwarder.Backends.HasSeveralReleases) {
		return fault.New(fault.StreamNotContinued, "the request does not name the one that began the stream, and several releases may have")
	}
	pastUnknown := !r.forwarder.Backends.PastReleasesKnown()
	switch result := r.forwarder.Streams.Find(ctx, r.streamKey(), r.service).(type) {
	case affinity.Found:
		return r.bind(result.Origin)
	case affinity.Conflicting:
		return conflictingFault()
	case affinity.Unknown:
		if pastUnknown && r.bindToSole() {
			return nil
		}
		if !r.forwarder.Backends.PastReleasesKnown() {
			return fault.New(fault.StreamNotContinued, "it is not known which releases served before this router started").
				WithRetryAfter(unansweredRetryAfter)
		}
		if !result.Complete {
			return unansweredFault()
		}
	}
	return fault.New(fault.StreamNotContinued, "no router knows the stream, and several releases may have begun it")
}

func conflictingFault() *fault.Fault {
	return fault.New(fault.StreamNotContinued, "several streams began as the request named, at different releases")
}

func unansweredFault() *fault.Fault {
	return fault.New(fault.StreamNotContinued, "not all routers could be asked which release began the stream").
		WithRetryAfter(unansweredRetryAfter)
}

// bindToSole binds the stream to the only release at which it can have begun, and reports whether there is
// one.
func (r *run) bindToSole() bool {
	if r.onAnyService(r.forwarder.Backends.MayHaveSeveralReleases) {
		return false
	}
	release, listed := r.forwarder.Backends.SoleRelease(clock.Now(), r.service)
	if listed {
		r.bound, r.release = true, release
	}
	return listed
}

// onAnyService reports whether something holds now of a service of the request's route.
func (r *run) onAnyService(holds func(now time.Time, service ident.Service) bool) bool {
	now := clock.Now()
	return slices.ContainsFunc(r.route.Split, func(share catalog.Share) bool { return holds(now, share.Service) })
}

// bind keeps the request to the origin of the stream that it continues.
func (r *run) bind(origin affinity.Origin) *fault.Fault {
	if origin.Service != r.service && !r.route.LeadsTo(origin.Service) {
		return fault.New(fault.StreamNotContinued, "the route no longer leads to the service that began the stream")
	}
	r.service, r.release, r.bound = origin.Service, origin.Release, true
	if !r.forwarder.Backends.HasRelease(r.service, r.release) {
		return r.releaseGoneFault()
	}
	return nil
}

// streamKey returns the key of the stream that the request begins or continues.
func (r *run) streamKey() affinity.Key {
	first := r.request.ID
	if r.request.LastEventID != "" && r.request.Resumes != "" {
		first = r.request.Resumes
	}
	var tenant ident.Tenant
	if r.tenant != nil {
		tenant = r.tenant.Name
	}
	return affinity.KeyOf(tenant, r.request.Host, r.request.Target, first)
}

// recordOrigin binds the stream to the release that passes its first event on. While other releases
// serve, or a client may come back that began elsewhere, other routers get a record before the
// client gets the event.
func (a *attempt) recordOrigin() {
	if a.recorded || !a.resumable() {
		return
	}
	if !a.bound {
		a.bound, a.release, a.unknownRelease = true, a.choice.Release, a.choice.ReleaseChanged
	}
	if a.unknownRelease || !a.forwarder.Backends.MayHaveSeveralReleases(clock.Now(), a.service) {
		return
	}
	a.recorded = true
	a.forwarder.Streams.Began(a.streamKey(), affinity.Origin{Service: a.service, Release: a.release}, a.clientTime())
}

// clientTime returns for how long the client may come back.
func (r *run) clientTime() time.Duration {
	timeout := r.request.ClientTimeout
	if timeout <= 0 {
		timeout = defaultClientTimeout
	}
	return timeout
}

// placeWait returns how long the request waits for a back end.
func (r *run) placeWait() time.Duration {
	wait := r.route.Target / placeWaitDivisor
	if r.bound {
		wait = max(wait, min(boundPlaceWait, clock.Until(r.deadline)/boundPlaceDivisor))
	}
	return wait
}

// releaseGoneFault returns the fault of a stream whose release has no back end left.
func (r *run) releaseGoneFault() *fault.Fault {
	return fault.New(fault.StreamNotContinued, "release %s began the stream, and no back end of it is left", r.release)
}

// releaseUnavailableFault returns the fault of a stream whose release has no room.
func (r *run) releaseUnavailableFault() *fault.Fault {
	return fault.New(fault.StreamNotContinued, "release %s began the stream, and no back end of it can take the request now", r.release).
		WithRetryAfter(r.retryAfter(clock.Now()))
}
