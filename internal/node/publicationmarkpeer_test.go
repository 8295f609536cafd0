package node

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A mark must not cover a version that a router knows only from a peer that died before it wrote
// the version's row, while the router could not read the rows itself.
func TestMarkExcludesVersionKnownOnlyFromPeer(t *testing.T) {
	for _, uptime := range []time.Duration{2200 * time.Millisecond, 3 * time.Second, 4 * time.Second, 6 * time.Second, 9 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newPublishedZone()
			z.publicationTable = &refusingTable{fakeStore: z.store, noWrite: publicationPrefix + string(model) + "/3"}
			z.start(t.Context(), "a")
			time.Sleep(20 * time.Millisecond)
			fail := &atomic.Int32{}
			z.publicationTable = &refusingTable{fakeStore: z.store, noList: publicationPrefix, failLists: fail}
			z.start(t.Context(), "b")
			time.Sleep(20 * time.Second)
			publishedAt := time.Now()
			z.store.publish(3)
			time.Sleep(500 * time.Millisecond)
			fail.Store(1)
			z.kill("a")
			time.Sleep(uptime)
			z.kill("b")
			z.publicationTable = z.store
			time.Sleep(500 * time.Millisecond)
			started := z.start(t.Context(), "c")
			time.Sleep(2 * time.Second)
			publication := started.newest()
			is.Equal(publication.Version, 3)
			t.Logf("alone for %v: counts as published %v after it was", uptime, publication.SeenAt.Sub(publishedAt))
			is.True(!publication.SeenAt.After(publishedAt.Add(watchTolerance)))
		})
	}
}
