package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// turnedAway refuses the first lists of naming rows with a 429, as a store does for a moment
// that gets more calls than it takes, and for which it is in no disruption.
type turnedAway struct {
	*fakeStore
	refusals *atomic.Int32
}

func (t *turnedAway) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	if prefix != routerPrefix && t.refusals.Add(-1) >= 0 {
		return protocol.RowList{}, fault.New(fault.RateLimited, "turned away")
	}
	return t.fakeStore.List(ctx, prefix, limit)
}

// A router that starts alone is turned away when it asks for the naming rows, and meets the
// version. A moment later its watch reads the rows: they tell how old the version is, and
// requests may not begin on older weights for as long as if it were named just now.
func TestAnAgeThatIsLearntLaterCounts(t *testing.T) {
	for _, refusals := range []int32{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newNamedZone()
			z.start(t.Context(), "a")
			time.Sleep(3 * time.Second)
			z.store.name(3)
			time.Sleep(time.Second)
			z.kill("a")
			time.Sleep(6 * time.Second)
			lists := &atomic.Int32{}
			lists.Store(refusals)
			z.namingTable = &turnedAway{fakeStore: z.store, refusals: lists}
			started := z.start(t.Context(), "b")
			time.Sleep(4 * time.Second)
			naming := started.newest()
			is.Equal(naming.Version, 3)
			is.True(lists.Load() < 0) // the rows were read
			if age := time.Since(naming.SeenAt); naming.Met || age < 10*time.Second {
				t.Errorf("with %d refusals the version, named 11 s ago, counts as %v old, met: %t", refusals, age, naming.Met)
			}
		})
	}
}
