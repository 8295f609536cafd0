package backend

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// StreamReturnTime is the longest time in which the client of a stream may come back for the rest
// of it. Releases that were listed within it may have begun such streams.
const StreamReturnTime = 2 * time.Minute

// ReleaseSettleTime is how long a release must be listed until streams that may come back begin
// there, as long as another one can serve them. A router whose list is not older then knows of the
// release when such a stream comes back.
const ReleaseSettleTime = 3 * time.Second

// maxReleaseSpans bounds the releases of a service that are remembered, whatever peers report.
const maxReleaseSpans = 64

// releaseSpan is a time in which a release of a service was listed.
type releaseSpan struct {
	release ident.Release
	since   time.Time
	// until is when it was found gone, the zero value while it is listed.
	until time.Time
}

// releaseHistory has the releases of a service that are listed, or were within StreamReturnTime.
type releaseHistory struct {
	// since is when the service was first listed here.
	since time.Time
	spans []releaseSpan
}

// update sets the listed releases as of a time.
func (h *releaseHistory) update(now time.Time, listed []ident.Release) {
	if h.since.IsZero() {
		h.since = now
		// What served before this router started, and does now, has not gone.
		h.spans = slices.DeleteFunc(h.spans, func(span releaseSpan) bool { return slices.Contains(listed, span.release) })
	}
	for index := range h.spans {
		span := &h.spans[index]
		if span.until.IsZero() && !slices.Contains(listed, span.release) {
			span.until = now
		}
	}
	for _, release := range listed {
		if !slices.ContainsFunc(h.spans, func(span releaseSpan) bool { return span.release == release && span.until.IsZero() }) {
			h.spans = append(h.spans, releaseSpan{release: release, since: now})
		}
	}
	h.expire(now)
}

// expire drops releases that have been gone for StreamReturnTime.
func (h *releaseHistory) expire(now time.Time) {
	h.spans = slices.DeleteFunc(h.spans, func(span releaseSpan) bool {
		return !span.until.IsZero() && now.Sub(span.until) > StreamReturnTime
	})
	if excess := len(h.spans) - maxReleaseSpans; excess > 0 {
		h.spans = slices.Delete(h.spans, 0, excess)
	}
}

// sole returns the only release of the history, if it is listed.
func (h *releaseHistory) sole() (ident.Release, bool) {
	if len(h.spans) == 0 {
		return "", false
	}
	first, listed := h.spans[0].release, false
	for _, span := range h.spans {
		if span.release != first {
			return "", false
		}
		listed = listed || span.until.IsZero()
	}
	return first, listed
}

// prior returns the release that was listed alone until another one appeared, no longer than
// StreamReturnTime ago.
func (h *releaseHistory) prior(now time.Time) (ident.Release, bool) {
	if len(h.spans) == 0 || !h.spans[0].since.Equal(h.since) {
		return "", false
	}
	first := h.spans[0].release
	for _, span := range h.spans[1:] {
		if span.release != first && (!span.since.After(h.since) || now.Sub(span.since) > StreamReturnTime) {
			return "", false
		}
	}
	return first, h.several()
}

// several reports whether streams may have begun at several releases.
func (h *releaseHistory) several() bool {
	return len(h.spans) > 1 && slices.ContainsFunc(h.spans, func(span releaseSpan) bool { return span.release != h.spans[0].release })
}

// GoneRelease is a release of a service that is no longer listed.
type GoneRelease struct {
	Service ident.Service `cbor:"1,keyasint"`
	Release ident.Release `cbor:"2,keyasint"`
	// Age is the time since it was found gone.
	Age time.Duration `cbor:"3,keyasint"`
}

// releasesAffectedBy returns the services whose releases records may change; the caller holds the
// mutex.
func (r *Registry) releasesAffectedBy(changed []Record) []ident.Service {
	var services []ident.Service
	for index := range changed {
		record := &changed[index]
		earlier := r.byID[record.Instance]
		if earlier == nil || earlier.record.Release != record.Release || earlier.record.Service != record.Service {
			services = append(services, record.Service)
		}
		if earlier != nil && earlier.record.Service != record.Service {
			services = append(services, earlier.record.Service)
		}
	}
	return services
}

// servicesOfGone returns the services of the back ends that are gone by some changes.
func servicesOfGone(changes []Change) []ident.Service {
	var services []ident.Service
	for index := range changes {
		if changes[index].Kind == Gone {
			services = append(services, changes[index].Record.Service)
		}
	}
	return services
}

