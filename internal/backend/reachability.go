package backend

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// minUnreachableBackends is the number of back ends of another region that must have failed, with
	// no answer of any in between, for the whole region to be taken for lost: one or two
	// are lost in any fleet.
	minUnreachableBackends = 3
	// firstUnreachablePause and maxUnreachablePause bound how long a lost region is passed over until it is
	// tried again; the time doubles with each failure in a row. Without this each request
	// with a home there waits out the opening of a connection (300 ms) first.
	firstUnreachablePause = time.Second
	maxUnreachablePause   = 4 * time.Second
)

// reachability is what is known of whether another region can be reached from here.
type reachability struct {
	// failing are the back ends that failed since one answered last.
	failing map[ident.Incarnation]struct{}
	// unreachableUntil ends the time for which the region is passed over, pause is its length.
	unreachableUntil time.Time
	pause            time.Duration
}

// regionUnreachable reports whether a back end is in a region that cannot be reached now.
func (r *Registry) regionUnreachable(now time.Time, known *state) bool {
	entry := r.reachability[r.config.Regions.Of(known.record.Zone)]
	return entry != nil && now.Before(entry.unreachableUntil)
}

// observeReachable takes in that a back end answered.
func (r *Registry) observeReachable(known *state) {
	delete(r.reachability, r.config.Regions.Of(known.record.Zone))
}

// observeUnreachable takes in that a back end was not reached, or was silent.
func (r *Registry) observeUnreachable(now time.Time, known *state) {
	if r.config.Regions.Same(r.config.Zone, known.record.Zone) {
		return
	}
	region := r.config.Regions.Of(known.record.Zone)
	entry := r.reachability[region]
	if entry == nil {
		entry = &reachability{failing: make(map[ident.Incarnation]struct{})}
		r.reachability[region] = entry
	}
	entry.failing[known.record.Instance] = struct{}{}
	if len(entry.failing) < minUnreachableBackends || now.Before(entry.unreachableUntil) {
		return
	}
	entry.pause = min(max(2*entry.pause, firstUnreachablePause), maxUnreachablePause)
	entry.unreachableUntil = now.Add(entry.pause)
}

// UnreachableRegions returns the regions that cannot be reached now, by their names.
func (r *Registry) UnreachableRegions(now time.Time) []ident.Region {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var unreachable []ident.Region
	for region, entry := range r.reachability {
		if now.Before(entry.unreachableUntil) {
			unreachable = append(unreachable, region)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}
