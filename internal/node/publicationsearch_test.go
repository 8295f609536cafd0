package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The search for the oldest changes that the store keeps must be retried until it is answered.
func TestUnansweredSearchIsRetried(t *testing.T) {
	for _, count := range []int32{1, 2, 5} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newZone()
			z.store.publish(1)
			for range 100 {
				z.store.publish(1)
			}
			z.store.forget(z.store.revision())
			z.store.publish(3, 2)
			failures := &atomic.Int32{}
			failures.Store(count)
			z.beforeStart = func(_ context.Context, running *zoneRouter) {
				running.follower.source = &failingSearch{running, failures}
			}
			started := z.start(t.Context(), "a")
			time.Sleep(recheckWindow - time.Second)
			is.Equal(started.newest().Version, 3)
		})
	}
}

// A version published between an answer of the watch and the recheck must be left to the watch,
// which can give it an age.
func TestRecheckLeavesNewChangesToWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		published := &atomic.Bool{}
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.source = &publishBeforeRecheck{running, published}
		}
		first := z.start(t.Context(), "a")
		time.Sleep(5 * time.Second)
		is.True(published.Load())
		is.Equal(first.newest().Version, 3)
		is.True(!first.newest().SeenAtStart)
	})
}
