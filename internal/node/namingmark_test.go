package node

// Users saw requests begin on old weights after a version was named while no router was
// there: five of seven were without power, two stood still, and the version was named in
// between. A router that started met it in its row, took it for one that was named just
// then, and let requests begin on older weights for the whole grace anew, up to 12.8 s after
// the version was acknowledged. In the log of such a play the version counted as met, with
// age 0, seconds after it was named; nothing that outlives the routers told them up to when
// all versions were known.

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestAVersionThatIsNamedWhileAllAreAwayCountsFromThen(t *testing.T) {
	tests := []struct {
		name string
		// named are the versions named while all are away.
		named []int
	}{
		{"one version", []int{3}},
		{"two versions, one of which no router ever sees", []int{3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newNamedZone()
				z.start(t.Context(), "a")
				time.Sleep(20 * time.Millisecond)
				z.start(t.Context(), "b")
				time.Sleep(20 * time.Second)
				z.kill("a")
				z.kill("b")
				time.Sleep(500 * time.Millisecond)
				namedAt := time.Now()
				for _, version := range tt.named {
					z.store.name(version)
					time.Sleep(2 * time.Second)
				}
				time.Sleep(2 * time.Second)
				started := z.start(t.Context(), "c")
				time.Sleep(2 * time.Second)
				naming := started.newest()
				is.Equal(naming.Version, tt.named[len(tt.named)-1])
				is.True(!naming.SeenAt.After(namedAt))
				is.True(namedAt.Sub(naming.SeenAt) <= 4*time.Second)
				is.True(!naming.SeenAtStart)
			})
		})
	}
}
