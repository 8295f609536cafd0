package detour

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Peer is a router that may help.
type Peer struct {
	Addr netip.AddrPort
	// Near is whether it lies in this router's region.
	Near bool
}

// avoidTime is how long a router that could not help is not asked again while there are others.
const avoidTime = time.Second

// Helpers remembers which routers recently could not help. It is not safe for concurrent use.
type Helpers struct {
	avoidUntil map[netip.AddrPort]time.Time
}

// NewHelpers returns Helpers that avoid nobody.
func NewHelpers() *Helpers { return &Helpers{avoidUntil: make(map[netip.AddrPort]time.Time)} }

// Avoid records that a router could not help.
func (h *Helpers) Avoid(now time.Time, peer netip.AddrPort) {
	h.avoidUntil[peer] = now.Add(avoidTime)
	for other, until := range h.avoidUntil {
		if !now.Before(until) {
			delete(h.avoidUntil, other)
		}
	}
}

// Order returns the routers in the order in which to ask them: those that were not avoided first,
// near ones before others. The order is random otherwise, which spreads the load.
func (h *Helpers) Order(now time.Time, random *rand.Rand, peers []Peer) []netip.AddrPort {
	var ranked [4][]netip.AddrPort
	for _, peer := range peers {
		rank := 0
		if !peer.Near {
			rank++
		}
		if now.Before(h.avoidUntil[peer.Addr]) {
			rank += 2
		}
		ranked[rank] = append(ranked[rank], peer.Addr)
	}
	ordered := make([]netip.AddrPort, 0, len(peers))
	for _, same := range ranked {
		random.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
		ordered = append(ordered, same...)
	}
	return ordered
}
