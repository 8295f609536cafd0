package node

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// placed is a router of a test fleet.
type placed struct {
	upstream.Peer
	audience *recipients
}

// fleetOf returns routers of these zones, so many of each, that all know each other.
func fleetOf(regions region.Map, perZone int, zones ...ident.Zone) []placed {
	var peers []upstream.Peer
	for number := range perZone {
		for index, zone := range zones {
			address := netip.AddrFrom4([4]byte{10, 0, byte(index), byte(number)})
			peers = append(peers, upstream.Peer{
				Node: ident.Node(fmt.Sprint(zone, "-", number)), Zone: zone,
				Addr: netip.AddrPortFrom(address, 7340), Revision: uint64(len(peers) + 1),
			})
		}
	}
	var routers []placed
	for _, peer := range peers {
		told := &recipients{node: peer.Node, zone: peer.Zone, regions: regions}
		told.know(peers)
		routers = append(routers, placed{Peer: peer, audience: told})
	}
	return routers
}

// crossings counts the messages of one notice that leave a zone and a region.
type crossings struct{ zones, regions int }

// deliver carries a notice of a router to all that it reaches, but for routers that are
// down, and returns how often each got it.
func deliver(regions region.Map, routers []placed, teller placed, down ident.Node) (got map[ident.Node]int, crossed crossings) {
	got = make(map[ident.Node]int)
	at := make(map[netip.AddrPort]placed)
	for _, router := range routers {
		at[router.Addr] = router
	}
	var carry func(from placed, messages []message)
	carry = func(from placed, messages []message) {
		for _, message := range messages {
			to := at[message.to]
			if from.Zone != to.Zone {
				crossed.zones++
			}
			if !regions.Same(from.Zone, to.Zone) {
				crossed.regions++
			}
			if to.Node == down {
				continue
			}
			got[to.Node]++
			carry(to, to.audience.passOn(message.scope))
		}
	}
	carry(teller, teller.audience.tell())
	return got, crossed
}

// A notice reaches each router once, whoever tells it, and crosses to each zone and region
// once; where there is one region it is sent to each router.
func TestANoticeCrossesToEachZoneAndRegionOnce(t *testing.T) {
	three := region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"})
	nine := region.NewMap(map[ident.Zone]ident.Region{
		"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b", "c1": "c", "c2": "c", "c3": "c",
	})
	tests := []struct {
		name    string
		regions region.Map
		perZone int
		zones   []ident.Zone
		want    crossings
	}{
		{"three regions of two zones", three, 4, []ident.Zone{"a1", "a2", "b1", "b2", "c1", "c2"}, crossings{5, 2}},
		{"three regions of three zones", nine, 4, []ident.Zone{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"}, crossings{8, 2}},
		{"a router a zone", three, 1, []ident.Zone{"a1", "a2", "b1", "b2", "c1", "c2"}, crossings{5, 2}},
		{"two regions", three, 3, []ident.Zone{"a1", "b1", "b2"}, crossings{2, 1}},
		{"one region", region.Map{}, 4, []ident.Zone{"a1", "a2", "b1"}, crossings{8, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			routers := fleetOf(tt.regions, tt.perZone, tt.zones...)
			for _, teller := range routers {
				for range relaysPerZone {
					got, crossed := deliver(tt.regions, routers, teller, "")
					is.Equal(crossed, tt.want)
					is.Equal(len(got), len(routers)-1)
					for _, times := range got {
						is.Equal(times, 1)
					}
				}
			}
		})
	}
}

// A relay that is down loses some notices, never all: those who tell take turns.
func TestADeadRelayDoesNotShutItsRegionOut(t *testing.T) {
	regions := region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b"})
	routers := fleetOf(regions, 3, "a1", "a2", "b1", "b2")
	for _, down := range routers {
		t.Run(string(down.Node), func(t *testing.T) {
			is := is.New(t)
			for _, teller := range routers {
				if teller.Node == down.Node {
					continue
				}
				reached := map[ident.Node]bool{}
				const notices = 8
				for range notices {
					got, _ := deliver(regions, routers, teller, down.Node)
					for node := range got {
						reached[node] = true
					}
				}
				is.Equal(len(reached), len(routers)-2) // all but the teller and the dead one
			}
		})
	}
}

// Where there is one region each router was told directly, and nothing is told again.
func TestWhoIsToldAgain(t *testing.T) {
	three := region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b", "c1": "c"})
	tests := []struct {
		name    string
		regions region.Map
		want    int
	}{
		{"one region", region.Map{}, 0},
		{"three regions", three, 3}, // the other zone of the region, and two regions
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			routers := fleetOf(tt.regions, 2, "a1", "a2", "b1", "c1")
			first := routers[0].audience.tell()
			again := routers[0].audience.again()
			is.Equal(len(again), tt.want)
			for _, message := range again {
				is.True(message.scope != toNobody)
				for _, earlier := range first {
					is.True(earlier.to != message.to) // by another relay
				}
			}
		})
	}
}
