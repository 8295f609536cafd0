package node

import (
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
	// watchHold is how long the store holds back an answer that tells no change; each costs a
	// call. A connection that falls silent meanwhile is found by keep-alive probes. A fleet of
	// 23 routers made 798 calls to the store in a day, with 2 s in place of this 830.
	watchHold = 10 * time.Second
	// minWatchHold keeps the questions apart that are held back for a shorter time.
	minWatchHold = 200 * time.Millisecond
	// rowsLoadInterval is the least time between two reads of the naming rows: they are read
	// when the watch begins, which may be often while peers come and go.
	rowsLoadInterval = 10 * time.Second
	// maxWatchPause bounds the pause after a question that failed, which doubles each time.
	maxWatchPause = time.Second
	// minProcessPause is by how much a question that ends late shows that the process was paused.
	// Timers that fire late on a busy machine are off by less.
	minProcessPause = time.Second
	// watchPause is the time between two looks whether this router is to watch.
	watchPause = 200 * time.Millisecond
	// watchTolerance is the gap in the watch that does not make a version count as older: in
	// about this time another router takes the watch over, or begins to read a store that is
	// away itself. Engines on older weights get no work from an earlier moment on if it
	// counts: without the tolerance the mean worth of six seeds of a day on which the store
	// was away fell from 0.745 to 0.725, with 0.7 s to 0.735.
	watchTolerance = 2500 * time.Millisecond
)

// The results of watches, in metrics.
const (
	watchNews   = "news"
	watchQuiet  = "quiet"
	watchGone   = "history_gone"
	watchFailed = "failed"
)

// watchResults are the results of watches that were answered, by whether they told news.
var watchResults = map[bool]string{true: watchNews, false: watchQuiet}

// watchPosition is up to where all namings are known.
type watchPosition struct {
	// revision is that of the store, 0 if it is not known.
	revision uint64
	// storeTime is the store's own time at which no naming was unknown, 0 if it is not known.
	storeTime time.Duration
}

// age returns how long ago at the most a version was named that is told in an answer of the
// store, after it was asked for so long, and reports whether that is known. An answer that
// was held back comes at the moment of the change, and a store that answers nobody takes no
// writes either, so that only the time counts during which nobody asked. A version that was
// named while the store turned away this router alone counts as younger by that time.
func (w watchPosition) age(answeredAt, requestTime time.Duration) (age time.Duration, known bool) {
	if w.storeTime == 0 || answeredAt == 0 {
		return 0, false
	}
	return max(answeredAt-w.storeTime-requestTime-watchTolerance, 0), true
}

// watchPublications takes in every version of weights that is named, in the order of the writes,
// while this router reads the store itself, until ctx ends.
//
// The rows do not tell which version is the newest: a write that the store did not answer
// may be carried out seconds later, over a newer one, which then stood in its row for an
// instant between two reads. Of plays of two days with such writes, 7 of 72 ended with
// engines on older weights for good without the watch, and 0 of 48 with it.
func (f *follower) watchPublications(ctx context.Context) {
	for ctx.Err() == nil {
		if f.watchesStore() {
			f.watchStore(ctx)
			continue
		}
		wait.For(ctx, watchPause)
	}
}

// watchesStore reports whether this router watches the changes of the store: the one that reads
// it for all does, and any that no peer supplies.
func (f *follower) watchesStore() bool {
	return f.replica.initialized() && (f.chain.reads() || f.replica.ownOrigin())
}

// watchStore watches for as long as this router is to.
func (f *follower) watchStore(ctx context.Context) {
	session := &watchSession{
		follower: f, pendingSince: clock.Now(), pause: watchPause, recheck: newRecheck(clock.Now(), f.replica.watchedUntil().revision),
	}
	for ctx.Err() == nil && f.watchesStore() {
		session.watch(ctx)
	}
}

// watchSession is a time for which a router watches without a break.
type watchSession struct {
	*follower
	// pendingSince is when the question began that is not answered yet; one that failed is
	// asked again.
	pendingSince time.Time
	// pause follows the next question that fails.
	pause time.Duration
	// rowsLoaded says that the rows of namings were read in this session.
	rowsLoaded bool
	recheck    recheck
}

