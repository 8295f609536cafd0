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

// placedRouter is a router of a test fleet.
type placedRouter struct {
	upstream.Peer
	recipients *recipients
}

// newPlacedRouters returns perZone routers of each zone, which all have each other as recipients.
func newPlacedRouters(regions region.Map, perZone int, zones ...ident.Zone) []placedRouter {
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
	var routers []placedRouter
	for _, peer := range peers {
		targets := &recipients{node: peer.Node, zone: peer.Zone, regions: regions}
		targets.set(peers)
		routers = append(routers, placedRouter{Peer: peer, recipients: targets})
	}
	return routers
}

// crossings counts the messages of one notification that leave a zone and a region.
type crossings struct{ zones, regions int }

// deliver brings a notification of a router to all that it reaches, except the router that is
// down, and returns how often each got it.
func deliver(regions region.Map, routers []placedRouter, sender placedRouter, down ident.Node) (got map[ident.Node]int, crossed crossings) {
	got = make(map[ident.Node]int)
	at := make(map[netip.AddrPort]placedRouter)
	for _, router := range routers {
		at[router.Addr] = router
	}
	var carry func(from placedRouter, messages []message)
	carry = func(from placedRouter, messages []message) {
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
			carry(to, to.recipients.relay(message.scope))
		}
	}
	carry(sender, sender.recipients.toAll())
	return got, crossed
}

// A notification must reach each router once and be sent once to each zone and region; with one
// region it is sent to each router.
func TestNotificationEntersEachZoneAndRegionOnce(t *testing.T) {
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
			routers := newPlacedRouters(tt.regions, tt.perZone, tt.zones...)
			for _, sender := range routers {
				for range relaysPerZone {
					got, crossed := deliver(tt.regions, routers, sender, "")
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

// A relay that is down may cost its region some notifications but not all.
func TestDeadRelayDoesNotIsolateItsRegion(t *testing.T) {
	regions := region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b"})
	routers := newPlacedRouters(regions, 3, "a1", "a2", "b1", "b2")
	for _, down := range routers {
		t.Run(string(down.Node), func(t *testing.T) {
			is := is.New(t)
			for _, sender := range routers {
				if sender.Node == down.Node {
					continue
				}
				reached := map[ident.Node]bool{}
				const notifications = 8
				for range notifications {
					got, _ := deliver(regions, routers, sender, down.Node)
					for node := range got {
						reached[node] = true
					}
				}
				is.Equal(len(reached), len(routers)-2) // all but the sender and the dead one
			}
		})
	}
}

// With several regions the second sending must use other relays; with one region there is none.
func TestSecondSendUsesOtherRelays(t *testing.T) {
	three := region.NewMap(map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b", "c1": "c"})
	tests := []struct {
		name    string
		regions region.Map
		want    int
	}{
		{"one region", region.Map{}, 0},
		{"three regions", three, 3}, // the region's other zone, and two regions
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			routers := newPlacedRouters(tt.regions, 2, "a1", "a2", "b1", "c1")
			first := routers[0].recipients.toAll()
			again := routers[0].recipients.toNextRelays()
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
