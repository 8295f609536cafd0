package canary

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// traffic is a Gate's state of one service: its releases, their runs, and the guard of its
// newest order.
type traffic struct {
	// releases are the releases that are listed or have runs under way. There are few, so
	// that a linear search suffices.
	releases []releaseState
	// forbidden are releases that may not be used without a permit. The slice is shared
	// with callers: it is replaced, never changed.
	forbidden []ident.Release
	guard     *guard
}

// releaseState is one release of a service.
type releaseState struct {
	release ident.Release
	listed  bool
	// listedAt is the time at which it was first listed.
	listedAt time.Time
	// confirmed is set once no order for it can have been unread when it was listed.
	confirmed bool
	// servedUnordered is set if it was listed while there was no order for it.
	servedUnordered bool
	// running is the number of attempts under way there.
	running int
}

// release returns the state of a release, which is added if it is new.
func (t *traffic) release(release ident.Release) *releaseState {
	for index := range t.releases {
		if t.releases[index].release == release {
			return &t.releases[index]
		}
	}
	t.releases = append(t.releases, releaseState{release: release})
	return &t.releases[len(t.releases)-1]
}

// setListed sets which releases are listed. One that is listed alone is used at once, as no
// other can serve instead.
func (t *traffic) setListed(now time.Time, releases []ident.Release) {
	for index := range t.releases {
		t.releases[index].listed = slices.Contains(releases, t.releases[index].release)
	}
	for _, release := range releases {
		known := t.release(release)
		if known.listedAt.IsZero() {
			known.listedAt = now
			known.confirmed = len(releases) == 1
		}
		known.listed = true
	}
	t.releases = slices.DeleteFunc(t.releases, func(known releaseState) bool {
		return !known.listed && known.running == 0
	})
}

// updateForbidden determines the forbidden releases: those that the guard forbids, and
// those listed since the orders were confirmed, as an order may be unread. The latter are
// used if no other is left: otherwise a router that starts while the store is down could
// serve nothing.
func (t *traffic) updateForbidden(confirmedAt time.Time) {
	t.forbidden = nil
	var unconfirmed []ident.Release
	usable := false
	for index := range t.releases {
		known := &t.releases[index]
		ordered := t.guard != nil && t.guard.order.Target == known.release
		if known.listedAt.Before(confirmedAt) {
			known.confirmed = true
			known.servedUnordered = known.servedUnordered || !ordered
		}
		switch {
		case t.guard != nil && t.guard.forbids(known.release):
			t.forbidden = append(t.forbidden, known.release)
		case known.listed && !known.confirmed && !ordered:
			unconfirmed = append(unconfirmed, known.release)
		case known.listed:
			usable = true
		}
	}
	if usable || confirmedAt.IsZero() {
		t.forbidden = append(t.forbidden, unconfirmed...)
	}
	if t.guard == nil {
		return
	}
	if target := t.guard.order.Target; t.guard.forbids(target) && !slices.Contains(t.forbidden, target) {
		t.forbidden = append(t.forbidden, target)
	}
}

// startOrder sets the newest order of the service. CreditSeed differs between routers.
func (t *traffic) startOrder(order Order, creditSeed uint64) {
	next := &guard{order: order, creditSeed: creditSeed}
	target := t.release(order.Target)
	next.servedAlone = target.listed && target.servedUnordered
	for index := range t.releases {
		// Releases that are listed beside the target when the order is received can have
		// served before it.
		if release := t.releases[index].release; t.releases[index].listed && release != order.Target {
			next.previous, next.servedAlone = append(next.previous, release), false
		}
	}
	if last := t.guard; last != nil && last.phase != Succeeded {
		next.unproved = append(slices.Clone(last.unproved), last.order.Target)
		if !last.phase.Final() {
			next.undecided = last.order.Target
		}
	}
	t.guard = next
}

// restricts reports whether an attempt may have to be kept from any listed release.
func (t *traffic) restricts() bool {
	if t.guard != nil && !t.guard.phase.Final() {
		return true
	}
	for index := range t.releases {
		if t.releases[index].listed && slices.Contains(t.forbidden, t.releases[index].release) {
			return true
		}
	}
	return false
}

// runningElsewhere returns the number of attempts under way on releases other than the
// target.
func (t *traffic) runningElsewhere(target ident.Release) uint64 {
	sum := 0
	for index := range t.releases {
		if t.releases[index].release != target {
			sum += t.releases[index].running
		}
	}
	return uint64(max(sum, 0))
}