// watch asks once for the changes after what is known.
func (s *watchSession) watch(ctx context.Context) {
	from, hold, askedAt := s.replica.watchedUntil(), s.recheck.hold(clock.Now()), clock.Now()
	changes, err := s.changes(ctx, from.revision, hold)
	if err != nil {
		s.handleFailure(ctx, err, clock.Since(askedAt)-hold-s.config.ReadTimeout)
		return
	}
	elapsed, changedAt := clock.Since(askedAt), s.replica.earliestAnswer(askedAt, changes.StoreTime)
	hasNews := s.applyChanges(ctx, from, changedAt, clock.Since(s.pendingSince), &changes)
	s.onWatched(watchResults[hasNews])
	if !s.rowsLoaded && clock.Since(s.rowsLoadedAt) >= rowsLoadInterval {
		s.rowsLoaded = s.loadRows(ctx, changedAt, changes.StoreTime)
		s.rowsLoadedAt = clock.Now()
		s.rowsLoadFailed.Store(!s.rowsLoaded)
	}
	s.recheck.schedule(clock.Now(), elapsed < hold)
	s.recheckChanges(ctx, changes.StoreRevision)
	if !hasNews && elapsed < minWatchHold {
		// The store does not hold its answers back.
		wait.For(ctx, minWatchHold-elapsed)
	}
	s.pendingSince, s.pause = clock.Now(), watchPause
}

// changes asks for the changes after a revision.
func (f *follower) changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	bounded, cancel := context.WithTimeout(ctx, hold+f.config.ReadTimeout)
	defer cancel()
	return f.source.Changes(bounded, after, hold)
}

// handleFailure pauses after a question without an answer. Changes that the store has forgotten, or
// that are too many, are passed over by the watch, but asked for again. late is by how much
// the question took longer than it may.
func (s *watchSession) handleFailure(ctx context.Context, err error, late time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if late > minProcessPause {
		// The process was paused: the answer may have been given, and lost, long before, so
		// that nobody asked since then as far as is known.
		s.pendingSince = clock.Now()
	}
	if !errors.Is(err, ErrHistoryGone) {
		s.onWatched(watchFailed)
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

// applyChanges takes in what a watch told at a moment that began where all was known, and was
// asked for some time. It reports whether there was news.
func (f *follower) applyChanges(ctx context.Context, from watchPosition, changedAt time.Time, requestTime time.Duration, changes *Changes) bool {
	// A version counts as old as it may be, so that no request begins on older weights for
	// longer than it may.
	age, known := from.age(changes.StoreTime, requestTime)
	hasNews := f.applyPublished(ctx, from.revision, changedAt, age, known, changes)
	f.replica.advanceWatch(watchPosition{revision: changes.StoreRevision, storeTime: changes.StoreTime}, hasNews)
	return hasNews
}

// applyPublished takes in versions that were named after a revision, as long before they were told
// as age if that is known, and reports whether any is news.
func (f *follower) applyPublished(
	ctx context.Context, after uint64, changedAt time.Time, age time.Duration, known bool, changes *Changes,
) bool {
	publication := catalog.Publication{SeenAt: changedAt.Add(-age), SeenAtStart: !known}
	row := publicationRow{FirstSeen: changes.StoreTime - age, CompleteTo: after, SeenAtStart: publication.SeenAtStart}
	hasNews := false
	for _, published := range changes.Published {
		publication.Version = published.Version
		if !f.replica.holder.Published(published.Model, publication) {
			continue
		}
		hasNews = true
		log.WithFields(log.Fields{
			"model": published.Model, "version": published.Version, "met": publication.SeenAtStart, "age_ms": clock.Since(publication.SeenAt).Milliseconds(),
		}).Info("version_named")
		f.publications.save(ctx, published.Model, published.Version, row)
	}
	return hasNews
}

// loadRows takes in the namings that other routers kept, keeps those known here of which there
// is no row, and reports whether the rows could be read: a router that watched before may
// have ended before it kept what it saw, or this one may have been apart when it did.
// storeTime is the store's time at the moment localTime here.
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

// applyStored takes in what the rows of a model's versions tell.
func (f *follower) applyStored(model ident.Model, stored *storedPublications) {
	for _, publication := range stored.publications {
		if f.replica.holder.Published(model, publication) {
			log.WithFields(log.Fields{
				"model": model, "version": publication.Version, "age_ms": clock.Since(publication.SeenAt).Milliseconds(),
			}).Info("version_recalled")
		}
	}
}
