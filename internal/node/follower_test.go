package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const model = ident.Model("m")

// fakeStore is a store with a configuration, an instance list and a table of own rows.
type fakeStore struct {
	mutex    sync.Mutex
	reading  Reading
	records  []backend.Record
	rows     map[string]protocol.Row
	version  uint64
	started  time.Time
	down     bool
	delay    time.Duration
	decoded  int
	snapshot catalog.Content
	// history has the publications in order; those up to the revision forgotten are refused.
	history   []fakePublication
	forgotten uint64
	// changed is closed at the next change.
	changed chan struct{}
}

// fakePublication is a change of the store that published a version.
type fakePublication struct {
	PublishedWeights
	revision uint64
}

func newFakeStore() *fakeStore {
	return &fakeStore{reading: Reading{Body: []byte("body")}, rows: map[string]protocol.Row{}, started: time.Now(), snapshot: catalog.Content{Version: 1}, changed: make(chan struct{})}
}

func (s *fakeStore) change(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

// answer waits for the store's delay, and returns an error if the store is down.
func (s *fakeStore) answer(ctx context.Context) error {
	s.mutex.Lock()
	delay, down := s.delay, s.down
	s.mutex.Unlock()
	if down {
		return fault.New(fault.StoreUnavailable, "down")
	}
	// No timer of zero: see minWait of fleet.Syncer.
	if delay > 0 && !wait.For(ctx, delay) {
		return fault.New(fault.StoreUnavailable, "no answer")
	}
	return nil
}

// Configuration implements Source.
func (s *fakeStore) Configuration(ctx context.Context) (Reading, error) {
	if err := s.answer(ctx); err != nil {
		return Reading{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reading := s.reading
	reading.Models = map[ident.Model]int{}
	for name, version := range s.reading.Models {
		reading.Models[name] = version
	}
	reading.StoreTime, reading.StoreRevision = s.now(), s.version
	return reading, nil
}

// now returns the store's own time, never 0, which means unknown.
func (s *fakeStore) now() time.Duration { return time.Since(s.started) + time.Millisecond }

// publish has the operator publish versions of the model, so fast that reads of the row see
// only the last one.
func (s *fakeStore) publish(versions ...int) {
	s.change(func() {
		close(s.changed)
		s.changed = make(chan struct{})
		for _, version := range versions {
			s.version++
			s.history = append(s.history, fakePublication{PublishedWeights{Model: model, Version: version}, s.version})
			s.reading.Models = map[ident.Model]int{model: version}
		}
	})
}

// revision returns the newest revision.
func (s *fakeStore) revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version
}

// forget drops the oldest changes.
func (s *fakeStore) forget(upTo uint64) {
	s.change(func() { s.forgotten = upTo })
}

// Changes implements Source.
func (s *fakeStore) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for waited := false; ; {
		if err := s.answer(ctx); err != nil {
			return Changes{}, err
		}
		changes, changed, err := s.changesAfter(after)
		if err != nil || len(changes.Published) > 0 || waited {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return Changes{}, fault.New(fault.StoreUnavailable, "no answer")
		}
	}
}

// changesAfter returns the present changes, and a channel that is closed at the next one.
func (s *fakeStore) changesAfter(after uint64) (Changes, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < s.forgotten {
		return Changes{}, nil, ErrHistoryGone
	}
	changes := Changes{StoreRevision: s.version, StoreTime: s.now()}
	for _, publication := range s.history {
		if publication.revision > after {
			changes.Published = append(changes.Published, publication.PublishedWeights)
		}
	}
	return changes, s.changed, nil
}

// Decode implements Source.
func (s *fakeStore) Decode([]byte) (*catalog.Snapshot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.decoded++
	return catalog.NewSnapshot(s.snapshot), nil
}

// Backends implements Source.
func (s *fakeStore) Backends(ctx context.Context) ([]backend.Record, error) {
	if err := s.answer(ctx); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.records), nil // tests change records in place
}

// Commit implements platform.Table.
func (s *fakeStore) Commit(_ context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var result protocol.TransactionResult
	holds := true
	for _, condition := range transaction.Conditions {
		holds = holds && s.rows[condition.Key].Version == condition.Version
		result.Rows = append(result.Rows, s.rows[condition.Key])
	}
	if !holds {
		return result, nil
	}
	result = protocol.TransactionResult{Committed: true}
	s.version++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		row := protocol.Row{Key: write.Key, Value: write.Value, Version: s.version}
		s.rows[write.Key] = row
		result.Rows = append(result.Rows, row)
	}
	return result, nil
}

// Read implements platform.Table.
func (s *fakeStore) Read(_ context.Context, key string) (protocol.Row, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row, found := s.rows[key]
	return row, found, nil
}

