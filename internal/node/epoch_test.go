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

// cameBack is a Source whose store came back from an older copy: it tells no history of before.
type cameBack struct{ *fakeStore }

// Configurations implements Source.
func (c cameBack) Configurations(ctx context.Context, after, until uint64) ([]Reading, error) {
	if after != 0 && store.Epoch(after) != store.Epoch(until) {
		return nil, ErrHistoryGone
	}
	return c.fakeStore.Configurations(ctx, after, until)
}

// What the row of the configuration shows after the store came back from an older copy.
func TestTheConfigurationAfterTheStoreCameBack(t *testing.T) {
	tests := []struct {
		name string
		// version and body are those of the row then.
		version uint64
		body    string
		// held is the version in force then.
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
				f.source = cameBack{fake}
				is.NoErr(f.readConfiguration(t.Context()))
				is.Equal(f.replica.holder.View().Snapshot.Version, uint64(5))
				time.Sleep(time.Minute)
				// Its version was given out again.
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

// countedEpochs is a count of returns that a test sets. It implements Epochs.
type countedEpochs struct{ epoch atomic.Uint64 }

func (c *countedEpochs) Epoch() uint64         { return c.epoch.Load() }
func (c *countedEpochs) First() (uint64, bool) { return 3, true }
func (c *countedEpochs) ObserveFirst(uint64)   {}

func TestARouterWritesItsRowAgainOnlyIfItIsLost(t *testing.T) {
	tests := []struct {
		name string
		lost bool
	}{{"lost", true}, {"there", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := &epochTable{fakeStore: newFakeStore()}
			r := &routerList{table: table, timeout: time.Second, node: "n", zone: "z", incarnation: "1", epochs: optionalEpochs{&countedEpochs{}}}
			self, _, _, err := r.join(t.Context())
			is.NoErr(err)
			is.True(r.current(0))
			is.True(!r.current(1))
			table.epoch = 1
			if tt.lost {
				delete(table.rows, r.key())
			}
			before := table.writes
			again, peers, routers, err := r.rejoin(t.Context())
			is.NoErr(err)
			is.True(r.current(1))
			is.Equal(table.writes > before, tt.lost)
			is.Equal(store.Epoch(again.Revision), uint64(1))
			is.True(again.Revision > self.Revision)
			is.Equal(len(peers), 1)
			is.Equal(routers, 1)
		})
	}
}

// epochTable is a table whose rows are of an epoch.
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

// Rows of routers may be missing for a while: bounds that are divided by their number must not
// grow meanwhile.
func TestRoutersAreNotTakenForFewerRightAfterTheStoreCameBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFollower(newFakeStore())
		counted := &countedEpochs{}
		f.epochs = optionalEpochs{counted}
		f.replica.counted(time.Now(), 7)
		time.Sleep(time.Second)
		counted.epoch.Store(1)
		f.noteEpoch()
		f.replica.counted(time.Now(), 2)
		is.Equal(f.replica.Routers(), 7)
		time.Sleep(time.Second)
		f.replica.counted(time.Now(), 9)
		is.Equal(f.replica.Routers(), 9)
		time.Sleep(rejoinedWithin)
		f.replica.counted(time.Now(), 6)
		is.Equal(f.replica.Routers(), 6)
	})
}

// A router that reads nothing of the store itself hears of its return from a peer.
func TestAPeerTellsThatTheStoreCameBack(t *testing.T) {
	is := is.New(t)
	f := newFollower(newFakeStore())
	f.takeEpoch(&upstream.Update{Epoch: 2})
	is.Equal(f.seenEpoch.Load(), uint64(2))
	f.takeEpoch(&upstream.Update{}) // of an older build, or one that has not heard of it
	is.Equal(f.seenEpoch.Load(), uint64(2))
	is.True(!f.knowsReturns(&upstream.Update{Epoch: 1}))
	is.True(f.knowsReturns(&upstream.Update{Epoch: 2})) // this router knows of no era itself
	f.epochs = optionalEpochs{&countedEpochs{}}
	is.True(!f.knowsReturns(&upstream.Update{Epoch: 2}))
	is.True(f.knowsReturns(&upstream.Update{Epoch: 2, FirstEra: 4}))
	f.replica.epochs = optionalEpochs{&countedEpochs{}}
	told := f.replica.Update(time.Now(), &upstream.Pull{From: upstream.Peer{Node: ident.Node("m")}})
	is.Equal(told.FirstEra, uint64(4))
}
