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

// The first read of the naming rows by a router that starts gets no answer, and the history
// is gone: the rows are read again at the begin of the watch.
func TestNamingRowsAreTakenInThoughTheFirstReadFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.name(3, 2)
		time.Sleep(time.Second)
		z.kill("a")
		time.Sleep(time.Minute)
		z.store.forget(z.store.revision())
		lists := &atomic.Int32{}
		lists.Store(1)
		z.namingTable = &refusingTable{fakeStore: z.store, noList: namingPrefix, failLists: lists}
		started := z.start(t.Context(), "b")
		time.Sleep(time.Minute)
		is.Equal(started.newest().Version, 3)
	})
}

// A router is cut off while others see and keep a version; then those end, and the
// history is gone. It reads the store again: the naming row tells the version.
func TestARouterThatWasCutOffFindsTheNamingRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a-1")
		time.Sleep(20 * time.Millisecond)
		second := z.start(t.Context(), "b-2")
		time.Sleep(3 * time.Second)
		z.mu.Lock()
		z.partitioned = func(a, b ident.Zone) bool { return a != b }
		z.routers["b-2"].cutOff = true
		z.mu.Unlock()
		time.Sleep(5 * time.Second)
		z.store.name(3, 2)
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

// Two models. The row of one model's naming cannot be written until its router ends; the
// row of the other's must name no revision beyond it. The history is whole.
func TestAKeptRevisionClaimsOnlyWhatIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.nameOf(model, 2)
		z.store.nameOf(otherModel, 2)
		z.namingTable = &refusingTable{fakeStore: z.store, noWrite: namingPrefix + string(otherModel)}
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.nameOf(otherModel, 3, 2)
		time.Sleep(500 * time.Millisecond)
		z.store.nameOf(model, 3)
		time.Sleep(500 * time.Millisecond)
		z.kill("a")
		z.namingTable = z.store
		started := z.start(t.Context(), "b")
		time.Sleep(time.Minute)
		is.Equal(started.newestOf(model), 3)
		is.Equal(started.newestOf(otherModel), 3)
	})
}

// Two models, both kept. A router that starts reads the rows of one; the read of the other's
// gets no answer. The history is whole.
func TestAReadThatFailsDoesNotHideTheOtherModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.nameOf(model, 2)
		z.store.nameOf(otherModel, 2)
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.nameOf(otherModel, 3, 2)
		time.Sleep(500 * time.Millisecond)
		z.store.nameOf(model, 3)
		time.Sleep(500 * time.Millisecond)
		z.kill("a")
		lists := &atomic.Int32{}
		lists.Store(1)
		z.namingTable = &refusingTable{fakeStore: z.store, noList: namingPrefix + string(otherModel), failLists: lists}
		started := z.start(t.Context(), "b")
		time.Sleep(time.Minute)
		is.Equal(started.newestOf(model), 3)
		is.Equal(started.newestOf(otherModel), 3)
	})
}

// The store keeps all but its oldest changes; the version was named and written over in
// the older half of what it keeps.
func TestNoKeptChangeIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.name(1)
		z.store.forget(z.store.revision())
		for range 100 {
			z.store.name(1)
		}
		z.store.name(3, 2)
		for range 900 {
			z.store.name(2)
		}
		started := z.start(t.Context(), "a")
		time.Sleep(10 * time.Second)
		is.Equal(started.newest().Version, 3)
	})
}

// The store is down for 10 s, and a version is named right after it is back. No write is
// carried out during the outage: the version must not count as old as that, or all engines on
// older weights get no work from that moment on.
func TestAVersionNamedAfterAnOutageIsNotExpiredAtOnce(t *testing.T) {
	for offset := range 10 {
		for _, versions := range [][]int{{3}, {3, 2}} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone()
				z.store.name(2)
				first := z.start(t.Context(), "a")
				time.Sleep(3 * time.Second)
				z.store.change(func() { z.store.down = true })
				time.Sleep(10*time.Second + time.Duration(offset)*11*time.Millisecond)
				z.store.change(func() { z.store.down = false })
				z.store.name(versions...)
				namedAt := time.Now()
				time.Sleep(3 * time.Second)
				is.Equal(first.newest().Version, 3)
				is.True(namedAt.Sub(first.newest().SeenAt) <= time.Second)
			})
		}
	}
}

// Many routers read the store themselves when it fails: it is not watched more often.
func TestFailingWatchesAreNoMoreThanReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.partitioned = func(a, b ident.Zone) bool { return a != b }
		z.store.name(2)
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

