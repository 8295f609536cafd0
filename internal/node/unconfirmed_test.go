package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/catalog"
)

// A configuration that is read and not confirmed must be seen in the log, the metrics and the view.
func TestUnconfirmedReadIsReported(t *testing.T) {
	for _, tt := range []struct {
		name   string
		fault  func(store *lateStore)
		reason catalog.UnconfirmedReason
	}{
		{"no answer", func(store *lateStore) { store.change(func() { store.down = true }) }, catalog.ReadFailed},
		{"unreadable", func(store *lateStore) {
			store.change(func() { store.reading.Revision, store.reading.Body = store.reading.Revision+2, []byte("x") })
		}, catalog.RowUnreadable},
		{"no history", func(store *lateStore) {
			store.fail(errors.New("no answer"))
			store.write(12)
		}, catalog.HistoryNotRead},
		{"forgotten history", func(store *lateStore) {
			store.fail(ErrHistoryGone)
			store.write(9)
		}, catalog.HistoryGone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				warned := warnings(t)
				store := newLateStore()
				store.write(10)
				counts := map[catalog.UnconfirmedReason]int{}
				reader := store.router()
				reader.reads.onRead = func(reason catalog.UnconfirmedReason) { counts[reason]++ }
				is.NoErr(reader.readConfiguration(t.Context()))
				time.Sleep(configurationInterval)
				tt.fault(store)
				_ = reader.readConfiguration(t.Context())
				is.Equal(counts, map[catalog.UnconfirmedReason]int{tt.reason: 1})
				is.Equal(reader.replica.holder.View().Unconfirmed.Reason, tt.reason)
				notConfirmed := 0
				for _, event := range warned() {
					if isNotConfirmed(event) {
						notConfirmed++
					}
				}
				is.Equal(notConfirmed, 1)
			})
		})
	}
}

// A read that proves less than hoped must not leave all routers without a confirmation until the
// next write; nor may a version go back.
func TestAnsweredReadsConfirmAfterBoundedGap(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(store *lateStore)
		// version is the one in force afterwards.
		version uint64
	}{
		{"the row is missing", func(store *lateStore) {
			store.change(func() { store.reading.Revision, store.reading.Body = 0, nil })
		}, 10},
		{"the row is unreadable", func(store *lateStore) {
			store.change(func() { store.reading.Revision, store.reading.Body = store.reading.Revision+2, []byte("x") })
		}, 10},
		{"the row has an earlier revision", func(store *lateStore) {
			store.change(func() { store.reading.Revision-- })
		}, 10},
		{"no history", func(store *lateStore) {
			store.fail(errors.New("no answer"))
			store.write(9)
		}, 10},
		{"no history of a newer one", func(store *lateStore) {
			store.fail(errors.New("no answer"))
			store.write(12)
		}, 12},
		{"a forgotten history", func(store *lateStore) {
			store.fail(ErrHistoryGone)
			store.write(9)
		}, 10},
		{"an unreadable content in the history", func(store *lateStore) {
			store.write(10)
			store.change(func() { store.written[len(store.written)-1].Body = []byte("x") })
			store.write(12)
		}, 12},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newLateStore()
				store.write(10)
				reader := store.started(t)
				time.Sleep(time.Second)
				tt.fault(store)
				var oldest time.Duration
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					oldest = max(oldest, ageAt(reader))
				}
				is.Equal(versionAt(reader), tt.version)
				is.True(oldest <= defaultHistoryWait+3*configurationInterval)
				is.True(ageAt(reader) <= configurationInterval)
				store.change(func() { store.reading.Revision = 100 }) // revisions only rise
				store.write(20)
				time.Sleep(2 * configurationInterval)
				is.Equal(versionAt(reader), uint64(20))
			})
		})
	}
}

// Writes of the row that keep coming must not put the end of the gap off.
func TestGapEndsAmidFurtherWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		store.fail(errors.New("no answer"))
		for version := range uint64(100) {
			store.write(11 + version/2)
			time.Sleep(300 * time.Millisecond)
			is.True(ageAt(reader) <= defaultHistoryWait+3*configurationInterval)
			is.True(versionAt(reader)+2 >= 11+version/2)
		}
	})
}

// A configuration that stands for less than a read interval must be adopted from the feed of
// changes: the next read finds an older one, and the history may be forgotten by then.
func TestConfigurationIsAdoptedFromChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		before := reader.replica.holder.View().ConfirmedAt
		reader.adoptWatched(&Changes{Configurations: []Reading{
			{Revision: 4, Body: []byte("11")}, {Revision: 6, Body: []byte("12")}, {Revision: 8, Body: []byte("x")}, {Revision: 10, Body: []byte("9")},
		}})
		is.Equal(versionAt(reader), uint64(12))
		is.Equal(reader.replica.holder.View().ConfirmedAt, before) // a change confirms nothing
		store.fail(ErrHistoryGone)
		store.write(12, 9)
		time.Sleep(10 * time.Second)
		is.Equal(versionAt(reader), uint64(12))
		is.True(ageAt(reader) <= configurationInterval)
	})
}

// A gap that follows other failures of the store must not outlast the validity of the
// configuration; one after a long outage must wait for the history.
func TestGapAfterOtherFailures(t *testing.T) {
	for _, tt := range []struct {
		name      string
		outage    time.Duration
		confirmed bool
	}{
		{"a short outage", 3900 * time.Millisecond, true},
		{"a long outage", 10 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newLateStore()
				store.write(10)
				reader := store.started(t)
				time.Sleep(time.Second)
				store.change(func() { store.down = true })
				time.Sleep(tt.outage)
				store.fail(ErrHistoryGone)
				store.write(9)
				store.change(func() { store.down = false })
				time.Sleep(configurationInterval)
				is.Equal(ageAt(reader) <= configurationInterval, tt.confirmed)
				time.Sleep(defaultHistoryWait + configurationInterval)
				is.True(ageAt(reader) <= configurationInterval)
				is.Equal(versionAt(reader), uint64(10))
			})
		})
	}
}

// A change that was adopted from the feed must be confirmed by the next read without a wait, as a
// newer row is, though the store has forgotten its history by then.
func TestAdoptedChangeIsConfirmedWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		store.fail(ErrHistoryGone)
		store.write(12)
		newest := store.written[len(store.written)-1]
		reader.adoptWatched(&Changes{Configurations: []Reading{newest}})
		time.Sleep(configurationInterval)
		is.Equal(versionAt(reader), uint64(12))
		is.True(ageAt(reader) <= configurationInterval)
	})
}

// While most reads of the store fail, a router must use the last one that succeeded at a peer, though
// that is too old to go on without reads of its own.
func TestLaterConfirmationOfStalePeerIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		peer, router := store.router(), store.router()
		peer.replica.applyList("n", time.Now(), fullList(nil))
		is.NoErr(peer.readConfiguration(t.Context()))
		pullFrom(t, router, peer)
		first := router.replica.holder.View().ConfirmedAt
		time.Sleep(3 * time.Second)
		is.NoErr(peer.readConfiguration(t.Context()))
		read := time.Now()
		time.Sleep(2 * time.Second)
		pullFrom(t, router, peer)
		is.Equal(router.replica.holder.View().ConfirmedAt, read)
		pullFrom(t, peer, router)
		is.Equal(peer.replica.holder.View().ConfirmedAt, read) // nor does it come back younger
		is.True(first.Before(read))
	})
}
