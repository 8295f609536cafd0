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

// newest returns the newest version of the model that a router knows.
func (r *zoneRouter) newest() catalog.Publication {
	known := r.follower.replica.holder.View().Models[model]
	if len(known.Publications) == 0 {
		return catalog.Publication{}
	}
	return known.Publications[len(known.Publications)-1]
}

// lateTable is a table whose writes fail until a time.
type lateTable struct {
	*fakeStore
	downUntil time.Time
}

// Commit implements store.Table.
func (t *lateTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	if time.Now().Before(t.downUntil) {
		return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "down")
	}
	return t.fakeStore.Commit(ctx, transaction)
}

// A write that the store answered late is carried out over a newer one before any router
// has read the row.
func TestEachNamingReachesAllRoutersThoughItsRowIsWrittenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		routers := []*zoneRouter{z.start(t.Context(), "a"), z.start(t.Context(), "b"), z.start(t.Context(), "c")}
		time.Sleep(3 * time.Second)
		z.store.name(3, 2)
		namedAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		for _, router := range routers {
			naming := router.newest()
			is.Equal(naming.Version, 3)
			is.True(!naming.SeenAtStart)
			is.True(naming.SeenAt.Sub(namedAt).Abs() <= 20*time.Millisecond)
		}
		z.watches()
		time.Sleep(10 * time.Second)
		is.Equal(routers[1].newest().Version, 3) // the row does not take it back
		is.True(z.watches() <= 10)               // one router watches for all, and asks twice
	})
}

// The row of the operator tells an older version to routers that start later.
func TestANamingOutlivesAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.name(3, 2)
		time.Sleep(100 * time.Millisecond)
		z.kill("a")
		time.Sleep(time.Minute)
		z.store.forget(z.store.revision())
		started := z.start(t.Context(), "b")
		time.Sleep(time.Second)
		naming := started.newest()
		is.Equal(naming.Version, 3)
		is.True(!naming.SeenAtStart)
		is.True(time.Since(naming.SeenAt) >= time.Minute)
	})
}

// A naming is kept although the store is away for longer than a few tries.
func TestANamingIsKeptOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		begun := time.Now()
		table := &lateTable{fakeStore: store, downUntil: begun.Add(10 * time.Second)}
		namings := &publicationStore{table: table, timeout: time.Second}
		namings.keep(t.Context(), model, 3, publicationRow{FirstSeen: time.Second})
		is.Equal(time.Since(begun), time.Duration(0)) // nobody waits for it
		time.Sleep(13 * time.Second)
		found, err := namings.find(t.Context(), model, 20*time.Second, time.Now())
		is.NoErr(err)
		is.Equal(len(found.namings), 1)
		is.Equal(time.Since(found.namings[0].SeenAt), 19*time.Second)
		synctest.Wait()
		namings.mu.Lock()
		defer namings.mu.Unlock()
		is.Equal(len(namings.pending), 0)
	})
}

// The router that watches ends, and a version is named and written over before the next
// one notices.
func TestAWatcherThatTakesOverMissesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a")
		time.Sleep(20 * time.Millisecond) // a is the first
		second := z.start(t.Context(), "b")
		time.Sleep(3 * time.Second)
		z.kill("a")
		time.Sleep(50 * time.Millisecond)
		z.store.name(3, 2)
		namedAt := time.Now()
		time.Sleep(3 * time.Second)
		naming := second.newest()
		is.Equal(naming.Version, 3)
		// It counts as old as it may be, but for the tolerance.
		is.True(naming.SeenAt.Sub(namedAt) <= watchTolerance)
		is.True(namedAt.Sub(naming.SeenAt) <= watchHold)
		is.True(!naming.SeenAtStart)
	})
}

// A router saw a version, told others, and ended before it kept it; the others keep it.
func TestTheNextWatcherKeepsWhatTheLastOneSaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.namingTable = &lateTable{fakeStore: z.store, downUntil: time.Now().Add(time.Hour)}
		z.start(t.Context(), "a")
		z.namingTable = z.store
		time.Sleep(20 * time.Millisecond) // a is the first
		second := z.start(t.Context(), "b")
		time.Sleep(3 * time.Second)
		z.store.name(3, 2)
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

// The store has forgotten the changes after the last one that is known, but not those in
// which a newer version was named and written over.
func TestForgottenChangesAreSkippedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.store.name(1)
		for range 1000 {
			z.store.name(1) // other writes
		}
		z.store.forget(z.store.revision())
		z.store.name(3, 2)
		started := z.start(t.Context(), "a")
		time.Sleep(5 * time.Second)
		is.Equal(started.newest().Version, 3)
		is.True(started.newest().SeenAtStart) // nobody saw when it was named
		z.watches()
		time.Sleep(time.Minute)
		is.True(z.watches() <= 160) // what is forgotten is given up
	})
}

func TestTheAgeOfWhatAWatchTells(t *testing.T) {
	tests := []struct {
		name                         string
		knownAt, answeredAt, tookFor time.Duration
		age                          time.Duration
		known                        bool
	}{
		{"nothing is known", 0, 9 * time.Second, 0, 0, false},
		{"the store tells no time", 8 * time.Second, 0, 0, 0, false},
		{"the answer was held back", 8 * time.Second, 9 * time.Second, time.Second, 0, true},
		{"asked right after the last answer", 8 * time.Second, 8010 * time.Millisecond, 4 * time.Millisecond, 0, true},
		{"nobody asked for a while", 8 * time.Second, 13 * time.Second, time.Second, 4*time.Second - watchTolerance, true},
		{"the store did not answer for a while", 8 * time.Second, 18 * time.Second, 10 * time.Second, 0, true},
		{"the process was paused after the answer", 8 * time.Second, 9 * time.Second, 5 * time.Second, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			age, known := watched{revision: 1, storeTime: tt.knownAt}.age(tt.answeredAt, tt.tookFor)
			is.Equal(age, tt.age)
			is.Equal(known, tt.known)
		})
	}
}

func TestNamingsOfWhichThereIsNoRow(t *testing.T) {
	is := is.New(t)
	rows := kept{namings: []catalog.Publication{{Version: 2}, {Version: 4}}}
	is.Equal(rows.lacks([]catalog.Publication{{Version: 2}, {Version: 3}}), []catalog.Publication{{Version: 3}})
	is.Equal(len(rows.lacks(nil)), 0)
}
