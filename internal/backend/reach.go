package backend

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// lostFrom is the number of back ends of another region that must have failed, with
	// no answer of any in between, for the whole region to be taken for lost: one or two
	// are lost in any fleet.
	lostFrom = 3
	// firstLoss and longestLoss bound how long a lost region is passed over until it is
	// tried again; the time doubles with each failure in a row. Without this each request
	// with a home there waits out the opening of a connection (300 ms) first.
	firstLoss   = time.Second
	longestLoss = 4 * time.Second
)

// reach is what is known of whether another region can be reached from here.
type reach struct {
	// failing are the back ends that failed since one answered last.
	failing map[ident.Incarnation]struct{}
	// lostUntil ends the time for which the region is passed over, pause is its length.
	lostUntil time.Time
	pause     time.Duration
}

// lost reports whether a back end is in a region that cannot be reached now.
func (r *Registry) lost(now time.Time, known *state) bool {
	seen := r.reaches[r.config.Regions.Of(known.record.Zone)]
	return seen != nil && now.Before(seen.lostUntil)
}

// answered takes in that a back end answered.
func (r *Registry) answered(known *state) {
	delete(r.reaches, r.config.Regions.Of(known.record.Zone))
}

// unanswered takes in that a back end was not reached, or was silent.
func (r *Registry) unanswered(now time.Time, known *state) {
	if r.config.Regions.Same(r.config.Zone, known.record.Zone) {
		return
	}
	place := r.config.Regions.Of(known.record.Zone)
	seen := r.reaches[place]
	if seen == nil {
		seen = &reach{failing: make(map[ident.Incarnation]struct{})}
		r.reaches[place] = seen
	}
	seen.failing[known.record.Instance] = struct{}{}
	if len(seen.failing) < lostFrom || now.Before(seen.lostUntil) {
		return
	}
	seen.pause = min(max(2*seen.pause, firstLoss), longestLoss)
	seen.lostUntil = now.Add(seen.pause)
}

// UnreachableRegions returns the regions that cannot be reached now, by their names.
func (r *Registry) UnreachableRegions(now time.Time) []ident.Region {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var lost []ident.Region
	for place, seen := range r.reaches {
		if now.Before(seen.lostUntil) {
			lost = append(lost, place)
		}
	}
	slices.Sort(lost)
	return lost
}
