package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

var regions = region.NewMap(map[ident.Zone]ident.Region{
	"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c", "d1": "d",
})

// routersOfAllZones returns routers of each zone in turn, the longest running first.
func routersOfAllZones(routers int) []upstream.Peer {
	zones := []ident.Zone{"b1", "a2", "c1", "c2", "a1", "b2", "d1"}
	var peers []upstream.Peer
	for index := range routers {
		revision := uint64(index + 1)
		peers = append(peers, upstream.Peer{
			Node: ident.Node(fmt.Sprint("n", revision)), Zone: zones[index%len(zones)], Addr: addr, Revision: revision,
		})
	}
	return peers
}

// joined returns the chain of one of the routers.
func joined(self upstream.Peer, peers []upstream.Peer) *upstream.Chain {
	chain := upstream.NewChain(upstream.Config{Regions: regions})
	chain.Join(self, peers)
	return chain
}

// State crosses to each region once, and within it to each zone once.
func TestStateCrossesToEachRegionOnce(t *testing.T) {
	is := is.New(t)
	peers := routersOfAllZones(42)
	between := map[[2]ident.Region]int{}
	zones, readers := 0, 0
	for _, self := range peers {
		source, pulls := joined(self, peers).Next(start, 0).(upstream.Peer)
		if !pulls {
			readers++
			continue
		}
		is.True(source.Revision < self.Revision) // no cycle
		if source.Zone != self.Zone {
			zones++
		}
		if !regions.Same(source.Zone, self.Zone) {
			between[[2]ident.Region{regions.Of(source.Zone), regions.Of(self.Zone)}]++
		}
	}
	is.Equal(readers, 1)
	is.Equal(between, map[[2]ident.Region]int{{"b", "a"}: 1, {"b", "c"}: 1, {"b", "d"}: 1})
	is.Equal(zones, 6)
}

// A router whose nearer peers are down pulls from its region, then from other regions.
func TestPeersOfSameRegionComeFirst(t *testing.T) {
	peers := routersOfAllZones(12) // n12 and n5 are in a1, n2 and n9 in a2
	tests := []struct {
		name string
		down []ident.Node
		want ident.Node
	}{
		{"none down", nil, "n5"},
		{"its zone down", []ident.Node{"n5"}, "n2"},
		{"a router of the other zone down too", []ident.Node{"n5", "n2"}, "n9"},
		{"its region down", []ident.Node{"n5", "n2", "n9"}, "n1"},
		{"the first router down too", []ident.Node{"n5", "n2", "n9", "n1"}, "n3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			chain := joined(peers[11], peers)
			is.Equal(peers[11].Zone, ident.Zone("a1"))
			for _, node := range tt.down {
				chain.RecordPull(start, node, upstream.Failed{})
			}
			next, pulls := chain.Next(start, 0).(upstream.Peer)
			is.True(pulls)
			is.Equal(next.Node, tt.want)
		})
	}
}

// Each region has one leader, replaced by the next router when it is down. If there is only
// one region, each zone has one.
func TestOneLeaderPerRegion(t *testing.T) {
	peers := routersOfAllZones(21)
	tests := []struct {
		name    string
		regions region.Map
		down    ident.Node
		want    []ident.Node
	}{
		{"several regions", regions, "", []ident.Node{"n1", "n2", "n3", "n7"}},
		{"one is down", regions, "n2", []ident.Node{"n1", "n2", "n3", "n5", "n7"}},
		{"one region", region.Map{}, "", []ident.Node{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var leaders []ident.Node
			for _, self := range peers {
				chain := upstream.NewChain(upstream.Config{Regions: tt.regions})
				chain.Join(self, peers)
				chain.RecordPull(start, tt.down, upstream.Failed{})
				if chain.FirstOfRegion() {
					leaders = append(leaders, self.Node)
				}
			}
			is.Equal(leaders, tt.want)
		})
	}
}

// A restarted peer of the region comes after this router, which then is the first.
func TestRestartedPeerOfRegionRanksLast(t *testing.T) {
	is := is.New(t)
	peers := routersOfAllZones(12)
	chain := joined(peers[4], peers) // n5 of a1, after n2 of a2
	is.True(!chain.FirstOfRegion())
	chain.RecordPull(start, "n2", upstream.Restarted{Revision: 99})
	is.True(chain.FirstOfRegion())
	is.True(!chain.First()) // n1 of another region still reads the store
	next, pulls := chain.Next(start.Add(time.Second), 0).(upstream.Peer)
	is.True(pulls)
	is.Equal(next.Node, ident.Node("n1"))
}