// observeReleases updates the releases of services, which may be named twice, as of a time; the
// caller holds the mutex.
func (r *Registry) observeReleases(now time.Time, services []ident.Service) {
	if len(services) == 0 {
		return
	}
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		var listed []ident.Release
		for _, known := range r.services[service] {
			if !slices.Contains(listed, known.record.Release) {
				listed = append(listed, known.record.Release)
			}
		}
		r.releaseHistory(service).update(now, listed)
	}
	r.updateSeveralReleases(now)
}

// releaseHistory returns the history of a service, which is added if it is new.
func (r *Registry) releaseHistory(service ident.Service) *releaseHistory {
	history := r.releaseHistories[service]
	if history == nil {
		history = &releaseHistory{}
		r.releaseHistories[service] = history
	}
	return history
}

// updateSeveralReleases records whether any service has several releases; the caller holds the
// mutex.
func (r *Registry) updateSeveralReleases(now time.Time) {
	several := false
	for _, history := range r.releaseHistories {
		history.expire(now)
		several = several || history.several()
	}
	r.severalReleases.Store(several)
}

// SoleRelease returns the release at which all streams of a service have begun for
// StreamReturnTime, and false if there is none or may be several.
func (r *Registry) SoleRelease(now time.Time, service ident.Service) (ident.Release, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.soleRelease(now, service)
}

// soleRelease is SoleRelease for callers that hold the mutex.
func (r *Registry) soleRelease(now time.Time, service ident.Service) (ident.Release, bool) {
	history := r.releaseHistory(service)
	history.expire(now)
	release, listed := history.sole()
	return release, listed && r.PastReleasesKnown()
}

// HasSeveralReleases reports whether streams of a service may have begun at several releases, as
// far as this router knows.
func (r *Registry) HasSeveralReleases(now time.Time, service ident.Service) bool {
	if !r.severalReleases.Load() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.hasSeveralReleases(now, service)
}

// hasSeveralReleases is HasSeveralReleases for callers that hold the mutex.
func (r *Registry) hasSeveralReleases(now time.Time, service ident.Service) bool {
	r.updateSeveralReleases(now)
	history := r.releaseHistories[service]
	return history != nil && history.several()
}

// MayHaveSeveralReleases is HasSeveralReleases, or true if the list is so old that others may know
// of a release that this router does not, or if one may have gone before this router started.
func (r *Registry) MayHaveSeveralReleases(now time.Time, service ident.Service) bool {
	if !r.PastReleasesKnown() {
		return true
	}
	if !r.severalReleases.Load() {
		return now.Sub(r.ListedAt()) > ReleaseSettleTime
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Sub(r.listedAt) > ReleaseSettleTime || r.hasSeveralReleases(now, service)
}

// PriorRelease returns the only release of a service that this router knows, or knew until another
// one appeared. Streams of which no router has a record began at it.
func (r *Registry) PriorRelease(now time.Time, service ident.Service) (ident.Release, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	history := r.releaseHistory(service)
	history.expire(now)
	if !history.several() {
		return r.soleRelease(now, service)
	}
	prior, found := history.prior(now)
	return prior, found && r.PastReleasesKnown()
}

// settled reports whether a release has been listed long enough for streams that may come back.
func (r *Registry) settled(now time.Time, service ident.Service, release ident.Release) bool {
	history := r.releaseHistories[service]
	return history == nil || slices.ContainsFunc(history.spans, func(span releaseSpan) bool {
		return span.release == release && now.Sub(span.since) >= ReleaseSettleTime
	})
}

// HasRelease reports whether a back end of a release of a service is listed.
func (r *Registry) HasRelease(service ident.Service, release ident.Release) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.ContainsFunc(r.services[service], func(known *state) bool { return known.record.Release == release })
}

// GoneReleases returns the releases that are no longer listed, for routers that start.
func (r *Registry) GoneReleases(now time.Time) []GoneRelease {
	if !r.severalReleases.Load() {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.updateSeveralReleases(now)
	var gone []GoneRelease
	for service, history := range r.releaseHistories {
		for _, span := range history.spans {
			if !span.until.IsZero() {
				gone = append(gone, GoneRelease{Service: service, Release: span.release, Age: now.Sub(span.until)})
			}
		}
	}
	return gone
}

// ObserveGoneReleases records releases that another router knows to be gone.
func (r *Registry) ObserveGoneReleases(now time.Time, gone []GoneRelease) {
	if len(gone) == 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, reported := range gone[:min(len(gone), maxReleaseSpans)] {
		if reported.Age < 0 || reported.Age > StreamReturnTime {
			continue
		}
		r.releaseHistory(reported.Service).addGone(reported.Release, now.Add(-reported.Age))
	}
	r.updateSeveralReleases(now)
}
