package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/store"
)

const (
	// recheckAfter is the time from a change to the question whether others were left out.
	recheckAfter = 2 * time.Second
	// recheckHold is how long such a question may be held back: it asks for what is there.
	recheckHold = time.Millisecond
	// recheckFor is how long forgotten changes are asked for again. A store that drops its
	// history may tell the same changes a second later; one that keeps 20 s has nothing
	// more to tell then.
	recheckFor = 15 * time.Second
)

// recheck asks for each change once more, some seconds after it was told. A store that
// forgets its history leaves out changes for about a second before that, and then refuses
// those of before for a while: what stood in its row for an instant then is told later only.
// With six versions named beside such a fault, 1 of 30 plays ended on older weights.
type recheck struct {
	// after is the revision up to which everything was told twice, next the one up to which
	// it was told once at the last recheck.
	after, next uint64
	// dueAt is when the next one is due, zero if nothing was told since the last one.
	dueAt time.Time
	// goneSince is when the store first said that it has forgotten what is asked for, zero
	// if it tells it.
	goneSince time.Time
	// searched says that the oldest changes that are still told were found since then.
	searched bool
	// deferred says that the last one told a version first and was put off.
	deferred bool
}

// newRecheck returns the recheck of a watch that begins after a revision: it asks at once.
func newRecheck(now time.Time, after uint64) recheck {
	return recheck{after: after, next: after, dueAt: now}
}

// hold returns how long the next question of the watch may be held back.
func (r *recheck) hold(now time.Time) time.Duration {
	if r.dueAt.IsZero() {
		return watchHold
	}
	return min(max(r.dueAt.Sub(now), leastHold), watchHold)
}

// answered takes in that the watch was answered, early if there were changes.
func (r *recheck) answered(now time.Time, early bool) {
	switch {
	case !r.dueAt.IsZero():
	case early:
		r.dueAt = now.Add(recheckAfter)
	default:
		r.dueAt = now
	}
}

// checkAgain asks once more for what was told before, if that is due. All changes up to a
// revision were told by now. Only a router that reads the store for others does so: calls are
// dear in large fleets, where many read while their peers come and go.
func (s *namingSession) checkAgain(ctx context.Context, told uint64) {
	check := &s.recheck
	if clock.Now().Before(check.dueAt) {
		return
	}
	check.dueAt = time.Time{}
	if check.after >= told || !s.readsForOthers() {
		return
	}
	changes, err := s.changes(ctx, check.after, recheckHold)
	switch {
	case errors.Is(err, ErrHistoryGone):
		s.checkForgotten(ctx, told)
	case err == nil && !check.deferred && changes.StoreRevision > told && s.tellsNewer(&changes):
		// The watch is asked first: it knows how old at the most the version is, while this
		// question would tell it as one of unknown age. Once only, as other writes go on.
		check.deferred, check.dueAt = true, clock.Now()
	case err == nil:
		check.goneSince, check.deferred = time.Time{}, false
		s.takeOld(ctx, check.after, &changes)
		check.after, check.next = check.next, told
	}
}

// tellsNewer reports whether changes tell a newer version than the newest known one.
func (s *namingSession) tellsNewer(changes *Changes) bool {
	models := s.replica.holder.View().Models
	return slices.ContainsFunc(changes.Published, func(named PublishedWeights) bool {
		return named.Version > models[named.Model].Version
	})
}

// checkForgotten asks for the oldest changes that the store still keeps, when it has just
// forgotten those that are asked for, and once more when these are given up. A search that
// gets no answer is made again each time: answers are large where there are too many changes,
// and slow then, and what is not found stays unknown for good.
func (s *namingSession) checkForgotten(ctx context.Context, told uint64) {
	check := &s.recheck
	check.dueAt = clock.Now().Add(recheckAfter)
	if check.goneSince.IsZero() {
		check.goneSince, check.searched = clock.Now(), false
	}
	last := clock.Since(check.goneSince) >= recheckFor
	if !check.searched || last {
		check.searched = s.oldestKept(ctx, check.after, told)
	}
	if last {
		log.WithFields(log.Fields{"from": check.after, "to": told}).Warn("namings_given_up")
		*check = recheck{after: told, next: told}
	}
}

// oldestKept finds the oldest revision between two others after which the store still knows
// all changes, and takes these in: a question for each halving. It reports whether all were
// answered.
func (s *namingSession) oldestKept(ctx context.Context, forgotten, known uint64) bool {
	if store.Epoch(forgotten) != store.Epoch(known) {
		// Of before it came back from an older copy a store tells nothing.
		forgotten = store.Revision(store.Epoch(known), 0)
	}
	for known-forgotten > 1 && ctx.Err() == nil {
		middle := forgotten + (known-forgotten)/2
		changes, err := s.changes(ctx, middle, recheckHold)
		switch {
		case errors.Is(err, ErrHistoryGone):
			forgotten = middle
		case err != nil:
			return false
		default:
			s.takeOld(ctx, middle, &changes)
			known = middle
		}
	}
	return true
}

// takeOld takes in changes that were told before, or should have been: when a version was
// named that was left out then is not known.
func (s *namingSession) takeOld(ctx context.Context, after uint64, changes *Changes) {
	if s.takeNamed(ctx, after, clock.Now(), 0, false, changes) {
		s.replica.watchedUpTo(s.replica.watchedTo(), true)
	}
}
