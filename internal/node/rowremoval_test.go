package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// removalRefusedOnce refuses the first removal of a row, as a store does that limits its calls.
type removalRefusedOnce struct {
	*fakeStore
	refused bool
}

func (t *removalRefusedOnce) Commit(ctx context.Context, tx protocol.Transaction) (protocol.TransactionResult, error) {
	if tx.Writes[0].Delete && !t.refused {
		t.refused = true
		return protocol.TransactionResult{}, fault.New(fault.RateLimited, "rate limit exceeded")
	}
	return t.fakeStore.Commit(ctx, tx)
}

// A stopping router retries the removal of its row if the store refuses it: a row that stays
// would be counted by all others for good.
func TestRefusedRowRemovalIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.routerList.table = &removalRefusedOnce{fakeStore: z.store}
		}
		z.start(t.Context(), "a")
		time.Sleep(time.Second)
		stopping := z.start(t.Context(), "b")
		time.Sleep(10 * time.Second)
		is.Equal(z.routers["a"].follower.replica.Routers(), 2)
		removal, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		z.kill("b")
		stopping.follower.routerList.leave(removal)
		time.Sleep(time.Minute)
		if routers := z.routers["a"].follower.replica.Routers(); routers != 1 {
			t.Errorf("%d routers are counted a minute after the other one has ended", routers)
		}
	})
}
