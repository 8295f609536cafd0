// A write that the store did not answer may be carried out seconds later, after newer
// ones, and gets the highest revision then. So the content of a row is not always the
// newest that was written, and a newer one may have stood there between two reads only.
//
// Evidence: the rows of an operator who repeated unanswered writes went v7, v6, v8, v6
// with rising revisions, and no read saw v8. With the configuration's row that means: a
// router that met the older one told it to peers that had just started; and one that
// stood for an instant was missed for good, while the one before it, with keys that were
// taken away, was confirmed at each read.
package node

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// lateStore is a store whose row of the configuration holds a version number, and that
// remembers what the row held.
type lateStore struct {
	*fakeStore
	written []Reading
	// failure, if set, is the answer to questions about what the row held, which are counted.
	failure  error
	requests int
	// forgotten is the revision up to which that is not kept.
	forgotten uint64
	// others is by how much writes of other rows raised the revision since the last one.
	others uint64
}

func newLateStore() *lateStore { return &lateStore{fakeStore: newFakeStore()} }

// write makes versions the contents of the row, one right after the other, so that no
// read sees any but the last.
func (s *lateStore) write(versions ...uint64) {
	s.change(func() {
		for _, version := range versions {
			s.reading.Revision += 2 + s.others
			s.others = 0
			s.reading.Body = strconv.AppendUint(nil, version, 10)
			s.written = append(s.written, Reading{Revision: s.reading.Revision, Body: s.reading.Body})
		}
	})
}

// advance has others write rows, and the store forget all that was written before.
func (s *lateStore) advance(writes uint64) {
	s.change(func() {
		s.others += writes
		s.forgotten = s.reading.Revision + s.others
	})
}

// Configuration implements Source.
func (s *lateStore) Configuration(ctx context.Context) (Reading, error) {
	reading, err := s.fakeStore.Configuration(ctx)
	s.change(func() { reading.StoreRevision = reading.Revision + s.others })
	return reading, err
}

func (s *lateStore) fail(err error) { s.change(func() { s.failure = err }) }

// Configurations implements Source.
func (s *lateStore) Configurations(_ context.Context, after, until uint64) ([]Reading, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
	if s.failure != nil {
		return nil, s.failure
	}
	if after < s.forgotten {
		return nil, ErrHistoryGone
	}
	var between []Reading
	for _, written := range s.written {
		if written.Revision > after && written.Revision <= until {
			between = append(between, written)
		}
	}
	return between, nil
}

// historyRequests returns how often the store was asked what the row held.
func (s *lateStore) historyRequests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// Decode implements Source.
func (s *lateStore) Decode(body []byte) (*catalog.Snapshot, error) {
	version, err := strconv.ParseUint(string(bytes.TrimSpace(body)), 10, 64)
	if err != nil {
		return nil, err
	}
	return catalog.NewSnapshot(catalog.Content{Version: version}), nil
}

// router returns a router that reads the store.
func (s *lateStore) router() *follower {
	reader := newFollower(s.fakeStore)
	reader.source, reader.replica.decode = s, s.Decode
	return reader
}

// started returns a router that follows the configuration and has seen the list once.
func (s *lateStore) started(t *testing.T) *follower {
	reader := s.router()
	reader.replica.applyList("n", time.Now(), fullList(nil))
	go reader.followConfiguration(t.Context())
	time.Sleep(10 * time.Millisecond)
	return reader
}

func versionAt(router *follower) uint64 {
	if snapshot := router.replica.holder.View().Snapshot; snapshot != nil {
		return snapshot.Version
	}
	return 0
}

func ageAt(router *follower) time.Duration { return router.replica.holder.View().Age(time.Now()) }

// directPuller pulls from one router.
type directPuller struct{ from *follower }

// Pull implements puller.
func (d directPuller) Pull(_ context.Context, _ upstream.Peer, pull *upstream.Pull) (*upstream.Update, time.Time, error) {
	return d.from.replica.Update(time.Now(), pull), time.Now(), nil
}

