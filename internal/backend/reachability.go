package backend

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// minUnreachableBackends is the number of back ends of another region that must have
	// failed, with no answer of any in between, for the region to count as unreachable: one or
	// two fail in any fleet.
	minUnreachableBackends = 3
	// firstUnreachablePause and maxUnreachablePause bound how long an unreachable region is
	// skipped until it is tried again; the pause doubles with each failure in a row. Without it
	// each request with a home there would first wait for a connection timeout.
	firstUnreachablePause = time.Second
	maxUnreachablePause   = 4 * time.Second
)

// reachability is whether another region can be reached from here.
type reachability struct {
	// failing are the back ends that failed since one last answered.
	failing map[ident.Incarnation]struct{}
	// unreachableUntil ends the time for which the region is skipped, of length pause.
	unreachableUntil time.Time
	pause            time.Duration
}

// regionUnreachable reports whether the region of a back end is unreachable now.
func (r *Registry) regionUnreachable(now time.Time, known *state) bool {
	entry := r.reachability[r.config.Regions.Of(known.record.Zone)]
	return entry != nil && now.Before(entry.unreachableUntil)
}

// observeReachable records that a back end answered.
func (r *Registry) observeReachable(known *state) {
	delete(r.reachability, r.config.Regions.Of(known.record.Zone))
}

// observeUnreachable records that a back end could not be reached, or was silent.
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

// UnreachableRegions returns the regions that are unreachable now, sorted by name.
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