// List implements platform.Table.
func (s *fakeStore) List(_ context.Context, prefix string, limit int) (protocol.RowList, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list protocol.RowList
	for _, row := range s.rows {
		if strings.HasPrefix(row.Key, prefix) {
			list.Rows = append(list.Rows, row)
		}
	}
	slices.SortFunc(list.Rows, func(a, b protocol.Row) int { return strings.Compare(a.Key, b.Key) })
	list.More = len(list.Rows) > limit
	list.Rows = list.Rows[:min(len(list.Rows), limit)]
	return list, nil
}

// newFollower returns the follower of the only router.
func newFollower(store *fakeStore) *follower {
	chain := newChainGuard(upstream.Config{})
	chain.use(func(chain *upstream.Chain) { chain.Join(upstream.Peer{Node: "n", Revision: 1}, nil) })
	return &follower{
		source:       store,
		replica:      newReplica("n", &catalog.Holder{}, backend.NewRegistry(backend.Config{}), store.Decode, admission.SharersConfig{}),
		publications: &publicationStore{table: store, timeout: time.Second},
		chain:        chain,
		onLost:       func(string) {},
		onPulled:     func(string) {}, onWatched: func(string) {},
		startedAt: time.Now(),
		config: FollowConfig{
			ConfigurationInterval: 600 * time.Millisecond, BackendInterval: 500 * time.Millisecond,
			ReadTimeout: time.Second, RetryPause: 100 * time.Millisecond,
		},
	}
}

func TestAConfigurationIsAdoptedWithinTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.reading.Revision = 1
		follower := newFollower(store)
		go follower.followConfiguration(t.Context())
		time.Sleep(10 * time.Millisecond)
		is.Equal(follower.replica.holder.View().Snapshot.Version, uint64(1))
		store.change(func() { store.reading.Revision, store.snapshot.Version = 2, 5 })
		time.Sleep(600 * time.Millisecond)
		is.Equal(follower.replica.holder.View().Snapshot.Version, uint64(5))
		time.Sleep(time.Minute)
		is.Equal(store.decoded, 2) // an unchanged row is not read again
		is.True(follower.replica.holder.View().Age(time.Now()) <= 600*time.Millisecond)
	})
}

// A slow answer must confirm the configuration only as of its request.
func TestSlowAnswerCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.reading.Revision = 1
		store.delay = 900 * time.Millisecond
		follower := newFollower(store)
		begun := time.Now()
		go follower.followConfiguration(t.Context())
		time.Sleep(950 * time.Millisecond)
		is.Equal(follower.replica.holder.View().ConfirmedAt, begun)
	})
}

func TestUnavailableStoreIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.reading.Revision = 1
		store.down = true
		follower := newFollower(store)
		go follower.followConfiguration(t.Context())
		go follower.followBackends(t.Context())
		time.Sleep(time.Minute)
		is.True(follower.replica.holder.View().Snapshot == nil)
		store.change(func() { store.down = false })
		time.Sleep(150 * time.Millisecond)
		is.True(follower.replica.holder.View().Snapshot != nil)
		is.True(!follower.replica.backends.ListedAt().IsZero())
	})
}

// Back ends must not be dropped during an outage of the store.
func TestBackEndsAreKeptDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.records = []backend.Record{{Instance: "a", Service: "s"}}
		follower := newFollower(store)
		go follower.followBackends(t.Context())
		time.Sleep(10 * time.Millisecond)
		store.change(func() { store.down = true })
		time.Sleep(time.Minute)
		is.Equal(len(follower.replica.backends.Records()), 1)
	})
}

// A router that starts after a version was published must find its age by the row that others
// wrote.
func TestVersionAgeOutlivesRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.reading.Revision = 1
		first := newFollower(store)
		go first.followConfiguration(t.Context())
		time.Sleep(time.Second)
		store.change(func() { store.reading.Models = map[ident.Model]int{model: 2} })
		time.Sleep(time.Second)
		is.True(!first.replica.holder.View().Models[model].Publications[0].SeenAtStart)
		time.Sleep(5 * time.Second)
		second := newFollower(store)
		go second.followConfiguration(t.Context())
		time.Sleep(10 * time.Millisecond)
		published := second.replica.holder.View().Models[model]
		is.Equal(published.Version, 2)
		is.True(!published.Publications[0].SeenAtStart)
		is.True(time.Since(published.Publications[0].SeenAt) >= 5*time.Second)
		is.True(time.Since(published.Publications[0].SeenAt) <= 7*time.Second)
	})
}

func TestVersionSeenAtStartHasUnknownAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.reading.Models = map[ident.Model]int{model: 2}
		follower := newFollower(store)
		go follower.followConfiguration(t.Context())
		time.Sleep(time.Second)
		is.True(follower.replica.holder.View().Models[model].Publications[0].SeenAtStart)
		is.Equal(len(store.rows), 0) // no row states its time
	})
}
