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

// publishedWhileDown returns a zone whose only router ran for 20 s and was killed, and when
// version 3 was published after that, four seconds ago.
func publishedWhileDown(t *testing.T) (z *zone, publishedAt time.Time) {
	t.Helper()
	z = newPublishedZone()
	z.start(t.Context(), "a")
	time.Sleep(20 * time.Second)
	z.kill("a")
	time.Sleep(500 * time.Millisecond)
	publishedAt = time.Now()
	z.store.publish(3)
	time.Sleep(4 * time.Second)
	return z, publishedAt
}

// The mark must be read even if the store refuses the first read of the publication rows.
func TestMarkIsReadAgainAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z, publishedAt := publishedWhileDown(t)
		fail := &atomic.Int32{}
		fail.Store(1)
		z.publicationTable = &refusingTable{fakeStore: z.store, noList: publicationPrefix, failLists: fail}
		started := z.start(t.Context(), "c")
		time.Sleep(15 * time.Second)
		publication := started.newest()
		is.Equal(publication.Version, 3)
		t.Log(publication.SeenAt.Sub(publishedAt), publication.SeenAtStart)
		is.True(!publication.SeenAt.After(publishedAt))
	})
}

// The mark must be read even if several routers start during an outage and pull from each other.
func TestRoutersStartedDuringOutageReadMark(t *testing.T) {
	for _, slow := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z, publishedAt := publishedWhileDown(t)
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
				publication := one.newest()
				is.Equal(publication.Version, 3)
				t.Log(one.node, publication.SeenAt.Sub(publishedAt), publication.SeenAtStart)
				is.True(!publication.SeenAt.After(publishedAt))
			}
		})
	}
}

// frozenCall is a source whose process is paused for 6 s in the middle of a read of the rows.
type frozenCall struct {
	*zoneRouter
	freeze *atomic.Bool
	// thawAt is when the process continues, in nanoseconds.
	thawAt *atomic.Int64
	// loses is whether the read's connection breaks by then. That of the watch always does.
	loses bool
}

func (f *frozenCall) Configuration(ctx context.Context) (Reading, error) {
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

func (f *frozenCall) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := f.zoneRouter.Changes(ctx, after, hold)
	if left := time.Until(time.Unix(0, f.thawAt.Load())); left > 0 {
		wait.For(context.WithoutCancel(ctx), left)
		return Changes{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	return changes, err
}

// A version published while the router was paused in a read must not count as published when the
// router continued.
func TestVersionAgeAfterFrozenCall(t *testing.T) {
	for name, loses := range map[string]bool{"the answer is read late": false, "the answer is lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newPublishedZone()
				freeze, thawAt := &atomic.Bool{}, &atomic.Int64{}
				z.beforeStart = func(_ context.Context, running *zoneRouter) {
					running.follower.source = &frozenCall{running, freeze, thawAt, loses}
				}
				started := z.start(t.Context(), "a")
				time.Sleep(20 * time.Second)
				freeze.Store(true)
				time.Sleep(time.Second)
				is.True(!freeze.Load())
				publishedAt := time.Now()
				z.store.publish(3)
				time.Sleep(8 * time.Second)
				publication := started.newest()
				is.Equal(publication.Version, 3)
				t.Log(publication.SeenAt.Sub(publishedAt), publication.SeenAtStart)
				is.True(publication.SeenAt.Sub(publishedAt) <= watchTolerance)
			})
		})
	}
}

// limitedTable is a table that accepts a hundred entries in a transaction, as the store does.
type limitedTable struct{ *fakeStore }

func (t *limitedTable) Commit(ctx context.Context, tx protocol.Transaction) (protocol.TransactionResult, error) {
	if len(tx.Writes)+len(tx.Conditions) > 100 {
		return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "status 400")
	}
	return t.fakeStore.Commit(ctx, tx)
}

// The marks of more models than fit into one transaction must all be written.
func TestManyModelsGetMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		for i := range 100 {
			z.store.publishOf(ident.Model(fmt.Sprint("m", i)), 1)
		}
		z.publicationTable = &limitedTable{z.store}
		z.start(t.Context(), "a")
		time.Sleep(10 * time.Second)
		_, marked, err := z.store.Read(t.Context(), publicationPrefix+string(model)+"/"+markKey)
		is.NoErr(err)
		is.True(marked)
	})
}

// The first version of a model without a mark, published while no router ran, must count as
// published then.
func TestModelFirstPublishedWhileAllRoutersAreDown(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z, _ := publishedWhileDown(t)
			publishedAt := time.Now()
			z.store.publishOf(otherModel, 5)
			z.store.forget(z.store.revision())
			time.Sleep(4 * time.Second)
			started := z.start(t.Context(), "c")
			time.Sleep(2 * time.Second)
			publication := started.follower.replica.holder.View().Models[otherModel].Publications[0]
			t.Log(publication.SeenAt.Sub(publishedAt), publication.SeenAtStart)
			is.True(!publication.SeenAt.After(publishedAt))
		})
	}
}

// A mark must be ignored if the store's own clock was reset since, as by a power loss.
func TestMarkFromBeforeStoreClockResetIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z, publishedAt := publishedWhileDown(t)
		z.store.change(func() { z.store.started = time.Now().Add(-5 * time.Second) })
		started := z.start(t.Context(), "c")
		time.Sleep(5 * time.Second)
		publication := started.newest()
		t.Log(publication.SeenAt.Sub(publishedAt), publication.SeenAtStart)
		is.Equal(publication.Version, 3)
		is.True(publication.SeenAtStart || !publication.SeenAt.After(publishedAt)) // its age must not count as known
	})
}
