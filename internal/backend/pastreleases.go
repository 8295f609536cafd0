package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// ServiceReleases are releases of a service.
type ServiceReleases struct {
	Service  ident.Service   `cbor:"1,keyasint"`
	Releases []ident.Release `cbor:"2,keyasint"`
}

// PastReleasesKnown reports whether this router knows which releases were listed before it started. Until
// then a single release that it lists need not be the only one at which streams began.
func (r *Registry) PastReleasesKnown() bool { return !r.pastUnknown.Load() }

// ObservePastReleases records which releases were listed before this router started. Those that are not
// listed now count as gone since now.
func (r *Registry) ObservePastReleases(now time.Time, past []ServiceReleases) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range past {
		for _, release := range known.Releases[:min(len(known.Releases), maxReleaseSpans)] {
			r.releaseHistory(known.Service).addGone(release, now)
		}
	}
	r.updateSeveralReleases(now)
	r.pastUnknown.Store(false)
}

// addGone adds a release that was listed before this router knew of the service, until a time. One that the
// history has already is left as it is.
func (h *releaseHistory) addGone(release ident.Release, until time.Time) {
	if slices.ContainsFunc(h.spans, func(span releaseSpan) bool { return span.release == release }) {
		return
	}
	h.spans = append(h.spans, releaseSpan{release: release, since: until.Add(-StreamReturnTime), until: until})
}

// RecentReleases returns the releases of all services that are listed or were within StreamReturnTime, by
// service and name.
func (r *Registry) RecentReleases(now time.Time) []ServiceReleases {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var recent []ServiceReleases
	for service, history := range r.releaseHistories {
		history.expire(now)
		var releases []ident.Release
		for _, span := range history.spans {
			releases = append(releases, span.release)
		}
		slices.Sort(releases)
		if releases = slices.Compact(releases); len(releases) > 0 {
			recent = append(recent, ServiceReleases{Service: service, Releases: releases})
		}
	}
	slices.SortFunc(recent, func(a, b ServiceReleases) int { return cmp.Compare(a.Service, b.Service) })
	return recent
}
