// Package flood passes notifications on to all routers of a large fleet along the connections
// over which they pull from each other, so that the cost of a sender follows the number of its
// neighbors and not the size of the fleet.
//
// Router is a state machine without I/O or clock. Copies that reach a router twice are dropped by
// their header; a lost datagram cuts off the routers behind it, which learn what lasts by their
// next pull.
package flood

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Header identifies one notification.
type Header struct {
	// Origin is the sender, a random number of its process.
	Origin uint64 `cbor:"1,keyasint"`
	// Number differs between the notifications of an origin.
	Number uint64 `cbor:"2,keyasint"`
	// Hops is the number of routers that have passed it on.
	Hops uint8 `cbor:"3,keyasint,omitempty"`
}

const (
	// childTTL is how long a router that pulls counts as a child after its last pull; each pull
	// is answered within less than half of that.
	childTTL = 4 * time.Second
	// maxChildren bounds the children, and with them the datagrams for one notification.
	maxChildren = 128
	// maxRemembered bounds the headers by which copies are detected.
	maxRemembered = 1024
	// maxHops ends the way of a notification among routers that drop no copies.
	maxHops = 24
)

// child is a router that pulls from this one.
type child struct {
	addr     netip.AddrPort
	pulledAt time.Time
}

// identity is what a header says of its notification.
type identity struct{ origin, number uint64 }

// Router floods notifications to the neighbors of one router. It is safe for concurrent use.
type Router struct {
	origin uint64

	mu       sync.Mutex
	parent   netip.AddrPort
	children []child
	number   uint64
	// seen has the last notifications, order their order.
	seen  map[identity]struct{}
	order []identity
}

// NewRouter returns a router without neighbors. The origin must differ between processes.
func NewRouter(origin uint64) *Router {
	return &Router{origin: origin, seen: make(map[identity]struct{})}
}

// SetParent sets the router that this one pulls from; the zero address means none.
func (r *Router) SetParent(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parent = addr
}

// ObserveChild records that a router pulled from this one.
func (r *Router) ObserveChild(now time.Time, addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children = slices.DeleteFunc(r.children, func(known child) bool {
		return known.addr == addr || now.Sub(known.pulledAt) > childTTL
	})
	if addr.IsValid() && len(r.children) < maxChildren {
		r.children = append(r.children, child{addr: addr, pulledAt: now})
	}
}

// Children returns the number of routers that pulled from this one recently.
func (r *Router) Children(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, known := range r.children {
		if now.Sub(known.pulledAt) <= childTTL {
			count++
		}
	}
	return count
}

// Send returns the header of a new notification of this router, and the routers to send it to.
func (r *Router) Send(now time.Time) (Header, []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	header := Header{Origin: r.origin, Number: r.number}
	r.remember(header)
	return header, r.neighbors(now, netip.AddrPort{})
}

// Receive returns whether a notification that a neighbor sent is new, and the routers to pass it
// on to with the returned header.
func (r *Router) Receive(now time.Time, from netip.AddrPort, header Header) (next Header, to []netip.AddrPort, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.remember(header) {
		return Header{}, nil, false
	}
	if header.Hops >= maxHops {
		return Header{}, nil, true
	}
	header.Hops++
	return header, r.neighbors(now, from), true
}

// remember records a notification and reports whether it is new; the caller holds the mutex.
func (r *Router) remember(header Header) bool {
	id := identity{origin: header.Origin, number: header.Number}
	if _, known := r.seen[id]; known {
		return false
	}
	if len(r.order) >= maxRemembered {
		delete(r.seen, r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
	r.seen[id] = struct{}{}
	r.order = append(r.order, id)
	return true
}

// neighbors returns the parent and the children but one router; the caller holds the mutex.
func (r *Router) neighbors(now time.Time, except netip.AddrPort) []netip.AddrPort {
	var neighbors []netip.AddrPort
	if r.parent.IsValid() && r.parent != except {
		neighbors = append(neighbors, r.parent)
	}
	for _, known := range r.children {
		if known.addr != except && known.addr != r.parent && now.Sub(known.pulledAt) <= childTTL {
			neighbors = append(neighbors, known.addr)
		}
	}
	return neighbors
}
