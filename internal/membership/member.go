// Package membership maintains each router's view of the other routers (alive, suspect,
// leaving or dead) by SWIM-style gossip over UDP.
package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// State is the state of a member as another router sees it.
type State uint8

const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members did not answer a probe and may refute the suspicion.
	Suspect
	// Leaving members announced that they shut down; they own nothing.
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
	// Incarnation is raised only by the member itself, at start and to refute a rumour. The
	// higher incarnation wins.
	Incarnation uint64 `cbor:"5,keyasint"`
	State       State  `cbor:"6,keyasint"`
	// FleetVersion is the member's active fleet version.
	FleetVersion uint64 `cbor:"7,keyasint"`
}

// View is an immutable snapshot of the membership, sorted by node name.
type View struct {
	Self    ident.Node
	Members []Member
}

// Owners returns the count members that own key, best first, by rendezvous hashing over the
// members that are alive or suspect. Routers with the same view get the same result; a
// change of a member moves only its own keys.
func (v View) Owners(key string, count int) []Member {
	count = max(0, min(count, len(v.Members)))
	best := make([]scored, 0, count+1)
	for index := range v.Members {
		member := &v.Members[index]
		if member.State != Alive && member.State != Suspect {
			continue
		}
		candidate := scored{member, RendezvousScore(key, string(member.Node))}
		position := len(best)
		for position > 0 && candidate.before(best[position-1]) {
			position--
		}
		if position < count {
			best = slices.Insert(best, position, candidate)[:min(len(best)+1, count)]
		}
	}
	owners := make([]Member, 0, len(best))
	for _, candidate := range best {
		owners = append(owners, *candidate.member)
	}
	return owners
}

// scored is a member with its score for a key.
type scored struct {
	member *Member
	score  uint64
}

// before orders by score, the higher first, then by name.
func (s scored) before(other scored) bool {
	return s.score > other.score || (s.score == other.score && s.member.Node < other.member.Node)
}

// RendezvousScore returns the score of a node for a key; the highest score owns it.
func RendezvousScore(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