// Writes are refused for long, and the watch begins anew a few times meanwhile.
func TestWritersOfNamingsDoNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		commits := &atomic.Int32{}
		z.namingTable = &countingTable{refusingTable{fakeStore: z.store, noWrite: namingPrefix}, commits}
		running := z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		for version := range 16 {
			z.store.name(version + 3)
			time.Sleep(200 * time.Millisecond)
		}
		running.follower.recall(t.Context(), time.Now(), time.Since(z.store.started))
		time.Sleep(10 * time.Second)
		commits.Store(0)
		time.Sleep(10 * time.Second)
		before := commits.Load()
		// Stints of watching end and begin, as when this router is the first at times only.
		for range 10 {
			running.follower.recall(t.Context(), time.Now(), time.Since(z.store.started))
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		commits.Store(0)
		time.Sleep(10 * time.Second)
		is.True(commits.Load() <= before+17) // one for each row, in another phase
	})
}

// The store answers each watch at once, with nothing new (it does not hold answers back,
// or tells no revision). Each call is paid for.
func TestWatchesThatAreNotHeldBackAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.source = &hastyAnswers{running}
		}
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.watches()
		time.Sleep(10 * time.Second)
		is.True(z.watches() <= 60)
	})
}

// The watching router is frozen: it answers no pull, and a version whose row stands is
// named meanwhile.
func TestAVersionNamedWhileTheWatcherIsFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a-1")
		time.Sleep(20 * time.Millisecond)
		second := z.start(t.Context(), "b-1")
		third := z.start(t.Context(), "c-2")
		time.Sleep(3 * time.Second)
		z.mu.Lock()
		z.routers["a-1"].stop() // no loop runs, yet it is not known to be dead
		z.routers["a-1"].cutOff = true
		z.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		z.store.name(3)
		namedAt := time.Now()
		time.Sleep(6 * time.Second)
		for _, router := range []*zoneRouter{second, third} {
			naming := router.newest()
			is.Equal(naming.Version, 3)
			is.True(!naming.SeenAt.After(namedAt.Add(1800 * time.Millisecond)))
		}
	})
}

// The store refuses the watch of one router only, and takes all its other calls.
func TestAWatchThatIsRefusedCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		refuse := &atomic.Bool{}
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.source = &refusedWatch{running, refuse}
		}
		first := z.start(t.Context(), "a")
		time.Sleep(100 * time.Millisecond)
		second := z.start(t.Context(), "b")
		time.Sleep(3 * time.Second)
		refuse.Store(true)
		time.Sleep(watchHold + time.Second) // the question under way ends
		z.store.name(3, 2)
		time.Sleep(5 * time.Second)
		is.Equal(first.newest().Version, 2)
		refuse.Store(false)
		time.Sleep(maxWatchPause + 100*time.Millisecond)
		is.Equal(first.newest().Version, 3)
		is.Equal(second.newest().Version, 3)
	})
}

// The store says for a second that it has forgotten what was changed, and tells it again
// afterwards. Evidence: a router that started later, from an older revision, was told a
// version that the watch had passed over 17 s before.
func TestAHistoryThatComesBackIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		learnsAfterAFault(t, func(running *zoneRouter, at *atomic.Bool) Source { return &goneAtTimes{running, at} }, time.Minute)
	})
}

// A store that is about to drop its history leaves changes out for a second.
func TestChangesThatWereLeftOutAreAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		learnsAfterAFault(t, func(running *zoneRouter, at *atomic.Bool) Source { return &deafForAWhile{running, at} }, 10*time.Second)
	})
}

// All routers end, a version is named and written over, and the first one that starts asks
// for the changes since the newest naming of which there is a row.
func TestAStartAsksForTheChangesSinceTheLastNamingThatWasKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.name(3)
		time.Sleep(time.Second)
		z.kill("a")
		z.store.name(4, 3)
		namedAt := time.Now()
		z.store.forget(1) // a question from the begin would be refused
		time.Sleep(5 * time.Second)
		z.watches()
		started := z.start(t.Context(), "b")
		time.Sleep(500 * time.Millisecond)
		is.Equal(started.newest().Version, 4)
		// Nobody saw when it was named, but the mark tells up to when it was not.
		is.True(!started.newest().SeenAtStart)
		is.True(started.newest().SeenAt.Sub(namedAt) <= watchTolerance)
		is.True(namedAt.Sub(started.newest().SeenAt) <= 2*markInterval)
		is.Equal(z.watches(), 3) // with the second question about what was told
	})
}

// A version whose age is not known is kept, but not as one that was just named.
func TestAnUnknownAgeStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
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