// pullFrom lets a router pull once from another.
func pullFrom(t *testing.T, puller, from *follower) {
	t.Helper()
	puller.client = directPuller{from: from}
	puller.pull(t.Context(), upstream.Peer{}, 0)
}

// warnings returns the events that were warned of so far, in a synctest bubble.
func warnings(t *testing.T) func() []string {
	t.Helper()
	handler := memory.New()
	log.SetHandler(handler)
	t.Cleanup(func() { log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil })) })
	return func() (events []string) {
		synctest.Wait()
		for _, entry := range handler.Entries {
			if entry.Level == log.WarnLevel {
				events = append(events, entry.Message)
			}
		}
		return events
	}
}

const configurationInterval = 600 * time.Millisecond

func TestLateWriteOfOlderConfigurationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		warned := warnings(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		before := store.historyRequests()
		store.write(9)
		time.Sleep(time.Minute)
		is.Equal(versionAt(reader), uint64(10))
		is.True(ageAt(reader) <= configurationInterval) // what the row held since tells that 10 is the newest
		is.Equal(warned(), []string{"configuration_row_outdated"})
		is.Equal(store.historyRequests()-before, 1) // what is known is not asked again

		started := store.router()
		pullFrom(t, started, reader)
		is.Equal(versionAt(started), uint64(10)) // peers get the newest, not the last
	})
}

func TestOverwrittenConfiguration(t *testing.T) {
	t.Run("is adopted", testOverwrittenIsAdopted)
	t.Run("is suspected when it is forgotten", testForgottenIsSuspected)
	t.Run("is asked for until it is told", testRequestedUntilAnswered)
}

func testOverwrittenIsAdopted(t *testing.T) {
	for _, tt := range []struct {
		name string
		last uint64
	}{
		{"and an older one after it", 9},
		{"and the one before it once more", 10},
		{"and one between the two after it", 11},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				warned := warnings(t)
				store := newLateStore()
				store.write(10)
				reader := store.started(t)
				store.write(12, tt.last)
				time.Sleep(configurationInterval)
				is.Equal(versionAt(reader), uint64(12))
				time.Sleep(time.Minute)
				is.Equal(versionAt(reader), uint64(12))
				is.True(ageAt(reader) <= configurationInterval)
				is.Equal(warned(), []string{"configuration_row_outdated"})
			})
		})
	}
}

// The store keeps its changes for some seconds, and configurations change less often.
func TestLateWriteIsDetectedAfterLongInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		time.Sleep(time.Minute)
		store.advance(1000)
		time.Sleep(configurationInterval)
		store.write(12, 10)
		time.Sleep(configurationInterval)
		is.Equal(versionAt(reader), uint64(12))
		is.True(ageAt(reader) <= configurationInterval)
		time.Sleep(time.Minute)
		store.advance(1000)
		time.Sleep(configurationInterval)
		store.write(12) // the operator writes it once more
		time.Sleep(time.Minute)
		is.True(ageAt(reader) <= configurationInterval)
	})
}

// What the row held may be forgotten. Then the configuration that is held may have been
// replaced, with its keys, by one that nobody saw.
func testForgottenIsSuspected(t *testing.T) {
	for _, tt := range []struct {
		name string
		last uint64
	}{{"an older one", 9}, {"the same once more", 10}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				warned := warnings(t)
				store := newLateStore()
				store.write(10)
				reader := store.started(t)
				before := store.historyRequests()
				store.fail(ErrHistoryGone)
				store.write(12, tt.last)
				time.Sleep(time.Minute)
				is.Equal(versionAt(reader), uint64(10))
				is.True(ageAt(reader) > 59*time.Second)
				is.Equal(warned(), []string{"configuration_row_outdated"})
				is.Equal(store.historyRequests()-before, 1) // what is forgotten is not asked again
				store.write(13)
				time.Sleep(configurationInterval)
				is.Equal(versionAt(reader), uint64(13)) // a newer one ends it
				is.True(ageAt(reader) <= configurationInterval)
			})
		})
	}
}

func testRequestedUntilAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		store.fail(errors.New("no answer"))
		store.write(12, 11)
		time.Sleep(10 * time.Second)
		is.Equal(versionAt(reader), uint64(11)) // the row's content does not wait for it
		is.True(ageAt(reader) > 9*time.Second)
		store.fail(nil)
		time.Sleep(time.Second)
		is.Equal(versionAt(reader), uint64(12))
		is.True(ageAt(reader) <= configurationInterval)
	})
}

// A router that starts after the late write finds the older configuration in the row.
func TestRouterWithOlderConfigurationGetsNewestFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		store.change(func() { store.down = true })
		time.Sleep(2 * time.Second)
		readAt := reader.replica.holder.View().ConfirmedAt
		store.write(9)
		store.fail(ErrHistoryGone)
		store.change(func() { store.down = false })
		started := store.router()
		started.replica.applyList("n", time.Now(), fullList(nil))
		is.NoErr(started.readConfiguration(t.Context()))
		is.Equal(versionAt(started), uint64(9)) // what the row held is forgotten
		store.fail(nil)

		pullFrom(t, reader, started)
		is.Equal(versionAt(reader), uint64(10))
		is.Equal(reader.replica.holder.View().ConfirmedAt, readAt) // 9 confirms nothing

		pullFrom(t, started, reader)
		is.Equal(versionAt(started), uint64(10))
		// Its own read found another one: it does not tell that 10 was the newest then.
		is.Equal(started.replica.holder.View().ConfirmedAt, readAt)
		is.NoErr(started.readConfiguration(t.Context()))
		is.Equal(versionAt(started), uint64(10))
		is.Equal(ageAt(started), time.Duration(0))
	})
}

// A router that starts without peers finds the older configuration in the row. The newest
// one was written there a few seconds before at most: a late write is no later.
func TestLoneStartFindsNewestConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name string
		// others is how far the other writes of the store raised the revision before, and
		// kept the revisions of which it keeps the changes.
		others, kept uint64
		version      uint64
		questions    int
	}{
		{"all is kept", 0, 1 << 20, 12, 1},
		{"of a busy store", 100_000, 50_000, 12, 1},
		{"little is kept", 100_000, 600, 12, 2},
		{"hardly any is kept", 100_000, 100, 12, 3},
		{"none is kept", 100_000, 1, 9, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newLateStore()
				store.reading.Revision = tt.others
				store.write(10, 12, 9)
				newest := store.reading.Revision
				store.forgotten = newest - min(tt.kept, newest)
				reader := store.started(t)
				is.Equal(versionAt(reader), tt.version)
				is.Equal(store.historyRequests(), tt.questions)
				time.Sleep(10 * time.Second)
				is.Equal(versionAt(reader), tt.version)
				is.True(ageAt(reader) <= configurationInterval)
				is.Equal(store.historyRequests(), tt.questions) // a start looks back once
			})
		})
	}
}

// A store that does not answer the question keeps no router from starting.
func TestLoneStartDoesNotWaitForHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10, 12, 9)
		store.fail(errors.New("no answer"))
		reader := store.started(t)
		is.Equal(versionAt(reader), uint64(9))
		store.fail(nil)
		time.Sleep(configurationInterval)
		is.Equal(versionAt(reader), uint64(12))
	})
}

// A router that starts after a late write of an engine learns from the others that the
// engine drains.
func TestStartingRouterGetsDrainingFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newLateStore()
		store.write(10)
		reader := store.started(t)
		go reader.followBackends(t.Context())
		list := func(revision uint64, draining bool) {
			records := []backend.Record{{Instance: "a", Service: "s", Revision: revision, Draining: draining}}
			store.change(func() { store.records = records })
			time.Sleep(time.Second)
		}
		list(1, false)
		list(2, true)
		list(3, false)
		started := store.router()
		pullFrom(t, started, reader)
		records := started.replica.backends.Records()
		is.Equal(len(records), 1)
		is.True(records[0].Draining)
	})
}
