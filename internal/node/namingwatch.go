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
	// leastHold keeps the questions apart that are held back for a shorter time.
	leastHold = 200 * time.Millisecond
	// recallInterval is the least time between two reads of the naming rows: they are read
	// when the watch begins, which may be often while peers come and go.
	recallInterval = 10 * time.Second
	// maxWatchPause bounds the pause after a question that failed, which doubles each time.
	maxWatchPause = time.Second
	// leastPaused is by how much a question that ends late shows that the process was paused.
	// Timers that fire late on a busy machine are off by less.
	leastPaused = time.Second
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

// watched is up to where all namings are known.
type watched struct {
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
func (w watched) age(answeredAt, asked time.Duration) (age time.Duration, known bool) {
	if w.storeTime == 0 || answeredAt == 0 {
		return 0, false
	}
	return max(answeredAt-w.storeTime-asked-watchTolerance, 0), true
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
		if f.watches() {
			f.watchWhileReading(ctx)
			continue
		}
		wait.For(ctx, watchPause)
	}
}

// watches reports whether this router watches the changes of the store: the one that reads
// it for all does, and any that no peer supplies.
func (f *follower) watches() bool {
	return f.replica.knows() && (f.chain.reads() || f.replica.ownOrigin())
}

// watchWhileReading watches for as long as this router is to.
func (f *follower) watchWhileReading(ctx context.Context) {
	session := &namingSession{
		follower: f, askingSince: clock.Now(), pause: watchPause, recheck: newRecheck(clock.Now(), f.replica.watchedTo().revision),
	}
	for ctx.Err() == nil && f.watches() {
		session.watch(ctx)
	}
}

// namingSession is a time for which a router watches without a break.
type namingSession struct {
	*follower
	// askingSince is when the question began that is not answered yet; one that failed is
	// asked again.
	askingSince time.Time
	// pause follows the next question that fails.
	pause time.Duration
	// recalled says that the rows of namings were read in this session.
	recalled bool
	recheck  recheck
}

// watch asks once for the changes after what is known.
func (s *namingSession) watch(ctx context.Context) {
	from, hold, askedAt := s.replica.watchedTo(), s.recheck.hold(clock.Now()), clock.Now()
	changes, err := s.changes(ctx, from.revision, hold)
	if err != nil {
		s.failed(ctx, err, clock.Since(askedAt)-hold-s.config.ReadTimeout)
		return
	}
	took, toldAt := clock.Since(askedAt), s.replica.toldAt(askedAt, changes.StoreTime)
	news := s.takeChanges(ctx, from, toldAt, clock.Since(s.askingSince), &changes)
	s.onWatched(watchResults[news])
	if !s.recalled && clock.Since(s.recalledAt) >= recallInterval {
		s.recalled = s.recall(ctx, toldAt, changes.StoreTime)
		s.recalledAt = clock.Now()
		s.notRecalled.Store(!s.recalled)
	}
	s.recheck.answered(clock.Now(), took < hold)
	s.checkAgain(ctx, changes.StoreRevision)
	if !news && took < leastHold {
		// The store does not hold its answers back.
		wait.For(ctx, leastHold-took)
	}
	s.askingSince, s.pause = clock.Now(), watchPause
}

// changes asks for the changes after a revision.
func (f *follower) changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	bounded, cancel := context.WithTimeout(ctx, hold+f.config.ReadTimeout)
	defer cancel()
	return f.source.Changes(bounded, after, hold)
}

// failed pauses after a question without an answer. Changes that the store has forgotten, or
// that are too many, are passed over by the watch, but asked for again. late is by how much
// the question took longer than it may.
func (s *namingSession) failed(ctx context.Context, err error, late time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if late > leastPaused {
		// The process was paused: the answer may have been given, and lost, long before, so
		// that nobody asked since then as far as is known.
		s.askingSince = clock.Now()
	}
	if !errors.Is(err, ErrHistoryGone) {
		s.onWatched(watchFailed)
		wait.For(ctx, s.pause)
		s.pause = min(2*s.pause, maxWatchPause)
		return
	}
	s.onWatched(watchGone)
	from, to := s.replica.passForgotten()
	s.recalled, s.recheck.dueAt = false, clock.Now()
	log.WithFields(log.Fields{"from": from, "to": to, "cause": err.Error()}).Info("namings_forgotten")
	wait.For(ctx, watchPause)
}

// takeChanges takes in what a watch told at a moment that began where all was known, and was
// asked for some time. It reports whether there was news.
func (f *follower) takeChanges(ctx context.Context, from watched, toldAt time.Time, asked time.Duration, changes *Changes) bool {
	// A version counts as old as it may be, so that no request begins on older weights for
	// longer than it may.
	age, known := from.age(changes.StoreTime, asked)
	news := f.takeNamed(ctx, from.revision, toldAt, age, known, changes)
	f.replica.watchedUpTo(watched{revision: changes.StoreRevision, storeTime: changes.StoreTime}, news)
	return news
}

// takeNamed takes in versions that were named after a revision, as long before they were told
// as age if that is known, and reports whether any is news.
func (f *follower) takeNamed(
	ctx context.Context, after uint64, toldAt time.Time, age time.Duration, known bool, changes *Changes,
) bool {
	naming := catalog.Publication{SeenAt: toldAt.Add(-age), SeenAtStart: !known}
	row := publicationRow{FirstSeen: changes.StoreTime - age, Watched: after, Met: naming.SeenAtStart}
	news := false
	for _, named := range changes.Published {
		naming.Version = named.Version
		if !f.replica.holder.Published(named.Model, naming) {
			continue
		}
		news = true
		log.WithFields(log.Fields{
			"model": named.Model, "version": named.Version, "met": naming.SeenAtStart, "age_ms": clock.Since(naming.SeenAt).Milliseconds(),
		}).Info("version_named")
		f.publications.keep(ctx, named.Model, named.Version, row)
	}
	return news
}

// recall takes in the namings that other routers kept, keeps those known here of which there
// is no row, and reports whether the rows could be read: a router that watched before may
// have ended before it kept what it saw, or this one may have been apart when it did.
// storeTime is the store's time at the moment localTime here.
func (f *follower) recall(ctx context.Context, localTime time.Time, storeTime time.Duration) bool {
	for model, known := range f.replica.holder.View().Models {
		found, err := f.publications.find(ctx, model, storeTime, localTime)
		if err != nil {
			return false
		}
		f.takeKept(model, &found)
		for _, naming := range found.lacks(known.Publications) {
			f.publications.keep(ctx, model, naming.Version, publicationRow{
				FirstSeen: storeTime - localTime.Sub(naming.SeenAt), Met: naming.SeenAtStart,
			})
		}
	}
	return true
}

// takeKept takes in what the rows of a model's versions tell.
func (f *follower) takeKept(model ident.Model, found *kept) {
	for _, naming := range found.namings {
		if f.replica.holder.Published(model, naming) {
			log.WithFields(log.Fields{
				"model": model, "version": naming.Version, "age_ms": clock.Since(naming.SeenAt).Milliseconds(),
			}).Info("version_recalled")
		}
	}
}
