package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/wait"
)

// slowSource returns the first change of a long answer, and takes a second for that.
type slowSource struct {
	*zoneRouter
	// most is the number of changes that arrive at once.
	most int
}

// Changes implements Source.
func (s *slowSource) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := s.zoneRouter.Changes(ctx, after, hold)
	if err != nil || len(changes.Published) <= s.most {
		return changes, err
	}
	wait.For(ctx, time.Second)
	return Changes{
		Published: changes.Published[:1], StoreRevision: s.zone.store.firstChangeAfter(after), Partial: true, ReadFor: time.Second,
	}, nil
}

// firstChangeAfter returns the revision of the first publication after a revision.
func (s *fakeStore) firstChangeAfter(after uint64) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, publication := range s.history {
		if publication.revision > after {
			return publication.revision
		}
	}
	return s.version
}

// Guards against a newest version that waits for all changes before it, and against changes that a
// later router takes for known since a newer version is.
func TestNewestVersionIsKnownBeforeAllChangesAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.store.publishOf(otherModel, 1)
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			running.follower.source = &slowSource{zoneRouter: running, most: 4}
		}
		first := z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		for version := range 40 {
			z.store.publish(3 + version)
		}
		z.store.publishOf(otherModel, 8, 7)
		for version := range 20 {
			z.store.publish(43 + version)
		}
		z.store.publish(2)
		for waited := 0; first.newest().Version != 62 && waited < 15; waited++ {
			time.Sleep(time.Second)
		}
		is.Equal(first.newest().Version, 62)
		time.Sleep(3 * time.Second)                                                  // the rows are written
		is.True(first.follower.replica.holder.View().Models[otherModel].Version < 8) // in the middle
		z.kill("a")
		z.beforeStart = nil
		second := z.start(t.Context(), "b")
		time.Sleep(5 * time.Second)
		is.Equal(second.newest().Version, 62)
		is.Equal(second.follower.replica.holder.View().Models[otherModel].Version, 8)
	})
}
