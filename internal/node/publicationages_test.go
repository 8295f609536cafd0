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

// sendsTo reports whether a router whose requests may start on older weights for a grace
// period sends one to an engine with a version of them.
func (r *zoneRouter) sendsTo(version int, grace time.Duration) bool {
	known := backend.NewRegistry(backend.Config{})
	known.ApplyList(time.Now(), []backend.Record{{Instance: "e", Service: "s", Revision: 1, Models: map[ident.Model]int{model: version}}})
	query := &backend.Query{Service: "s", Model: model}
	for _, publication := range r.follower.replica.holder.View().Models[model].Publications {
		query.Expiries = append(query.Expiries, backend.Expiry{
			Version: publication.Version, At: publication.SeenAt.Add(grace), Uncertain: publication.SeenAtStart,
		})
	}
	_, _, found := known.Pick(time.Now(), query)
	return found
}

// Publication rows that are read only after the operator's row must still end the grace
// period of older weights.
func TestLateReadOfPublicationRowsSetsVersionAge(t *testing.T) {
	const grace = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.publish(3)
		time.Sleep(time.Second)
		z.store.publish(4)
		time.Sleep(time.Second)
		z.kill("a")
		time.Sleep(4 * time.Second)
		lists := &atomic.Int32{}
		lists.Store(1)
		z.publicationTable = &refusingTable{fakeStore: z.store, noList: publicationPrefix, failLists: lists}
		started := z.start(t.Context(), "b")
		time.Sleep(500 * time.Millisecond)
		is.Equal(started.newest().Version, 4)
		is.True(!started.newest().SeenAtStart)
		is.True(time.Since(started.newest().SeenAt) >= 5*time.Second)
		is.True(!started.sendsTo(2, grace)) // version 3 was published 6.5 s ago
		is.True(started.sendsTo(3, grace))
		time.Sleep(time.Second)
		is.True(!started.sendsTo(3, grace))
		is.True(started.sendsTo(4, grace))
	})
}

// A router whose first read of the publication rows is refused must not count the version in
// the operator's row as published just now, once its watch has read the rows.
func TestVersionAgeIsFoundAfterRefusedRead(t *testing.T) {
	for _, refusals := range []int32{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newPublishedZone()
			z.start(t.Context(), "a")
			time.Sleep(3 * time.Second)
			z.store.publish(3)
			time.Sleep(time.Second)
			z.kill("a")
			time.Sleep(6 * time.Second)
			lists := &atomic.Int32{}
			lists.Store(refusals)
			z.publicationTable = &refusingTable{fakeStore: z.store, noList: publicationPrefix, failLists: lists}
			started := z.start(t.Context(), "b")
			time.Sleep(4 * time.Second)
			publication := started.newest()
			is.Equal(publication.Version, 3)
			is.True(lists.Load() < 0) // the rows were read
			if age := time.Since(publication.SeenAt); publication.SeenAtStart || age < 10*time.Second {
				t.Errorf("with %d refusals the version, published 11 s ago, counts as %v old, seen at start: %t", refusals, age, publication.SeenAtStart)
			}
		})
	}
}
