package node

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// watchHold is how long the store delays an answer without changes. Keep-alive probes
	// detect a connection that dies during that time.
	watchHold = 10 * time.Second
	// minWatchHold is the least time between two requests of the watch.
	minWatchHold = 200 * time.Millisecond
	// rowsLoadInterval is the least time between two reads of the publication rows: watches may
	// start often while peers come and go.
	rowsLoadInterval = 10 * time.Second
	// maxWatchPause bounds the pause after a failed request, which doubles each time.
	maxWatchPause = time.Second
	// minProcessPause is how late a request must end, or a tick must come, to show that the process
	// was paused; late timers of a busy machine are off by less.
	minProcessPause = time.Second
	// maxChangesTime bounds how long an answer with changes may take to arrive.
	maxChangesTime = 10 * time.Second
	// watchPause is the time between two checks whether this router must watch.
	watchPause = 200 * time.Millisecond
	// watchTolerance is the gap in the watch that does not make a version count as older: about
	// the time in which another router takes over the watch. Without it engines on older
	// weights would lose work too early.
	watchTolerance = 2500 * time.Millisecond
)

// Results of watches, as metric labels.
const (
	watchNewVersion = "news"
	watchQuiet      = "quiet"
	watchGone       = "history_gone"
	watchPartial    = "partial"
	watchFailed     = "failed"
)

// watchResultOf returns the result of an answer, given whether it had a new version.
func watchResultOf(anyNew bool, changes *Changes) string {
	switch {
	case changes.Partial:
		return watchPartial
	case anyNew:
		return watchNewVersion
	default:
		return watchQuiet
	}
}

// watchPosition is the point up to which all publications are known.
type watchPosition struct {
	// revision is the store's revision, 0 if unknown.
	revision uint64
	// storeTime is the store's own time, 0 if unknown.
	storeTime time.Duration
}

// age returns the greatest age that a version in an answer of the store can have, and whether
// that is known. answeredAt is the store's own time of the answer, requestTime how long the
// request was pending; that time does not count, since a delayed answer comes with the change
// and a store that answers no requests accepts no writes. If the store refused only this router,
// the age is too low by that time.
func (w watchPosition) age(answeredAt, requestTime time.Duration) (age time.Duration, known bool) {
	if w.storeTime == 0 || answeredAt == 0 {
		return 0, false
	}
	return max(answeredAt-w.storeTime-requestTime-watchTolerance, 0), true
}

// watchPublications applies every published version in the order of the writes, while this router
// reads the store itself, until ctx ends.
//
// Reading the rows is not enough: a write that the store did not answer may be executed seconds
// later and overwrite a newer version between two reads.
func (f *follower) watchPublications(ctx context.Context) {
	for ctx.Err() == nil {
		if f.watchesStore() {
			f.watchStore(ctx)
			continue
		}
		wait.For(ctx, watchPause)
	}
}

// watchesStore reports whether this router must watch the store: it reads the store for all, or
// no peer supplies it.
func (f *follower) watchesStore() bool {
	return f.replica.initialized() && (f.chain.reads() || f.replica.ownOrigin())
}

// watchStore runs a session for as long as this router must watch.
func (f *follower) watchStore(ctx context.Context) {
	session := &watchSession{
		follower: f, pendingSince: clock.Now(), pause: watchPause, recheck: newRecheck(clock.Now(), f.replica.watchedUntil().revision),
	}
	for ctx.Err() == nil && f.watchesStore() {
		session.watch(ctx)
	}
}

// watchSession is an uninterrupted period of watching.
type watchSession struct {
	*follower
	// pendingSince is when the first request since the last answer was sent.
	pendingSince time.Time
	// pause follows the next failed request.
	pause time.Duration
	// rowsLoaded is whether the publication rows were read in this session.
	rowsLoaded bool
	recheck    recheck
	// newestSought is the revision up to which the newest changes were read ahead of the watch.
	newestSought uint64
}

// watch makes one request for the changes after the watch position.
func (s *watchSession) watch(ctx context.Context) {
	from, hold, askedAt := s.replica.watchedUntil(), s.recheck.hold(clock.Now()), clock.Now()
	changes, err := s.changes(ctx, from.revision, hold)
	if err != nil {
		s.handleFailure(ctx, err, s.pausedDuring(askedAt, hold))
		return
	}
	s.adoptWatched(&changes)
	elapsed, changedAt := clock.Since(askedAt), s.replica.earliestAnswer(askedAt, changes.StoreTime)
	// The time in which the answer arrived is not one in which the store waited for a change.
	anyNew := s.applyChanges(ctx, from, changedAt, clock.Since(s.pendingSince)-changes.ReadFor, &changes)
	s.onWatched(watchResultOf(anyNew, &changes))
	if changes.Partial {
		// The rest is requested at once, before a recheck.
		s.readNewest(ctx, changes.StoreRevision)
		s.pendingSince, s.pause = clock.Now(), watchPause
		return
	}
	if !s.rowsLoaded && clock.Since(s.rowsLoadedAt) >= rowsLoadInterval {
		s.rowsLoaded = s.loadRows(ctx, changedAt, changes.StoreTime)
		s.rowsLoadedAt = clock.Now()
		s.rowsLoadFailed.Store(!s.rowsLoaded)
	}
	s.recheck.schedule(clock.Now(), elapsed < hold)
	s.recheckChanges(ctx, changes.StoreRevision)
	if !anyNew && elapsed < minWatchHold {
		// The store does not delay its answers.
		wait.For(ctx, minWatchHold-elapsed)
	}
	s.pendingSince, s.pause = clock.Now(), watchPause
}

