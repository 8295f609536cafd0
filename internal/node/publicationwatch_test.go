package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// newest returns the newest publication of the model at a router.
func (r *zoneRouter) newest() catalog.Publication {
	known := r.follower.replica.holder.View().Models[model]
	if len(known.Publications) == 0 {
		return catalog.Publication{}
	}
	return known.Publications[len(known.Publications)-1]
}

// unavailableTable is a table whose writes fail until downUntil.
type unavailableTable struct {
	*fakeStore
	downUntil time.Time
}

// Commit implements store.Table.
func (t *unavailableTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	if time.Now().Before(t.downUntil) {
		return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "down")
	}
	return t.fakeStore.Commit(ctx, transaction)
}

// A version must reach all routers even if a late write of an older one overwrites its row before
// any router reads it.
func TestOverwrittenPublicationReachesAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		routers := []*zoneRouter{z.start(t.Context(), "a"), z.start(t.Context(), "b"), z.start(t.Context(), "c")}
		time.Sleep(3 * time.Second)
		z.store.publish(3, 2)
		publishedAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		for _, router := range routers {
			publication := router.newest()
			is.Equal(publication.Version, 3)
			is.True(!publication.SeenAtStart)
			is.True(publication.SeenAt.Sub(publishedAt).Abs() <= 20*time.Millisecond)
		}
		z.watches()
		time.Sleep(10 * time.Second)
		is.Equal(routers[1].newest().Version, 3) // the row does not revert it
		is.True(z.watches() <= 10)               // one router watches for all, with rechecks
	})
}

// Routers that start after all others have ended must find a version whose row was overwritten by
// an older one.
func TestPublicationOutlivesAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.publish(3, 2)
		time.Sleep(100 * time.Millisecond)
		z.kill("a")
		time.Sleep(time.Minute)
		z.store.forget(z.store.revision())
		started := z.start(t.Context(), "b")
		time.Sleep(time.Second)
		publication := started.newest()
		is.Equal(publication.Version, 3)
		is.True(!publication.SeenAtStart)
		is.True(time.Since(publication.SeenAt) >= time.Minute)
	})
}

// A publication must be saved even if the store is unavailable for several attempts.
func TestPublicationIsSavedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		begun := time.Now()
		table := &unavailableTable{fakeStore: store, downUntil: begun.Add(10 * time.Second)}
		publications := &publicationStore{table: table, timeout: time.Second}
		publications.save(t.Context(), model, 3, publicationRow{FirstSeen: time.Second})
		is.Equal(time.Since(begun), time.Duration(0)) // nobody waits for it
		time.Sleep(13 * time.Second)
		stored, err := publications.load(t.Context(), model, 20*time.Second, time.Now())
		is.NoErr(err)
		is.Equal(len(stored.publications), 1)
		is.Equal(time.Since(stored.publications[0].SeenAt), 19*time.Second)
		synctest.Wait()
		publications.mu.Lock()
		defer publications.mu.Unlock()
		is.Equal(len(publications.pending), 0)
	})
}

// A version that is published and overwritten between two watching routers must not be missed.
func TestNewWatcherMissesNoPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a")
		time.Sleep(20 * time.Millisecond) // a is the first
		second := z.start(t.Context(), "b")
		time.Sleep(3 * time.Second)
		z.kill("a")
		time.Sleep(50 * time.Millisecond)
		z.store.publish(3, 2)
		publishedAt := time.Now()
		time.Sleep(3 * time.Second)
		publication := second.newest()
		is.Equal(publication.Version, 3)
		// It counts as old as it can be, apart from the tolerance.
		is.True(publication.SeenAt.Sub(publishedAt) <= watchTolerance)
		is.True(publishedAt.Sub(publication.SeenAt) <= watchHold)
		is.True(!publication.SeenAtStart)
	})
}

// A version whose watcher ended before it wrote the row must be saved by the next watcher.
func TestNewWatcherSavesPublicationsOfFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.publicationTable = &unavailableTable{fakeStore: z.store, downUntil: time.Now().Add(time.Hour)}
		z.start(t.Context(), "a")
		z.publicationTable = z.store
		time.Sleep(20 * time.Millisecond) // a is the first
		second := z.start(t.Context(), "b")
		time.Sleep(3 * time.Second)
		z.store.publish(3, 2)
		time.Sleep(100 * time.Millisecond)
		is.Equal(second.newest().Version, 3)
		seenAt := second.newest().SeenAt
		z.kill("a")
		time.Sleep(5 * time.Second)
		z.kill("b")
		started := z.start(t.Context(), "c")
		time.Sleep(time.Second)
		is.Equal(started.newest().Version, 3)
		is.True(started.newest().SeenAt.Sub(seenAt).Abs() <= 50*time.Millisecond)
	})
}

// Forgotten changes must not hide later ones, in which a version was published and overwritten.
func TestForgottenChangesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.publish(1)
		for range 1000 {
			z.store.publish(1) // other writes
		}
		z.store.forget(z.store.revision())
		z.store.publish(3, 2)
		started := z.start(t.Context(), "a")
		time.Sleep(5 * time.Second)
		is.Equal(started.newest().Version, 3)
		is.True(started.newest().SeenAtStart) // its age is unknown
		z.watches()
		time.Sleep(time.Minute)
		is.True(z.watches() <= 160) // forgotten changes are given up
	})
}

func TestWatchPositionAge(t *testing.T) {
	tests := []struct {
		name                         string
		knownAt, answeredAt, tookFor time.Duration
		age                          time.Duration
		known                        bool
	}{
		{"nothing is known", 0, 9 * time.Second, 0, 0, false},
		{"the store reports no time", 8 * time.Second, 0, 0, 0, false},
		{"the answer was delayed", 8 * time.Second, 9 * time.Second, time.Second, 0, true},
		{"requested right after the last answer", 8 * time.Second, 8010 * time.Millisecond, 4 * time.Millisecond, 0, true},
		{"no request for a while", 8 * time.Second, 13 * time.Second, time.Second, 4*time.Second - watchTolerance, true},
		{"the store did not answer for a while", 8 * time.Second, 18 * time.Second, 10 * time.Second, 0, true},
		{"the process was paused after the answer", 8 * time.Second, 9 * time.Second, 5 * time.Second, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			age, known := watchPosition{revision: 1, storeTime: tt.knownAt}.age(tt.answeredAt, tt.tookFor)
			is.Equal(age, tt.age)
			is.Equal(known, tt.known)
		})
	}
}

func TestMissingPublicationRows(t *testing.T) {
	is := is.New(t)
	rows := storedPublications{publications: []catalog.Publication{{Version: 2}, {Version: 4}}}
	is.Equal(rows.missing([]catalog.Publication{{Version: 2}, {Version: 3}}), []catalog.Publication{{Version: 3}})
	is.Equal(len(rows.missing(nil)), 0)
}
