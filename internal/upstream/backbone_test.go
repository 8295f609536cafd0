package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// zoneOf returns the routers of a zone, of which the first by name are the longest running.
func zoneOf(zone ident.Zone, routers int) []upstream.Peer {
	var peers []upstream.Peer
	for index := range routers {
		peers = append(peers, upstream.Peer{
			Node: ident.Node(fmt.Sprintf("%s-%05d", zone, index)), Zone: zone, Addr: addr, Revision: uint64(index + 1),
		})
	}
	return peers
}

func nobodyDown(ident.Node) bool { return false }

// All routers must agree on the backbone, and it must not grow with the fleet. Routers that are
// known to be down are replaced by the next ones.
func TestBackboneIsTheFirstRoutersByName(t *testing.T) {
	is := is.New(t)
	zone := zoneOf("z", 400)
	backbone := upstream.Backbone(zone, nobodyDown)
	is.Equal(len(backbone), upstream.BackboneSize)
	is.Equal(backbone[0].Node, zone[0].Node)
	withoutFirst := upstream.Backbone(zone, func(node ident.Node) bool { return node == zone[0].Node })
	is.Equal(len(withoutFirst), upstream.BackboneSize)
	is.Equal(withoutFirst[0].Node, zone[1].Node)
	is.Equal(len(upstream.Backbone(zone[:3], nobodyDown)), 3)
}

// Leaves must pull from the backbone, spread over it, and have no duties for others.
func TestLeavesAreSpreadOverBackbone(t *testing.T) {
	for _, leaves := range []int{165, 368} {
		is := is.New(t)
		zone := zoneOf("z", upstream.BackboneSize+leaves)
		backbone := upstream.Backbone(zone, nobodyDown)
		children := make(map[ident.Node]int)
		for _, router := range zone[upstream.BackboneSize:] {
			leaf := upstream.NewChain(upstream.Config{})
			leaf.JoinBackbone(upstream.Leaf(router, "1"), backbone)
			is.True(leaf.Leaf())
			is.True(!leaf.First() && !leaf.FirstOfRegion() && leaf.Rank() > 0)
			source, isPeer := leaf.Next(start, 0).(upstream.Peer)
			is.True(isPeer)
			children[source.Node]++
			for _, peer := range backbone {
				leaf.RecordPull(start, peer.Node, upstream.Failed{})
			}
			_, fromStore := leaf.Next(start, 0).(upstream.Store)
			is.True(fromStore)
			is.True(!leaf.First()) // it still reads for nobody else
		}
		mean := leaves / upstream.BackboneSize
		for _, count := range children {
			is.True(count <= 3*mean)
		}
		is.True(len(children) >= upstream.BackboneSize*3/4)
	}
}

// A leaf stays one when routers of the backbone restart.
func TestRestartedBackboneStaysBeforeLeaves(t *testing.T) {
	is := is.New(t)
	backbone := upstream.Backbone(zoneOf("z", 100), nobodyDown)
	leaf := upstream.NewChain(upstream.Config{})
	leaf.JoinBackbone(upstream.Leaf(upstream.Peer{Node: "l", Zone: "z", Addr: addr}, "1"), backbone)
	parent := leaf.Next(start, 0).(upstream.Peer)
	leaf.RecordPull(start, parent.Node, upstream.Restarted{Revision: 1 << 40})
	again := leaf.Next(start, 0).(upstream.Peer)
	is.Equal(again.Node, parent.Node)
	is.Equal(again.Revision, uint64(1<<40))
}

// While nobody supplies a large fleet, a few routers a second may read the whole list, not all at
// once; small fleets and configurations are read as before.
func TestReadsOfLongListsAreSpread(t *testing.T) {
	const interval = time.Second
	is := is.New(t)
	for _, routers := range []int{200, 400} {
		zone := zoneOf("z", routers)
		backbone := upstream.Backbone(zone, nobodyDown)
		dueIn := make(map[time.Duration]int)
		for index, router := range zone {
			chain := upstream.NewChain(upstream.Config{Stagger: time.Second})
			if index >= upstream.BackboneSize {
				router = upstream.Leaf(router, "1")
			}
			chain.JoinBackbone(router, backbone)
			dueIn[chain.ListReadAge(interval, false).Truncate(time.Second)]++
			is.True(chain.ReadAge(interval, false) <= 2300*time.Millisecond)
		}
		for _, count := range dueIn {
			is.True(count <= routers/8)
		}
	}
	is.Equal(chain(5, 1, 2).ListReadAge(interval, false), chain(5, 1, 2).ReadAge(interval, false))
}

// Routers of all zones must agree on the elders.
func TestEldersAreTheLongestRunningOfAllBackbones(t *testing.T) {
	is := is.New(t)
	routers := append(zoneOf("a", 50), zoneOf("b", 50)...)
	for index := range routers[50:] {
		routers[50+index].Revision += 1000
	}
	elders := upstream.Elders(routers)
	is.Equal(len(elders), 16)
	is.Equal(elders[0].Revision, uint64(1))
	is.Equal(elders[15].Revision, uint64(16))
	is.Equal(upstream.EldersDigest(nil), uint64(0))
	is.True(upstream.EldersDigest(elders) != upstream.EldersDigest(elders[:15]))
}
