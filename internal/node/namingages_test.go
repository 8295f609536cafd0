package node

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// sendsTo reports whether a router whose requests may begin on older weights for a grace
// sends one to an engine with a version of them.
func (r *zoneRouter) sendsTo(version int, grace time.Duration) bool {
	known := backend.NewRegistry(backend.Config{})
	known.ApplyList(time.Now(), []backend.Record{{Instance: "e", Service: "s", Revision: 1, Models: map[ident.Model]int{model: version}}})
	query := &backend.Query{Service: "s", Model: model}
	for _, naming := range r.follower.replica.holder.View().Models[model].Publications {
		query.Expiries = append(query.Expiries, backend.Expiry{
			Version: naming.Version, At: naming.SeenAt.Add(grace), Uncertain: naming.SeenAtStart,
		})
	}
	_, _, found := known.Pick(time.Now(), query)
	return found
}

// A router starts, and its first read of the naming rows gets no answer: it meets the newest
// version in the row of the operator. The naming rows, which it reads later, tell that
// requests may not begin on older weights any more.
func TestNamingRowsThatAreReadLateTellTheAgeOfAVersion(t *testing.T) {
	const grace = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.name(3)
		time.Sleep(time.Second)
		z.store.name(4)
		time.Sleep(time.Second)
		z.kill("a")
		time.Sleep(4 * time.Second)
		lists := &atomic.Int32{}
		lists.Store(1)
		z.namingTable = &refusingTable{fakeStore: z.store, noList: namingPrefix, failLists: lists}
		started := z.start(t.Context(), "b")
		time.Sleep(500 * time.Millisecond)
		is.Equal(started.newest().Version, 4)
		is.True(!started.newest().SeenAtStart)
		is.True(time.Since(started.newest().SeenAt) >= 5*time.Second)
		is.True(!started.sendsTo(2, grace)) // version 3 was named 6.5 s ago
		is.True(started.sendsTo(3, grace))
		time.Sleep(time.Second)
		is.True(!started.sendsTo(3, grace))
		is.True(started.sendsTo(4, grace))
	})
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
			z.namingTable = &refusingTable{fakeStore: z.store, noList: namingPrefix, failLists: lists}
			started := z.start(t.Context(), "b")
			time.Sleep(4 * time.Second)
			naming := started.newest()
			is.Equal(naming.Version, 3)
			is.True(lists.Load() < 0) // the rows were read
			if age := time.Since(naming.SeenAt); naming.SeenAtStart || age < 10*time.Second {
				t.Errorf("with %d refusals the version, named 11 s ago, counts as %v old, met: %t", refusals, age, naming.SeenAtStart)
			}
		})
	}
}