// changes requests the changes after a revision. It waits on while the answer arrives.
func (f *follower) changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	askedAt := clock.Now()
	bounded, cancel := wait.WithSilence(ctx, hold+f.config.ReadTimeout, f.config.ReadTimeout, hold+maxChangesTime)
	defer cancel()
	changes, err := f.source.Changes(bounded, after, hold)
	if changes.Partial || errors.Is(err, ErrAnswerCut) {
		fields := log.Fields{"after": after, "to": changes.StoreRevision, "read_ms": clock.Since(askedAt).Milliseconds()}
		if err != nil {
			fields["cause"] = err.Error()
		}
		log.WithFields(fields).Warn("changes_partly_read")
	}
	return changes, err
}

// pausedDuring reports whether the process was paused during a request: it exceeded its timeout, or ticks
// of the process are missing.
func (s *watchSession) pausedDuring(askedAt time.Time, hold time.Duration) bool {
	now := clock.Now()
	return now.Sub(askedAt)-hold-s.config.ReadTimeout > minProcessPause || s.pauses.pausedSince(askedAt, now)
}

// handleFailure pauses after a failed request. The watch skips changes that the store has
// forgotten, or that are too many; rechecks request them again. paused is whether the process was
// paused during the request.
func (s *watchSession) handleFailure(ctx context.Context, err error, paused bool) {
	if ctx.Err() != nil {
		return
	}
	if paused {
		// The answer may have been lost long ago, and the time since then must not count as requestTime.
		s.pendingSince = clock.Now()
	}
	if !errors.Is(err, ErrHistoryGone) {
		s.onWatched(watchFailed)
		if errors.Is(err, ErrAnswerCut) {
			s.readNewest(ctx, s.replica.watchedUntil().revision)
		}
		wait.For(ctx, s.pause)
		s.pause = min(2*s.pause, maxWatchPause)
		return
	}
	s.onWatched(watchGone)
	from, to := s.replica.skipForgotten()
	s.rowsLoaded, s.recheck.dueAt = false, clock.Now()
	log.WithFields(log.Fields{"from": from, "to": to, "cause": err.Error()}).Info("namings_forgotten")
	wait.For(ctx, watchPause)
}

// applyChanges applies the changes after position from, which the store sent at changedAt at the
// earliest, and reports whether there was a new version. The request was pending for requestTime.
func (f *follower) applyChanges(ctx context.Context, from watchPosition, changedAt time.Time, requestTime time.Duration, changes *Changes) bool {
	// The greatest possible age, so that no request starts on older weights for too long.
	age, known := from.age(changes.StoreTime, requestTime)
	anyNew := f.applyPublished(ctx, from.revision, changedAt, age, known, changes)
	f.replica.advanceWatch(watchPosition{revision: changes.StoreRevision, storeTime: changes.StoreTime}, anyNew)
	return anyNew
}

// applyPublished applies versions that were published after revision after, at changedAt minus
// age if known, and reports whether any is new.
func (f *follower) applyPublished(
	ctx context.Context, after uint64, changedAt time.Time, age time.Duration, known bool, changes *Changes,
) bool {
	publication := catalog.Publication{SeenAt: changedAt.Add(-age), SeenAtStart: !known}
	storeTime := cmp.Or(changes.StoreTime, f.replica.storeTimeAt(clock.Now()))
	row := publicationRow{FirstSeen: max(storeTime-age, 0), CompleteTo: after, SeenAtStart: publication.SeenAtStart}
	anyNew := false
	for _, published := range changes.Published {
		publication.Version = published.Version
		if !f.replica.holder.Published(published.Model, publication) {
			continue
		}
		anyNew = true
		log.WithFields(log.Fields{
			"model": published.Model, "version": published.Version, "met": publication.SeenAtStart, "age_ms": clock.Since(publication.SeenAt).Milliseconds(),
		}).Info("version_named")
		f.publications.save(ctx, published.Model, published.Version, row)
	}
	return anyNew
}

// loadRows applies the stored publications, saves known ones that have no row, and reports
// whether the rows could be read. The former watcher may have ended before it wrote its rows, or
// this router may have been cut off when it did. storeTime is the store's own time at localTime.
func (f *follower) loadRows(ctx context.Context, localTime time.Time, storeTime time.Duration) bool {
	for model, known := range f.replica.holder.View().Models {
		stored, err := f.publications.load(ctx, model, storeTime, localTime)
		if err != nil {
			return false
		}
		f.applyStored(model, &stored)
		for _, publication := range stored.missing(known.Publications) {
			f.publications.save(ctx, model, publication.Version, publicationRow{
				FirstSeen: storeTime - localTime.Sub(publication.SeenAt), SeenAtStart: publication.SeenAtStart,
			})
		}
	}
	return true
}

// applyStored applies the publication rows of a model.
func (f *follower) applyStored(model ident.Model, stored *storedPublications) {
	for _, publication := range stored.publications {
		if f.replica.holder.Published(model, publication) {
			log.WithFields(log.Fields{
				"model": model, "version": publication.Version, "age_ms": clock.Since(publication.SeenAt).Milliseconds(),
			}).Info("version_recalled")
		}
	}
}
