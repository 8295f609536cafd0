package node

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// watchHold is how long the store holds back an answer that tells no change. It bounds
	// the time for which a connection that fell silent goes unnoticed; each costs one call.
	watchHold = 2 * time.Second
	// watchPause is the time between two looks whether this router is to watch.
	watchPause = 200 * time.Millisecond
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
// store, which came so long after the question, and reports whether that is known. An answer
// that was held back comes at the moment of the change, so that only the time counts during
// which nobody asked.
func (w watched) age(answeredAt, took time.Duration) (age time.Duration, known bool) {
	if w.storeTime == 0 || answeredAt == 0 {
		return 0, false
	}
	return max(answeredAt-w.storeTime-took, 0), true
}

// watchNamings takes in every version of weights that is named, in the order of the writes,
// while this router reads the store itself, until ctx ends.
//
// The rows do not tell which version is the newest: a write that the store did not answer
// may be carried out seconds later, over a newer one, which then stood in its row for an
// instant between two reads. Of plays of two days with such writes, 7 of 72 ended with
// engines on older weights for good without the watch, and 0 of 48 with it.
func (f *follower) watchNamings(ctx context.Context) {
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
	kept := false
	for ctx.Err() == nil && f.watches() {
		from := f.replica.watchedTo()
		askedAt := time.Now()
		changes, err := f.changes(ctx, from.revision)
		if err != nil {
			f.watchFailed(ctx, err)
			continue
		}
		f.takeChanges(ctx, from, time.Since(askedAt), &changes)
		if !kept {
			// A router that watched before may have ended before it kept what it saw.
			kept = f.keepMissing(ctx, time.Now(), changes.StoreTime)
		}
	}
}

// changes asks for the changes after a revision.
func (f *follower) changes(ctx context.Context, after uint64) (Changes, error) {
	bounded, cancel := context.WithTimeout(ctx, watchHold+f.config.ReadTimeout)
	defer cancel()
	return f.source.Changes(bounded, after, watchHold)
}

// watchFailed pauses after a watch without an answer, or goes on at changes that the store
// still keeps.
func (f *follower) watchFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !errors.Is(err, ErrHistoryGone) {
		f.watchResult(watchFailed)
		wait.For(ctx, f.config.RetryPause)
		return
	}
	f.watchResult(watchGone)
	from, to := f.replica.skipForgotten()
	if to == from {
		// The next read of the rows tells a newer revision.
		wait.For(ctx, watchPause)
		return
	}
	log.WithFields(log.Fields{"from": from, "to": to}).Info("namings_forgotten")
}

// takeChanges takes in what a watch told that began at a revision and took some time.
func (f *follower) takeChanges(ctx context.Context, from watched, took time.Duration, changes *Changes) {
	// A version counts as old as it may be, so that no request begins on older weights for
	// longer than it may.
	age, known := from.age(changes.StoreTime, took)
	naming := catalog.Naming{SeenAt: time.Now().Add(-age), Met: !known}
	row := namingRow{FirstSeen: changes.StoreTime - age, Watched: from.revision, Met: naming.Met}
	news := false
	for _, named := range changes.Named {
		naming.Version = named.Version
		if !f.replica.holder.Named(named.Model, naming) {
			continue
		}
		news = true
		log.WithFields(log.Fields{
			"model": named.Model, "version": named.Version, "met": naming.Met, "age_ms": age.Milliseconds(),
		}).Info("version_named")
		go f.namings.keep(ctx, named.Model, named.Version, row)
	}
	f.replica.watchedUpTo(watched{revision: changes.StoreRevision, storeTime: changes.StoreTime}, news)
	f.watchResult(watchResults[news])
}

// keepMissing keeps the namings known here of which there is no row, and reports whether
// their rows could be read. storeTime is the store's time at the moment localTime here.
func (f *follower) keepMissing(ctx context.Context, localTime time.Time, storeTime time.Duration) bool {
	for model, known := range f.replica.holder.View().Models {
		found, err := f.namings.find(ctx, model, storeTime, localTime)
		if err != nil {
			return false
		}
		for _, naming := range found.lacks(known.Named) {
			go f.namings.keep(ctx, model, naming.Version, namingRow{
				FirstSeen: storeTime - localTime.Sub(naming.SeenAt), Met: naming.Met,
			})
		}
	}
	return true
}
