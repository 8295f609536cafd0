package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// restoredStore is a Source whose store was restored from an older copy: it has no history from
// before the restore.
type restoredStore struct{ *fakeStore }

// Configurations implements Source.
func (r restoredStore) Configurations(ctx context.Context, after, until uint64) ([]Reading, error) {
	if after != 0 && store.Epoch(after) != store.Epoch(until) {
		return nil, ErrHistoryGone
	}
	return r.fakeStore.Configurations(ctx, after, until)
}

// After a restore an older configuration in the row must not replace the one in force, nor
// confirm it.
func TestConfigurationAfterStoreRestore(t *testing.T) {
	tests := []struct {
		name string
		// version and body are those of the row after the restore.
		version uint64
		body    string
		// held is the version in force afterwards.
		held      uint64
		confirmed bool
	}{
		{"the one held, written again", 5, "held", 5, true},
		{"a newer one", 7, "newer", 7, true},
		{"an older one: the newest will be written again", 3, "older", 5, false},
		{"another one under the same version", 5, "other", 5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fake := newFakeStore()
				fake.reading.Revision, fake.reading.Body, fake.snapshot.Version = 40, []byte("held"), 5
				f := newFollower(fake)
				f.source = restoredStore{fake}
				is.NoErr(f.readConfiguration(t.Context()))
				is.Equal(f.replica.holder.View().Snapshot.Version, uint64(5))
				time.Sleep(time.Minute)
				// The restored store assigns the same revision again.
				fake.reading.Revision, fake.reading.Body, fake.snapshot.Version = store.Revision(1, 40), []byte(tt.body), tt.version
				is.NoErr(f.readConfiguration(t.Context()))
				view := f.replica.holder.View()
				is.Equal(view.Snapshot.Version, tt.held)
				is.Equal(view.Age(time.Now()) == 0, tt.confirmed)
				is.Equal(string(f.replica.config.body) == tt.body, tt.confirmed)
			})
		})
	}
}

// fakeEpochs implements Epochs with an epoch that a test sets.
type fakeEpochs struct{ epoch atomic.Uint64 }

func (f *fakeEpochs) Epoch() uint64         { return f.epoch.Load() }
func (f *fakeEpochs) First() (uint64, bool) { return 3, true }
func (f *fakeEpochs) ObserveFirst(uint64)   {}

// After a restore a router must write its row again only if it is lost, to keep the routers' order.
func TestRouterRewritesRowOnlyIfLost(t *testing.T) {
	tests := []struct {
		name string
		lost bool
	}{{"lost", true}, {"there", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := &epochTable{fakeStore: newFakeStore()}
			r := &routerList{table: table, timeout: time.Second, node: "n", zone: "z", incarnation: "1", epochs: optionalEpochs{&fakeEpochs{}}}
			joined, err := r.join(t.Context())
			is.NoErr(err)
			is.True(r.current(0))
			is.True(!r.current(1))
			table.epoch = 1
			if tt.lost {
				delete(table.rows, r.key())
			}
			before := table.writes
			again, err := r.rejoin(t.Context())
			is.NoErr(err)
			is.True(r.current(1))
			is.Equal(table.writes > before, tt.lost)
			is.Equal(store.Epoch(again.self.Revision), uint64(1))
			is.True(again.self.Revision > joined.self.Revision)
			is.Equal(len(again.peers), 1)
			is.Equal(again.routers, 1)
		})
	}
}

// epochTable is a table whose rows have versions of an epoch.
type epochTable struct {
	*fakeStore
	epoch  uint64
	writes int
}

// Commit implements store.Table.
func (e *epochTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	e.writes++
	result, err := e.fakeStore.Commit(ctx, transaction)
	for index := range result.Rows {
		result.Rows[index].Version = store.Revision(e.epoch, result.Rows[index].Version)
	}
	return result, err
}

// Read implements store.Table.
func (e *epochTable) Read(ctx context.Context, key string) (protocol.Row, bool, error) {
	row, found, err := e.fakeStore.Read(ctx, key)
	if found {
		row.Version = store.Revision(e.epoch, row.Version)
	}
	return row, found, err
}

// A restored store may lack rows of routers for a while: bounds that are divided by their number
// must not grow in that time.
func TestRouterCountDoesNotShrinkAfterStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFollower(newFakeStore())
		counted := &fakeEpochs{}
		f.epochs = optionalEpochs{counted}
		f.replica.observeRouterCount(time.Now(), 7)
		time.Sleep(time.Second)
		counted.epoch.Store(1)
		f.observeEpoch()
		f.replica.observeRouterCount(time.Now(), 2)
		is.Equal(f.replica.Routers(), 7)
		time.Sleep(time.Second)
		f.replica.observeRouterCount(time.Now(), 9)
		is.Equal(f.replica.Routers(), 9)
		time.Sleep(rejoinWindow)
		f.replica.observeRouterCount(time.Now(), 6)
		is.Equal(f.replica.Routers(), 6)
	})
}

// A router that does not read the store must learn of a restore from a peer.
func TestPeerReportsStoreRestore(t *testing.T) {
	is := is.New(t)
	f := newFollower(newFakeStore())
	f.applyPeerEpoch(&upstream.Update{Epoch: 2})
	is.Equal(f.handledEpoch.Load(), uint64(2))
	f.applyPeerEpoch(&upstream.Update{}) // of an older build, or of a peer that has not observed it
	is.Equal(f.handledEpoch.Load(), uint64(2))
	is.True(!f.epochsCurrent(&upstream.Update{Epoch: 1}))
	is.True(f.epochsCurrent(&upstream.Update{Epoch: 2})) // this router has no first epoch itself
	f.epochs = optionalEpochs{&fakeEpochs{}}
	is.True(!f.epochsCurrent(&upstream.Update{Epoch: 2}))
	is.True(f.epochsCurrent(&upstream.Update{Epoch: 2, FirstEra: 4}))
	f.replica.epochs = optionalEpochs{&fakeEpochs{}}
	update := f.replica.Update(time.Now(), &upstream.Pull{From: upstream.Peer{Node: ident.Node("m")}})
	is.Equal(update.FirstEra, uint64(4))
}
