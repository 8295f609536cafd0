package canary

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// traffic is what a Gate knows of one service: its releases, what runs on each, and the
// guard of its newest order.
type traffic struct {
	// present are the releases that are listed or have runs under way. There are few, so
	// that they are searched one by one.
	present []presence
	// forbidden are listed releases that may not be used without a permit. The slice is
	// handed out, and is replaced as a whole.
	forbidden []ident.Release
	guard     *guard
}

// presence is one release of a service.
type presence struct {
	release ident.Release
	listed  bool
	// listedAt is the time at which it was listed for the first time.
	listedAt time.Time
	// settled says that no order for it was on its way when it was listed.
	settled bool
	// served says that it was there while no order for it was.
	served bool
	// running is the number of attempts that are under way there.
	running int
}

// presence returns the entry of a release.
func (t *traffic) presence(release ident.Release) *presence {
	for index := range t.present {
		if t.present[index].release == release {
			return &t.present[index]
		}
	}
	t.present = append(t.present, presence{release: release})
	return &t.present[len(t.present)-1]
}

// list takes in which releases are listed. One that comes alone has nothing beside it
// that could serve in its place, and is used at once.
func (t *traffic) list(now time.Time, releases []ident.Release) {
	for index := range t.present {
		t.present[index].listed = slices.Contains(releases, t.present[index].release)
	}
	for _, release := range releases {
		known := t.presence(release)
		if known.listedAt.IsZero() {
			known.listedAt = now
			known.settled = len(releases) == 1
		}
		known.listed = true
	}
	t.present = slices.DeleteFunc(t.present, func(known presence) bool {
		return !known.listed && known.running == 0
	})
}

// settle works out which releases are forbidden: those that the guard forbids, and those
// that were listed since the orders were confirmed, as an order may be on its way. The
// latter are used all the same if no other is left, as at the start of a router whose list
// is a moment younger than its orders: it would serve nothing until the next confirmation,
// which is far off while the store is down.
func (t *traffic) settle(confirmedAt time.Time) {
	t.forbidden = nil
	var unsure []ident.Release
	left := false
	for index := range t.present {
		known := &t.present[index]
		ordered := t.guard != nil && t.guard.order.Target == known.release
		if known.listedAt.Before(confirmedAt) {
			known.settled = true
			known.served = known.served || !ordered
		}
		switch {
		case t.guard != nil && t.guard.forbids(known.release):
			t.forbidden = append(t.forbidden, known.release)
		case known.listed && !known.settled && !ordered:
			unsure = append(unsure, known.release)
		case known.listed:
			left = true
		}
	}
	if left || confirmedAt.IsZero() {
		t.forbidden = append(t.forbidden, unsure...)
	}
	if t.guard == nil {
		return
	}
	if target := t.guard.order.Target; t.guard.forbids(target) && !slices.Contains(t.forbidden, target) {
		t.forbidden = append(t.forbidden, target)
	}
}

// begin makes an order the newest one of the service. Spread differs from router to router.
func (t *traffic) begin(order Order, spread uint64) {
	begun := &guard{order: order, spread: spread}
	target := t.presence(order.Target)
	begun.alone = target.listed && target.served
	for index := range t.present {
		// Releases that are listed beside the target when the order is learned can
		// have served before it.
		if release := t.present[index].release; t.present[index].listed && release != order.Target {
			begun.others, begun.alone = append(begun.others, release), false
		}
	}
	if last := t.guard; last != nil && last.phase != Succeeded {
		begun.unproved = append(slices.Clone(last.unproved), last.order.Target)
		if !last.phase.Final() {
			begun.doubted = last.order.Target
		}
	}
	t.guard = begun
}

// binding reports whether an attempt may have to be kept from any listed release.
func (t *traffic) binding() bool {
	if t.guard != nil && !t.guard.phase.Final() {
		return true
	}
	for index := range t.present {
		if t.present[index].listed && slices.Contains(t.forbidden, t.present[index].release) {
			return true
		}
	}
	return false
}

// runningElsewhere returns the number of attempts under way on releases other than the
// target.
func (t *traffic) runningElsewhere(target ident.Release) uint64 {
	sum := 0
	for index := range t.present {
		if t.present[index].release != target {
			sum += t.present[index].running
		}
	}
	return uint64(max(sum, 0))
}
