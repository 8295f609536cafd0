package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// namedWhileAway returns a zone whose router ran for 20 s and was killed, and when version 3
// was named after that, four seconds ago.
func namedWhileAway(t *testing.T) (z *zone, namedAt time.Time) {
	t.Helper()
	z = newNamedZone()
	z.start(t.Context(), "a")
	time.Sleep(20 * time.Second)
	z.kill("a")
	time.Sleep(500 * time.Millisecond)
	namedAt = time.Now()
	z.store.name(3)
	time.Sleep(4 * time.Second)
	return z, namedAt
}

// The store turns away the one call for the rows of namings at the start.
func TestAMarkThatIsTurnedAwayOnceIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z, namedAt := namedWhileAway(t)
		fail := &atomic.Int32{}
		fail.Store(1)
		z.namingTable = &refusingTable{fakeStore: z.store, noList: namingPrefix, failLists: fail}
		started := z.start(t.Context(), "c")
		time.Sleep(15 * time.Second)
		naming := started.newest()
		is.Equal(naming.Version, 3)
		t.Log(naming.SeenAt.Sub(namedAt), naming.SeenAtStart)
		is.True(!naming.SeenAt.After(namedAt))
	})
}

// The store is down while several routers start at once, which pull from each other.
func TestRoutersThatStartTogetherWhileTheStoreIsDownReadTheMark(t *testing.T) {
	for _, slow := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z, namedAt := namedWhileAway(t)
			fault := func(on bool) {
				z.store.change(func() {
					z.store.down = on && !slow
					z.store.delay = 0
					if on && slow {
						z.store.delay = 2 * time.Second
					}
				})
			}
			started := []*zoneRouter{z.start(t.Context(), "c"), z.start(t.Context(), "d"), z.start(t.Context(), "e")}
			fault(true)
			time.Sleep(10 * time.Second)
			fault(false)
			time.Sleep(3 * time.Second)
			for _, one := range started {
				naming := one.newest()
				is.Equal(naming.Version, 3)
				t.Log(one.node, naming.SeenAt.Sub(namedAt), naming.SeenAtStart)
				is.True(!naming.SeenAt.After(namedAt))
			}
		})
	}
}

// frozenInACall is a source whose process stands still for 6 s in the middle of a call for
// the rows.
type frozenInACall struct {
	*zoneRouter
	freeze *atomic.Bool
	// thawAt is when the process goes on, in nanoseconds.
	thawAt *atomic.Int64
	// loses says that the call's connection does not outlive that. That of the watch never
	// does.
	loses bool
}

func (f *frozenInACall) Configuration(ctx context.Context) (Reading, error) {
	reading, err := f.zoneRouter.Configuration(ctx)
	if f.freeze.CompareAndSwap(true, false) {
		f.thawAt.Store(time.Now().Add(6 * time.Second).UnixNano())
		wait.For(context.WithoutCancel(ctx), 6*time.Second)
		if f.loses {
			return Reading{}, fault.New(fault.StoreUnavailable, "no answer")
		}
	}
	return reading, err
}

func (f *frozenInACall) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := f.zoneRouter.Changes(ctx, after, hold)
	if left := time.Until(time.Unix(0, f.thawAt.Load())); left > 0 {
		wait.For(context.WithoutCancel(ctx), left)
		return Changes{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	return changes, err
}

func TestARouterThatIsFrozenInACallCountsFromBefore(t *testing.T) {
	for name, loses := range map[string]bool{"the answer is read late": false, "the answer is lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newNamedZone()
				freeze, thawAt := &atomic.Bool{}, &atomic.Int64{}
				z.beforeStart = func(_ context.Context, running *zoneRouter) {
					running.follower.source = &frozenInACall{running, freeze, thawAt, loses}
				}
				started := z.start(t.Context(), "a")
				time.Sleep(20 * time.Second)
				freeze.Store(true)
				time.Sleep(time.Second)
				is.True(!freeze.Load())
				namedAt := time.Now()
				z.store.name(3)
				time.Sleep(8 * time.Second)
				naming := started.newest()
				is.Equal(naming.Version, 3)
				t.Log(naming.SeenAt.Sub(namedAt), naming.SeenAtStart)
				is.True(naming.SeenAt.Sub(namedAt) <= watchTolerance)
			})
		})
	}
}

// hundredEntries is a table that takes a hundred entries in a transaction, as the store does.
type hundredEntries struct{ *fakeStore }

func (h *hundredEntries) Commit(ctx context.Context, tx protocol.Transaction) (protocol.TransactionResult, error) {
	if len(tx.Writes)+len(tx.Conditions) > 100 {
		return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "status 400")
	}
	return h.fakeStore.Commit(ctx, tx)
}

func TestManyModelsAreMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		for i := range 100 {
			z.store.nameOf(ident.Model(fmt.Sprint("m", i)), 1)
		}
		z.namingTable = &hundredEntries{z.store}
		z.start(t.Context(), "a")
		time.Sleep(10 * time.Second)
		_, marked, err := z.store.Read(t.Context(), namingPrefix+string(model)+"/"+markKey)
		is.NoErr(err)
		is.True(marked)
	})
}

// A model of which no mark tells: its first version was named while all routers were away.
func TestAModelThatIsNamedFirstWhileAllAreAwayCountsFromThen(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z, _ := namedWhileAway(t)
			namedAt := time.Now()
			z.store.nameOf(otherModel, 5)
			z.store.forget(z.store.revision())
			time.Sleep(4 * time.Second)
			started := z.start(t.Context(), "c")
			time.Sleep(2 * time.Second)
			naming := started.follower.replica.holder.View().Models[otherModel].Publications[0]
			t.Log(naming.SeenAt.Sub(namedAt), naming.SeenAtStart)
			is.True(!naming.SeenAt.After(namedAt))
		})
	}
}

// The store's own time begins anew, as it lost its power while all routers were away.
func TestAMarkOfBeforeTheStoresTimeBeganAnewTellsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z, namedAt := namedWhileAway(t)
		z.store.change(func() { z.store.started = time.Now().Add(-5 * time.Second) })
		started := z.start(t.Context(), "c")
		time.Sleep(5 * time.Second)
		naming := started.newest()
		t.Log(naming.SeenAt.Sub(namedAt), naming.SeenAtStart)
		is.Equal(naming.Version, 3)
		is.True(naming.SeenAtStart || !naming.SeenAt.After(namedAt)) // its age must not count as known
	})
}
