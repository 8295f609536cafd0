// The store may execute an unanswered write seconds later, after newer ones, and give it the
// highest revision. So a row may have older content, or had newer content between two reads.
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

// lateStore is a store whose configuration is a version number, with the history of its row.
type lateStore struct {
	*fakeStore
	written []Reading
	// failure, if set, is the answer to requests for the history, which requests counts.
	failure  error
	requests int
	// forgotten is the revision up to which the history is lost.
	forgotten uint64
	// others is by how much writes of other rows raised the revision since the last one.
	others uint64
}

func newLateStore() *lateStore { return &lateStore{fakeStore: newFakeStore()} }

// write writes versions to the row, so fast that reads see only the last one.
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

// advance raises the store's revision by writes of other rows, and drops the history.
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

// historyRequests returns the number of requests for the history.
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

// started returns a router that follows the configuration and has an instance list.
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
func (p directPuller) Pull(_ context.Context, _ upstream.Peer, pull *upstream.Pull) (*upstream.Update, time.Time, error) {
	update := p.from.replica.Update(time.Now(), pull)
	return update, time.Now(), update.Unpack()
}

// pullFrom makes a router pull once from another.
func pullFrom(t *testing.T, puller, from *follower) {
	t.Helper()
	puller.client = directPuller{from: from}
	puller.pull(t.Context(), upstream.Peer{}, 0)
}

// warnings returns a function for the events logged as warnings so far, in a synctest bubble.
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

func isNotConfirmed(event string) bool { return event == "configuration_not_confirmed" }

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
		is.True(ageAt(reader) <= configurationInterval) // the history confirms that 10 is the newest
		is.Equal(warned(), []string{"configuration_row_outdated"})
		is.Equal(store.historyRequests()-before, 1) // a known history is not requested again

		started := store.router()
		pullFrom(t, started, reader)
		is.Equal(versionAt(started), uint64(10)) // peers get the newest, not the last
	})
}

func TestOverwrittenConfiguration(t *testing.T) {
	t.Run("is adopted", testOverwrittenIsAdopted)
	t.Run("is suspected when it is forgotten", testForgottenIsSuspected)
	t.Run("is requested until it is answered", testRequestedUntilAnswered)
}

func testOverwrittenIsAdopted(t *testing.T) {
	for _, tt := range []struct {
		name string
		last uint64
	}{
		{"and an older one after it", 9},
		{"and the one before it again", 10},
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

// A late write must be detected even if the last configuration is older than the history that
// the store keeps.
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
		store.write(12) // the operator writes it again
		time.Sleep(time.Minute)
		is.True(ageAt(reader) <= configurationInterval)
	})
}

// If the history is lost, an unseen configuration may have replaced the one in force and its keys, so
// that must not be confirmed at once. What is lost stays lost, so routers must not refuse for ever.
func testForgottenIsSuspected(t *testing.T) {
	for _, tt := range []struct {
		name string
		last uint64
	}{{"an older one", 9}, {"the same again", 10}} {
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
				time.Sleep(defaultHistoryWait)
				is.Equal(versionAt(reader), uint64(10))
				is.True(ageAt(reader) >= defaultHistoryWait) // nothing is confirmed before the wait is over
				time.Sleep(2 * configurationInterval)
				is.Equal(warned(), []string{"configuration_row_outdated", "configuration_not_confirmed", "configuration_gap_skipped"})
				requested := store.historyRequests()
				is.True(requested-before > 2) // the history may be there again
				time.Sleep(time.Minute)
				is.Equal(versionAt(reader), uint64(10)) // never the older one
				is.True(ageAt(reader) <= configurationInterval)
				is.Equal(store.historyRequests(), requested) // a lost history is not requested for ever
				is.Equal(len(warned()), 3)
				store.write(13)
				time.Sleep(configurationInterval)
				is.Equal(versionAt(reader), uint64(13)) // a newer one ends the suspicion
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
		time.Sleep(defaultHistoryWait)
		is.Equal(versionAt(reader), uint64(11)) // the row's content does not wait for the history
		is.True(ageAt(reader) >= defaultHistoryWait)
		time.Sleep(8 * time.Second)
		is.Equal(versionAt(reader), uint64(11))
		is.True(ageAt(reader) <= configurationInterval) // nor is it refused while there is no answer
		store.fail(nil)
		time.Sleep(time.Second)
		is.Equal(versionAt(reader), uint64(12))
		is.True(ageAt(reader) <= configurationInterval)
	})
}

// A router that starts after the late write finds the older configuration in the row, and must get
// the newest from a peer instead of spreading the older one.
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
		is.Equal(versionAt(started), uint64(9)) // the history is lost
		store.fail(nil)

		pullFrom(t, reader, started)
		is.Equal(versionAt(reader), uint64(10))
		is.Equal(reader.replica.holder.View().ConfirmedAt, readAt) // 9 confirms nothing

		pullFrom(t, started, reader)
		is.Equal(versionAt(started), uint64(10))
		// Its own read found another one, so it doesn't confirm 10.
		is.Equal(started.replica.holder.View().ConfirmedAt, readAt)
		is.NoErr(started.readConfiguration(t.Context()))
		is.Equal(versionAt(started), uint64(10))
		is.Equal(ageAt(started), time.Duration(0))
	})
}

// A router that starts without peers after a late write must find the newest configuration in the
// history that the store still keeps.
func TestLoneStartFindsNewestConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name string
		// others is by how much other writes raised the revision before, kept the number of
		// revisions whose changes the store keeps.
		others, kept uint64
		version      uint64
		requests     int
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
				is.Equal(store.historyRequests(), tt.requests)
				time.Sleep(10 * time.Second)
				is.Equal(versionAt(reader), tt.version)
				is.True(ageAt(reader) <= configurationInterval)
				is.Equal(store.historyRequests(), tt.requests) // only the start searches the history
			})
		})
	}
}

// A failed request for the history must not keep a router from starting.
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

// A router that starts after a late write of an engine's row must learn from peers that the
// engine is draining.
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
