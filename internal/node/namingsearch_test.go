package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The store has forgotten the changes after the last one that is known, and is slow to tell
// those that it keeps: the search for them is made again, until it is answered.
func TestASearchThatGetsNoAnswerIsMadeAgain(t *testing.T) {
	for _, late := range []int32{1, 2, 5} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newZone()
			z.store.name(1)
			for range 100 {
				z.store.name(1)
			}
			z.store.forget(z.store.revision())
			z.store.name(3, 2)
			questions := &atomic.Int32{}
			questions.Store(late)
			z.guard = func(_ context.Context, running *zoneRouter) {
				running.follower.source = &slowSearch{running, questions}
			}
			started := z.start(t.Context(), "a")
			time.Sleep(recheckFor - time.Second)
			is.Equal(started.newest().Version, 3)
		})
	}
}
