package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// threeRegions are regions a, b and c of two zones each, in the names of test routers.
var threeRegions = region.NewMap(map[ident.Zone]ident.Region{
	"za1": "a", "za2": "a", "zb1": "b", "zb2": "b", "zc1": "c", "zc2": "c",
})

// startRegions starts routers of all three regions, the first of all in zone za1, and lets
// them settle.
func startRegions(t *testing.T) *zone {
	t.Helper()
	z := newZone()
	z.regions = threeRegions
	for number := range 4 {
		for _, place := range []string{"a1", "b1", "c1", "a2", "b2", "c2"} {
			z.start(t.Context(), ident.Node(fmt.Sprintf("%d-%s", number, place)))
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	z.reads()
	return z
}

// partition cuts a region off from the others, or from nobody, and from the store as well.
func (z *zone) partition(lone ident.Region, store bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.partitioned = func(a, b ident.Zone) bool {
		return lone != "" && (threeRegions.Of(a) == lone) != (threeRegions.Of(b) == lone)
	}
	for _, running := range z.routers {
		running.cutOff = store && lone != "" && threeRegions.Of(running.follower.routerList.zone) == lone
	}
}

// routersIn returns the routers of a region.
func (z *zone) routersIn(place ident.Region) []*zoneRouter {
	var routers []*zoneRouter
	for _, running := range z.routers {
		if threeRegions.Of(running.follower.routerList.zone) == place {
			routers = append(routers, running)
		}
	}
	return routers
}

// A region that is cut off from the others for long goes on with the store, by one reader,
// and goes back to the first router of all when it is reached again.
func TestPartitionedRegionReadsStore(t *testing.T) {
	for _, lone := range []ident.Region{"a", "b"} { // with the first router of all, and without
		t.Run(string(lone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := startRegions(t)
				z.partition(lone, false)
				time.Sleep(20 * time.Second)
				z.writeConfiguration(5)
				time.Sleep(1500 * time.Millisecond)
				z.requireVersion(t, 5)
				z.reads()
				time.Sleep(20 * time.Second)
				_, by := z.reads()
				readers := map[ident.Region]int{}
				for node, reads := range by {
					if reads > 10 {
						readers[threeRegions.Of(z.routers[node].follower.routerList.zone)]++
					}
				}
				is.Equal(readers[lone], 1)
				is.Equal(len(readers), 2) // the region, and one for all others
				z.partition("", false)
				time.Sleep(20 * time.Second)
				z.reads()
				time.Sleep(10 * time.Second)
				total, by := z.reads()
				is.Equal(by["0-a1"], total)
			})
		})
	}
}

// A region that is cut off from all, the store as well, keeps its age and does not take old
// news for new; the others go on, and it follows them once it is reached again.
func TestIsolatedRegionKnowsAgeOfState(t *testing.T) {
	for _, lone := range []ident.Region{"a", "c"} {
		t.Run(string(lone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := startRegions(t)
				z.partition(lone, true)
				time.Sleep(10 * time.Second)
				z.writeConfiguration(5)
				time.Sleep(2 * time.Second)
				for _, place := range []ident.Region{"a", "b", "c"} {
					for _, running := range z.routersIn(place) {
						age := running.follower.replica.holder.View().Age(time.Now())
						is.Equal(running.version() == 5, place != lone)
						is.Equal(age < 2*time.Second, place != lone)
					}
				}
				z.partition("", false)
				time.Sleep(2500 * time.Millisecond)
				z.requireVersion(t, 5)
			})
		})
	}
}
