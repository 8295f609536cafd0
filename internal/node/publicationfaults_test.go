package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// If a starting router's first read of the publication rows fails and the history is gone, the
// watch must read the rows again.
func TestPublicationRowsAreReadAgainAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.publish(3, 2)
		time.Sleep(time.Second)
		z.kill("a")
		time.Sleep(time.Minute)
		z.store.forget(z.store.revision())
		lists := &atomic.Int32{}
		lists.Store(1)
		z.publicationTable = &refusingTable{fakeStore: z.store, noList: publicationPrefix, failLists: lists}
		started := z.start(t.Context(), "b")
		time.Sleep(time.Minute)
		is.Equal(started.newest().Version, 3)
	})
}

// A router that was cut off while others saw and saved a version must find it by its row when
// those have ended and the history is gone.
func TestReconnectedRouterReadsPublicationRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a-1")
		time.Sleep(20 * time.Millisecond)
		second := z.start(t.Context(), "b-2")
		time.Sleep(3 * time.Second)
		z.mu.Lock()
		z.partitioned = func(a, b ident.Zone) bool { return a != b }
		z.routers["b-2"].cutOff = true
		z.mu.Unlock()
		time.Sleep(5 * time.Second)
		z.store.publish(3, 2)
		time.Sleep(5 * time.Second)
		z.store.forget(z.store.revision())
		z.kill("a-1")
		z.mu.Lock()
		z.partitioned = nil
		z.routers["b-2"].cutOff = false
		z.mu.Unlock()
		time.Sleep(time.Minute)
		is.Equal(second.newest().Version, 3)
	})
}

// If the row of one model's version was never written, the row of another model must not
// claim to be complete beyond it.
func TestStoredRevisionCoversOnlyStoredPublications(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.publishOf(model, 2)
		z.store.publishOf(otherModel, 2)
		z.publicationTable = &refusingTable{fakeStore: z.store, noWrite: publicationPrefix + string(otherModel)}
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.publishOf(otherModel, 3, 2)
		time.Sleep(500 * time.Millisecond)
		z.store.publishOf(model, 3)
		time.Sleep(500 * time.Millisecond)
		z.kill("a")
		z.publicationTable = z.store
		started := z.start(t.Context(), "b")
		time.Sleep(time.Minute)
		is.Equal(started.newestOf(model), 3)
		is.Equal(started.newestOf(otherModel), 3)
	})
}

// If a starting router reads the rows of one of two models only, it must not skip changes of
// the other.
func TestFailedReadDoesNotHideOtherModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.publishOf(model, 2)
		z.store.publishOf(otherModel, 2)
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.publishOf(otherModel, 3, 2)
		time.Sleep(500 * time.Millisecond)
		z.store.publishOf(model, 3)
		time.Sleep(500 * time.Millisecond)
		z.kill("a")
		lists := &atomic.Int32{}
		lists.Store(1)
		z.publicationTable = &refusingTable{fakeStore: z.store, noList: publicationPrefix + string(otherModel), failLists: lists}
		started := z.start(t.Context(), "b")
		time.Sleep(time.Minute)
		is.Equal(started.newestOf(model), 3)
		is.Equal(started.newestOf(otherModel), 3)
	})
}

// A version that was published and overwritten in the older half of the changes that the store
// keeps must be found.
func TestSearchFindsOldestKeptChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.publish(1)
		z.store.forget(z.store.revision())
		for range 100 {
			z.store.publish(1)
		}
		z.store.publish(3, 2)
		for range 900 {
			z.store.publish(2)
		}
		started := z.start(t.Context(), "a")
		time.Sleep(10 * time.Second)
		is.Equal(started.newest().Version, 3)
	})
}

// A version published right after an outage of the store must not count as old as the outage, or
// all engines on older weights would lose their work at once.
func TestVersionPublishedAfterOutageIsNotExpired(t *testing.T) {
	for offset := range 10 {
		for _, versions := range [][]int{{3}, {3, 2}} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone()
				z.store.publish(2)
				first := z.start(t.Context(), "a")
				time.Sleep(3 * time.Second)
				z.store.change(func() { z.store.down = true })
				time.Sleep(10*time.Second + time.Duration(offset)*11*time.Millisecond)
				z.store.change(func() { z.store.down = false })
				z.store.publish(versions...)
				publishedAt := time.Now()
				time.Sleep(3 * time.Second)
				is.Equal(first.newest().Version, 3)
				is.True(publishedAt.Sub(first.newest().SeenAt) <= time.Second)
			})
		}
	}
}

// When the store fails and many routers read it themselves, watches must not outnumber reads.
func TestFailedWatchesDoNotExceedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.partitioned = func(a, b ident.Zone) bool { return a != b }
		z.store.publish(2)
		for _, node := range []ident.Node{"a-1", "b-2", "c-3", "d-4", "e-5", "f-6", "g-7", "h-8"} {
			z.start(t.Context(), node)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		z.store.change(func() { z.store.down = true })
		time.Sleep(5 * time.Second)
		z.reads()
		z.watches()
		time.Sleep(10 * time.Second)
		reads, _ := z.reads()
		is.True(z.watches() <= reads)
	})
}

