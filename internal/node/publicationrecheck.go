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
	// recheckAfter is the time from a change to the recheck for omitted ones.
	recheckAfter = 2 * time.Second
	// recheckHold is the hold time of a recheck, which must not wait for new changes.
	recheckHold = time.Millisecond
	// recheckWindow is how long forgotten changes are requested again: a store that dropped its
	// history may return the same changes a second later. Stores keep changes for 20 s.
	recheckWindow = 15 * time.Second
)

// recheck requests each change a second time, some seconds after the first. A store that is about
// to forget its history omits changes for about a second and then refuses earlier revisions for a
// while, so a version that was overwritten at once shows only in a later answer.
type recheck struct {
	// after is the revision up to which changes were received twice, next the one up to which
	// they had been received once at the last recheck.
	after, next uint64
	// dueAt is when the next recheck is due, zero if there was no answer since the last one.
	dueAt time.Time
	// forgottenSince is when the store first returned ErrHistoryGone, zero if it returns the
	// changes.
	forgottenSince time.Time
	// searched is whether the oldest changes that the store keeps were found since then.
	searched bool
	// deferred is whether the last recheck was put off because it had a version that the watch
	// had not received.
	deferred bool
}

// newRecheck returns the recheck of a watch that starts after a revision. It is due at once.
func newRecheck(now time.Time, after uint64) recheck {
	return recheck{after: after, next: after, dueAt: now}
}

// hold returns the hold time of the watch's next request.
func (r *recheck) hold(now time.Time) time.Duration {
	if r.dueAt.IsZero() {
		return watchHold
	}
	return min(max(r.dueAt.Sub(now), minWatchHold), watchHold)
}

// schedule sets when the next recheck is due, given an answer of the watch; early means that it
// came before the end of the hold time.
func (r *recheck) schedule(now time.Time, early bool) {
	switch {
	case !r.dueAt.IsZero():
	case early:
		r.dueAt = now.Add(recheckAfter)
	default:
		r.dueAt = now
	}
}

// recheckChanges makes the recheck if it is due. The watch has received all changes up to
// revision to. Only a router that reads the store for others does so, which bounds the calls of
// large fleets.
func (s *watchSession) recheckChanges(ctx context.Context, to uint64) {
	check := &s.recheck
	if clock.Now().Before(check.dueAt) {
		return
	}
	check.dueAt = time.Time{}
	if check.after >= to || !s.readsForOthers() {
		return
	}
	changes, err := s.changes(ctx, check.after, recheckHold)
	switch {
	case errors.Is(err, ErrHistoryGone):
		s.recheckForgotten(ctx, to)
	case err == nil && !check.deferred && changes.StoreRevision > to && s.hasNewer(&changes):
		// The watch goes first, as it can bound the version's age and a recheck can't. Once
		// only, since other writes continue.
		check.deferred, check.dueAt = true, clock.Now()
	case err == nil && changes.Partial:
		// The rest follows at once.
		check.forgottenSince, check.dueAt = time.Time{}, clock.Now()
		s.applyRechecked(ctx, check.after, &changes)
		check.after = changes.StoreRevision
		check.next = max(check.next, check.after)
	case err != nil:
		check.dueAt = clock.Now().Add(recheckAfter)
	default:
		check.forgottenSince, check.deferred = time.Time{}, false
		s.applyRechecked(ctx, check.after, &changes)
		check.after, check.next = check.next, to
	}
}

// hasNewer reports whether changes contain a version newer than the newest known one.
func (s *watchSession) hasNewer(changes *Changes) bool {
	models := s.replica.holder.View().Models
	return slices.ContainsFunc(changes.Published, func(published PublishedWeights) bool {
		return published.Version > models[published.Model].Version
	})
}

// recheckForgotten searches for the oldest changes that the store still keeps, once when it has
// forgotten the requested ones and again before these are given up. A search without an answer
// is retried each time, since large answers may be slow and what is missed stays unknown.
func (s *watchSession) recheckForgotten(ctx context.Context, to uint64) {
	check := &s.recheck
	check.dueAt = clock.Now().Add(recheckAfter)
	if check.forgottenSince.IsZero() {
		check.forgottenSince, check.searched = clock.Now(), false
	}
	last := clock.Since(check.forgottenSince) >= recheckWindow
	if !check.searched || last {
		check.searched = s.applyOldestKept(ctx, check.after, to)
	}
	if last {
		log.WithFields(log.Fields{"from": check.after, "to": to}).Warn("namings_given_up")
		*check = recheck{after: to, next: to}
	}
}

// applyOldestKept finds, by binary search between two revisions, the oldest one after which the
// store still has all changes, and applies these. It reports whether all requests were answered.
func (s *watchSession) applyOldestKept(ctx context.Context, forgotten, known uint64) bool {
	if store.Epoch(forgotten) != store.Epoch(known) {
		// A restored store has no changes from before the restore.
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
			s.applyRechecked(ctx, middle, &changes)
			known = middle
		}
	}
	return true
}

// applyRechecked applies changes that the watch received or should have received; when an omitted
// version was published is unknown. All publications up to revision after are known.
func (s *watchSession) applyRechecked(ctx context.Context, after uint64, changes *Changes) {
	if s.applyPublished(ctx, after, clock.Now(), 0, false, changes) {
		s.replica.advanceWatch(s.replica.watchedUntil(), true)
	}
}
