package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A version published while no router ran must count as published then: with an age of 0 a router
// that starts would grant older weights a whole new grace period.
func TestVersionPublishedWhileAllRoutersAreDown(t *testing.T) {
	tests := []struct {
		name string
		// published are the versions published while all routers are down.
		published []int
	}{
		{"one version", []int{3}},
		{"two versions, one overwritten before any router starts", []int{3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newPublishedZone()
				z.start(t.Context(), "a")
				time.Sleep(20 * time.Millisecond)
				z.start(t.Context(), "b")
				time.Sleep(20 * time.Second)
				z.kill("a")
				z.kill("b")
				time.Sleep(500 * time.Millisecond)
				publishedAt := time.Now()
				for _, version := range tt.published {
					z.store.publish(version)
					time.Sleep(2 * time.Second)
				}
				time.Sleep(2 * time.Second)
				started := z.start(t.Context(), "c")
				time.Sleep(2 * time.Second)
				publication := started.newest()
				is.Equal(publication.Version, tt.published[len(tt.published)-1])
				is.True(!publication.SeenAt.After(publishedAt))
				is.True(publishedAt.Sub(publication.SeenAt) <= 4*time.Second)
				is.True(!publication.SeenAtStart)
			})
		})
	}
}
