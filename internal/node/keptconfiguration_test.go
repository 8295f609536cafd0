package node

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

func newKeeper(table store.Table) *configurationKeeper {
	return &configurationKeeper{table: table, timeout: time.Second}
}

// keepingRouter returns a router that follows and keeps the configuration until the context ends.
func (s *lateStore) keepingRouter(ctx context.Context) *follower {
	router := s.router()
	router.kept = newKeeper(s.fakeStore)
	router.replica.applyList("n", time.Now(), fullList(nil))
	go router.followConfiguration(ctx)
	go router.keepConfiguration(ctx)
	time.Sleep(10 * time.Millisecond)
	return router
}

// A key revoked by the newest configuration must stay revoked when all routers start after a late
// write of an older one, though the store has forgotten the newest.
func TestStartAfterLateWriteFindsKeptConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(store *lateStore)
		want  uint64
	}{
		{"an older one in the row", func(store *lateStore) { store.write(10) }, 12},
		{"none in the row", func(store *lateStore) {
			store.change(func() { store.reading.Revision, store.reading.Body = 0, nil })
		}, 12},
		{"an unreadable one in the row", func(store *lateStore) {
			store.change(func() { store.reading.Revision, store.reading.Body = store.reading.Revision+2, []byte("x") })
		}, 12},
		{"a newer one in the row", func(store *lateStore) { store.write(13) }, 13},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newLateStore()
				store.write(10)
				ctx, end := context.WithCancel(t.Context())
				store.keepingRouter(ctx)
				store.write(12)
				time.Sleep(time.Second)
				end()
				store.fail(ErrHistoryGone)
				tt.fault(store)
				started := store.keepingRouter(t.Context())
				is.Equal(versionAt(started), tt.want)
				time.Sleep(10 * time.Second)
				is.Equal(versionAt(started), tt.want)
				is.True(ageAt(started) <= configurationInterval)
			})
		})
	}
}

// A router that knows an older configuration must learn of the newest when a gap hides it.
func TestKeptConfigurationEndsGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.keepingRouter(t.Context())
		time.Sleep(time.Second)
		packed, err := upstream.Compress([]byte("12"))
		is.NoErr(err)
		other := newKeeper(store.fakeStore)
		_, _, err = other.read(t.Context())
		is.NoErr(err)
		is.NoErr(other.write(t.Context(), 12, packed)) // another router saw 12 and ended
		store.fail(ErrHistoryGone)
		store.write(12, 9)
		time.Sleep(defaultHistoryWait + 2*configurationInterval)
		is.Equal(versionAt(reader), uint64(12))
		is.True(ageAt(reader) <= configurationInterval)
	})
}

// Keeping the configuration costs one write for each version, and none while nothing changes.
func TestConfigurationIsKeptOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		store.keepingRouter(t.Context())
		time.Sleep(time.Second)
		first := store.revision()
		time.Sleep(time.Minute)
		is.Equal(store.revision(), first)
		store.write(12)
		time.Sleep(time.Minute)
		is.Equal(store.revision(), first+1)
		version, body, err := newKeeper(store.fakeStore).read(t.Context())
		is.NoErr(err)
		is.Equal(version, uint64(12))
		is.Equal(string(body), "12")
	})
}

// An older configuration must not replace a newer one in the rows, nor rows of two be joined.
func TestKeptConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	table := newFakeStore()
	first, second := newKeeper(table), newKeeper(table)
	random := rand.New(rand.NewPCG(1, 2))
	var newest []byte
	for version, size := range []int{10, 3 * maxKeptBytes, 2*maxKeptBytes + 1, 100, maxKeptBytes} {
		newest = make([]byte, size)
		for index := range newest {
			newest[index] = byte(random.Uint32())
		}
		packed, err := upstream.Compress(newest)
		is.NoErr(err)
		is.NoErr(first.write(t.Context(), uint64(version+1), packed))
		read, body, err := newKeeper(table).read(t.Context())
		is.NoErr(err)
		is.Equal(read, uint64(version+1))
		is.True(bytes.Equal(body, newest))
	}
	now := time.Now()
	is.True(second.due(now, 3, 0))
	packed, err := upstream.Compress([]byte("older"))
	is.NoErr(err)
	is.NoErr(second.write(t.Context(), 3, packed)) // refused, and read instead
	is.True(!second.due(now, 3, 0))
	version, _, err := newKeeper(table).read(t.Context())
	is.NoErr(err)
	is.Equal(version, uint64(5))
	is.True(second.due(now, 5, 1)) // a restore of the store may have lost the rows
}

func TestMalformedKeptConfigurationIsReplaced(t *testing.T) {
	is := is.New(t)
	table := newFakeStore()
	packed, err := upstream.Compress(bytes.Repeat([]byte(strconv.Itoa(1<<40)), 100))
	is.NoErr(err)
	keeper := newKeeper(table)
	is.NoErr(keeper.write(t.Context(), 7, packed))
	_, err = table.Commit(t.Context(), protocol.Transaction{Writes: []protocol.Write{{Key: keptKey(0), Value: []byte("x")}}})
	is.NoErr(err)
	started := newKeeper(table)
	_, _, err = started.read(t.Context())
	is.True(err != nil)
	is.True(started.due(time.Now(), 7, 0))
	is.NoErr(started.write(t.Context(), 7, packed))
	version, _, err := newKeeper(table).read(t.Context())
	is.NoErr(err)
	is.Equal(version, uint64(7))
}

func TestTooLargeConfigurationIsNotKept(t *testing.T) {
	keeper := newKeeper(newFakeStore())
	err := keeper.write(t.Context(), 7, make([]byte, maxKeptRows*maxKeptBytes+1))
	is.New(t).True(errors.Is(err, errKeptTooLarge))
}