// Restarts of the watch while writes fail must not add writers of the same rows.
func TestPublicationWritersDoNotAccumulate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		commits := &atomic.Int32{}
		z.publicationTable = &countingTable{refusingTable{fakeStore: z.store, noWrite: publicationPrefix}, commits}
		running := z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		for version := range 16 {
			z.store.publish(version + 3)
			time.Sleep(200 * time.Millisecond)
		}
		running.follower.loadRows(t.Context(), time.Now(), time.Since(z.store.started))
		time.Sleep(10 * time.Second)
		commits.Store(0)
		time.Sleep(10 * time.Second)
		before := commits.Load()
		// Watch sessions end and start, as when this router is the first at times only.
		for range 10 {
			running.follower.loadRows(t.Context(), time.Now(), time.Since(z.store.started))
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		commits.Store(0)
		time.Sleep(10 * time.Second)
		is.True(commits.Load() <= before+17) // one more for each row, by the phase of its retries
	})
}

// A store that answers each watch at once without changes must not be called in a tight loop.
func TestImmediateWatchAnswersAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.source = &immediateAnswers{running}
		}
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.watches()
		time.Sleep(10 * time.Second)
		is.True(z.watches() <= 60)
	})
}

// A version published while the watching router is frozen must reach the others with about its
// true age.
func TestVersionPublishedWhileWatcherIsFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a-1")
		time.Sleep(20 * time.Millisecond)
		second := z.start(t.Context(), "b-1")
		third := z.start(t.Context(), "c-2")
		time.Sleep(3 * time.Second)
		z.mu.Lock()
		z.routers["a-1"].stop() // no loop runs, but peers don't see it as dead
		z.routers["a-1"].cutOff = true
		z.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		z.store.publish(3)
		publishedAt := time.Now()
		time.Sleep(6 * time.Second)
		for _, router := range []*zoneRouter{second, third} {
			publication := router.newest()
			is.Equal(publication.Version, 3)
			is.True(!publication.SeenAt.After(publishedAt.Add(1800 * time.Millisecond)))
		}
	})
}

// A router whose watch alone was refused must find the versions of that time afterwards.
func TestRefusedWatchCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		refuse := &atomic.Bool{}
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.source = &refusedWatch{running, refuse}
		}
		first := z.start(t.Context(), "a")
		time.Sleep(100 * time.Millisecond)
		second := z.start(t.Context(), "b")
		time.Sleep(3 * time.Second)
		refuse.Store(true)
		time.Sleep(watchHold + time.Second) // the pending request ends
		z.store.publish(3, 2)
		time.Sleep(5 * time.Second)
		is.Equal(first.newest().Version, 2)
		refuse.Store(false)
		time.Sleep(maxWatchPause + 100*time.Millisecond)
		is.Equal(first.newest().Version, 3)
		is.Equal(second.newest().Version, 3)
	})
}

// A store may report changes as forgotten for a second and return them afterwards.
func TestHistoryThatReturnsIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requireVersionAfterFault(t, func(running *zoneRouter, at *atomic.Bool) Source { return &intermittentHistory{running, at} }, time.Minute)
	})
}

// A store that is about to drop its history omits changes for a second.
func TestOmittedChangesAreRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requireVersionAfterFault(t, func(running *zoneRouter, at *atomic.Bool) Source { return &lossyChanges{running, at} }, 10*time.Second)
	})
}

// A version that was published and overwritten while no router ran must be found by the next one
// that starts, from the changes since the newest publication row.
func TestStartRequestsChangesSinceLastStoredPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.publish(3)
		time.Sleep(time.Second)
		z.kill("a")
		z.store.publish(4, 3)
		publishedAt := time.Now()
		z.store.forget(1) // a request for all changes would be refused
		time.Sleep(5 * time.Second)
		z.watches()
		started := z.start(t.Context(), "b")
		time.Sleep(500 * time.Millisecond)
		is.Equal(started.newest().Version, 4)
		// The mark bounds its age.
		is.True(!started.newest().SeenAtStart)
		is.True(started.newest().SeenAt.Sub(publishedAt) <= watchTolerance)
		is.True(publishedAt.Sub(started.newest().SeenAt) <= 2*markInterval)
		is.Equal(z.watches(), 3) // with the recheck
	})
}

// A version of unknown age must be saved as such, not as one published just now.
func TestUnknownVersionAgeStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.kill("a")
		time.Sleep(time.Minute)
		started := z.start(t.Context(), "b")
		time.Sleep(time.Second)
		is.Equal(started.newest().Version, 2)
		is.True(started.newest().SeenAtStart)
		is.True(time.Since(started.newest().SeenAt) >= time.Minute) // at least as old
	})
}
