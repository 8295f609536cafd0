package upstream

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// BackboneSize is the number of routers of a zone that form its backbone in a large fleet. The
// backbone is the first routers of the zone by name, so that all routers agree on it after they
// have read as many rows. All other routers are leaves: they pull from the backbone, and no
// router orders itself by them. What a router reads and keeps of its peers therefore does not
// grow with the fleet.
const BackboneSize = 32

// LargeZone is the number of routers in a zone above which it has leaves. It is well above
// BackboneSize, so that a zone does not change between the two with every router.
const LargeZone = 2 * BackboneSize

// leafRevision is the bit of the revisions under which leaves order themselves: after all
// routers of the backbone.
const leafRevision = 1 << 63

// slowRevision is the bit of the revisions of routers with slow links, which the store does not
// reach.
const slowRevision = 1 << 62

// Ordered returns the revision by which a large fleet orders a router, given that of its row:
// routers with slow links come after all others, since the first ones read the store and supply the
// most. A smaller fleet reads its peers only once, and needs the order in which they joined.
func Ordered(revision uint64, slowLink bool) uint64 {
	if slowLink && revision != 0 {
		return revision | slowRevision
	}
	return revision
}

// Leaf returns a leaf as a peer. Its revision identifies its incarnation, as it does not depend
// on a row of its own.
func Leaf(peer Peer, incarnation string) Peer {
	peer.Revision = leafRevision | xxhash.Sum64String(string(peer.Node)+"\x00"+incarnation)
	return peer
}

// IsLeaf reports whether a revision is that of a leaf.
func IsLeaf(revision uint64) bool { return revision&leafRevision != 0 }

// Backbone returns the backbone of a zone among its routers, skipping those that are down.
func Backbone(zone []Peer, down func(ident.Node) bool) []Peer {
	up := slices.DeleteFunc(slices.Clone(zone), func(peer Peer) bool { return down(peer.Node) })
	slices.SortFunc(up, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return up[:min(len(up), BackboneSize)]
}

// Elders returns the longest running routers of all backbones, the oldest first. They may lead
// pools of limits.
func Elders(routers []Peer) []Peer {
	zones := make(map[ident.Zone][]Peer)
	for _, peer := range routers {
		zones[peer.Zone] = append(zones[peer.Zone], peer)
	}
	var elders []Peer
	for _, zone := range zones {
		elders = append(elders, Backbone(zone, func(ident.Node) bool { return false })...)
	}
	slices.SortFunc(elders, ByRevision)
	return elders[:min(len(elders), maxElders)]
}

// maxElders bounds the routers that may lead pools of limits in a large fleet.
const maxElders = 16

// EldersDigest identifies a list of elders; 0 stands for none.
func EldersDigest(elders []Peer) uint64 {
	if len(elders) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, peer := range elders {
		_, _ = digest.WriteString(string(peer.Node) + "\x00" + peer.Addr.String() + "\x00")
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, peer.Revision))
	}
	return max(digest.Sum64(), 1)
}
