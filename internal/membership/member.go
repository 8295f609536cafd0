// Package membership keeps each router's view of the other routers: who is
// alive, suspected, leaving or dead, by SWIM-style gossip over UDP.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// State is what a router believes of a member.
type State uint8

const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members missed a probe and may refute it.
	Suspect
	// Leaving members have said that they stop; they own nothing.
	Leaving
	// Dead members did not refute a suspicion in time, or have left.
	Dead
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is one router as seen by another.
type Member struct {
	Node          ident.Node `cbor:"1,keyasint"`
	Zone          ident.Zone `cbor:"2,keyasint"`
	HTTPAddress   string     `cbor:"3,keyasint"`
	GossipAddress string     `cbor:"4,keyasint"`
	// Incarnation is raised only by the member itself: at start, and to refute
	// a rumour. The higher incarnation wins.
	Incarnation uint64 `cbor:"5,keyasint"`
	State       State  `cbor:"6,keyasint"`
	// FleetVersion is the fleet version the member has in force.
	FleetVersion uint64 `cbor:"7,keyasint"`
}

// View is an immutable snapshot of the membership, sorted by node name.
type View struct {
	Self    ident.Node
	Members []Member
}

// Owners returns the count members that own key, best first, by rendezvous
// hashing over the members that are alive or suspect. Every router with the
// same view gets the same answer; a member's change moves only its own keys.
func (v View) Owners(key string, count int) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	candidates := make([]scored, 0, len(v.Members))
	for _, member := range v.Members {
		if member.State == Alive || member.State == Suspect {
			candidates = append(candidates, scored{member, RendezvousScore(key, string(member.Node))})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Node, b.member.Node))
	})
	owners := make([]Member, 0, min(count, len(candidates)))
	for _, candidate := range candidates[:min(count, len(candidates))] {
		owners = append(owners, candidate.member)
	}
	return owners
}

// RendezvousScore is the weight of a node for a key; the highest score owns it.
func RendezvousScore(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
