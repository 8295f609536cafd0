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

// startRegions starts routers of all three regions, the first of all in zone za1, and waits
// until their roles are stable.
func startRegions(t *testing.T) *zone {
	t.Helper()
	z := newZone()
	z.regions = threeRegions
	for number := range 4 {
		for _, suffix := range []string{"a1", "b1", "c1", "a2", "b2", "c2"} {
			z.start(t.Context(), ident.Node(fmt.Sprintf("%d-%s", number, suffix)))
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	z.reads()
	return z
}

// partition partitions a region from the others, or none if it is empty, and from the store as
// well if store is set.
func (z *zone) partition(isolated ident.Region, store bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.partitioned = func(a, b ident.Zone) bool {
		return isolated != "" && (threeRegions.Of(a) == isolated) != (threeRegions.Of(b) == isolated)
	}
	for _, running := range z.routers {
		running.cutOff = store && isolated != "" && threeRegions.Of(running.follower.routerList.zone) == isolated
	}
}

// routersIn returns the routers of a region.
func (z *zone) routersIn(wanted ident.Region) []*zoneRouter {
	var routers []*zoneRouter
	for _, running := range z.routers {
		if threeRegions.Of(running.follower.routerList.zone) == wanted {
			routers = append(routers, running)
		}
	}
	return routers
}

// A partitioned region reads the store by one router, and pulls from the first router of all
// again after the partition.
func TestPartitionedRegionReadsStore(t *testing.T) {
	for _, isolated := range []ident.Region{"a", "b"} { // with the first router of all, and without
		t.Run(string(isolated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := startRegions(t)
				z.partition(isolated, false)
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
				is.Equal(readers[isolated], 1)
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

// A region cut off from the others and the store must count its state as aging; the others
// continue, and it follows them again after the partition.
func TestIsolatedRegionKnowsAgeOfState(t *testing.T) {
	for _, isolated := range []ident.Region{"a", "c"} {
		t.Run(string(isolated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := startRegions(t)
				z.partition(isolated, true)
				time.Sleep(10 * time.Second)
				z.writeConfiguration(5)
				time.Sleep(2 * time.Second)
				for _, regionName := range []ident.Region{"a", "b", "c"} {
					for _, running := range z.routersIn(regionName) {
						age := running.follower.replica.holder.View().Age(time.Now())
						is.Equal(running.version() == 5, regionName != isolated)
						is.Equal(age < 2*time.Second, regionName != isolated)
					}
				}
				z.partition("", false)
				time.Sleep(2500 * time.Millisecond)
				z.requireVersion(t, 5)
			})
		})
	}
}
