package canary

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// traffic is what a Gate knows of one service: its releases, what runs on each, and the
// guard of its newest order.
type traffic struct {
	// releases are the releases that are listed or have runs under way. There are few, so
	// that they are searched one by one.
	releases []releaseState
	// forbidden are listed releases that may not be used without a permit. The slice is
	// handed out, and is replaced as a whole.
	forbidden []ident.Release
	guard     *guard
}

// releaseState is one release of a service.
type releaseState struct {
	release ident.Release
	listed  bool
	// listedAt is the time at which it was listed for the first time.
	listedAt time.Time
	// confirmed says that no order for it was on its way when it was listed.
	confirmed bool
	// servedUnordered says that it was there while no order for it was.
	servedUnordered bool
	// running is the number of attempts that are under way there.
	running int
}

// release returns the entry of a release.
func (t *traffic) release(release ident.Release) *releaseState {
	for index := range t.releases {
		if t.releases[index].release == release {
			return &t.releases[index]
		}
	}
	t.releases = append(t.releases, releaseState{release: release})
	return &t.releases[len(t.releases)-1]
}

// setListed takes in which releases are listed. One that comes alone has nothing beside it
// that could serve in its place, and is used at once.
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

// updateForbidden works out which releases are forbidden: those that the guard forbids, and those
// that were listed since the orders were confirmed, as an order may be on its way. The
// latter are used all the same if no other is left, as at the start of a router whose list
// is a moment younger than its orders: it would serve nothing until the next confirmation,
// which is far off while the store is down.
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

// begin makes an order the newest one of the service. Spread differs from router to router.
func (t *traffic) startOrder(order Order, creditSeed uint64) {
	next := &guard{order: order, creditSeed: creditSeed}
	target := t.release(order.Target)
	next.servedAlone = target.listed && target.servedUnordered
	for index := range t.releases {
		// Releases that are listed beside the target when the order is learned can
		// have served before it.
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
