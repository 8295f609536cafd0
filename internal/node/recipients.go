package node

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/fieldpond/fieldpond/internal/detour"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// scope is to which routers the receiver of a notification relays it.
type scope uint8

const (
	// toNobody is for notifications that the sender sends to each router itself.
	toNobody scope = iota
	// toZone is for those that the receiver relays in its zone.
	toZone
	// toRegion is for those that the receiver relays in its region.
	toRegion
)

// message is one datagram of a notification.
type message struct {
	to    netip.AddrPort
	scope scope
}

// relaysPerZone is how many routers of a zone, the longest running ones, may relay
// notifications. Senders rotate among them, so that a dead one loses only a part.
const relaysPerZone = 2

// recipients are the routers that get a router's notifications. With several regions a
// notification is sent once to each region and zone and relayed there; with one region it is sent
// to each router directly. It is safe for concurrent use.
type recipients struct {
	node    ident.Node
	zone    ident.Zone
	regions region.Map

	mu sync.Mutex
	// all are the other routers, sameZone those of this zone.
	all, sameZone []netip.AddrPort
	// helpers are all of them, as this router may ask them for connections.
	helpers []detour.Peer
	// otherZones are the relays of the other zones of this region, otherRegions those of the
	// other regions.
	otherZones   map[ident.Zone][]netip.AddrPort
	otherRegions map[ident.Region][]netip.AddrPort
	// turn selects the relays; it rises with each notification.
	turn int
}

// set replaces the routers.
func (r *recipients) set(peers []upstream.Peer) {
	peers = slices.DeleteFunc(slices.Clone(peers), func(peer upstream.Peer) bool { return peer.Node == r.node })
	slices.SortFunc(peers, upstream.ByRevision)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all, r.sameZone, r.helpers = nil, nil, make([]detour.Peer, 0, len(peers))
	r.otherZones, r.otherRegions = make(map[ident.Zone][]netip.AddrPort), make(map[ident.Region][]netip.AddrPort)
	relays := make(map[ident.Zone]int)
	for _, peer := range peers {
		r.all = append(r.all, peer.Addr)
		r.helpers = append(r.helpers, r.helper(&peer))
		if peer.Zone == r.zone {
			r.sameZone = append(r.sameZone, peer.Addr)
			continue
		}
		if relays[peer.Zone]++; relays[peer.Zone] > relaysPerZone {
			continue
		}
		if peerRegion := r.regions.Of(peer.Zone); peerRegion != r.regions.Of(r.zone) {
			r.otherRegions[peerRegion] = append(r.otherRegions[peerRegion], peer.Addr)
		} else {
			r.otherZones[peer.Zone] = append(r.otherZones[peer.Zone], peer.Addr)
		}
	}
}

// helper returns a router as one to ask for connections.
func (r *recipients) helper(peer *upstream.Peer) detour.Peer {
	return detour.Peer{Addr: peer.Addr, Near: r.regions.Same(r.zone, peer.Zone)}
}

// helpersNow returns the other routers as those to ask for connections. The caller must not change
// them.
func (r *recipients) helpersNow() []detour.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.helpers
}

// others returns the addresses of the other routers.
func (r *recipients) others() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all
}

// has reports whether an address is that of one of the other routers.
func (r *recipients) has(router netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.all, router)
}

// count returns the number of the other routers.
func (r *recipients) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// toAll returns the messages that bring a notification of this router to all others.
func (r *recipients) toAll() []message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.regions.HasMultiple() {
		return direct(r.all)
	}
	r.turn++
	messages := r.regional()
	for _, relays := range r.otherRegions {
		messages = append(messages, message{to: relays[r.turn%len(relays)], scope: toRegion})
	}
	return messages
}

// toNextRelays returns the messages that send the same notification to the next relays, none with
// one region.
func (r *recipients) toNextRelays() []message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.regions.HasMultiple() {
		return nil
	}
	r.turn++
	var messages []message
	for _, relays := range r.otherZones {
		messages = append(messages, message{to: relays[r.turn%len(relays)], scope: toZone})
	}
	for _, relays := range r.otherRegions {
		messages = append(messages, message{to: relays[r.turn%len(relays)], scope: toRegion})
	}
	return messages
}

// relay returns the messages that relay a notification received with a scope.
func (r *recipients) relay(received scope) []message {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch received {
	case toZone:
		return direct(r.sameZone)
	case toRegion:
		r.turn++
		return r.regional()
	default:
		return nil
	}
}

// regional returns the messages to the routers of this region; the caller holds the mutex.
func (r *recipients) regional() []message {
	messages := direct(r.sameZone)
	for _, relays := range r.otherZones {
		messages = append(messages, message{to: relays[r.turn%len(relays)], scope: toZone})
	}
	return messages
}

// direct returns a message to each router that is not to be relayed.
func direct(addrs []netip.AddrPort) []message {
	messages := make([]message, 0, len(addrs))
	for _, addr := range addrs {
		messages = append(messages, message{to: addr})
	}
	return messages
}
