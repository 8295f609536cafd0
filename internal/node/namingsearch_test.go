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
			z.beforeStart = func(_ context.Context, running *zoneRouter) {
				running.follower.source = &slowSearch{running, questions}
			}
			started := z.start(t.Context(), "a")
			time.Sleep(recheckFor - time.Second)
			is.Equal(started.newest().Version, 3)
		})
	}
}

// A version is named between an answer of the watch and the second question about what was
// told: the watch tells it next, with its age.
func TestTheSecondQuestionLeavesNewChangesToTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		named := &atomic.Bool{}
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.source = &namedAmidRecheck{running, named}
		}
		first := z.start(t.Context(), "a")
		time.Sleep(5 * time.Second)
		is.True(named.Load())
		is.Equal(first.newest().Version, 3)
		is.True(!first.newest().SeenAtStart)
	})
}
