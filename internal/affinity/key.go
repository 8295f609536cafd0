// Package affinity finds the release of a service at which a stream began, so that it goes on at
// no other one. The router that passes a stream's first event on sends a record of it to a few
// others, which any router finds by the stream's key.
//
// The package has no I/O and no clock: its inputs are messages, each with a time.
package affinity

import (
	"cmp"
	"crypto/sha256"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Key identifies a stream by the request that brought its first event. It is a hash, so that a
// key has the same size whatever the client sent as the id of its request.
type Key [16]byte

// KeyOf returns the key of a stream. Another tenant or target has other keys for the same request.
func KeyOf(tenant ident.Tenant, host, target string, request ident.Request) Key {
	sum := sha256.Sum256([]byte(string(tenant) + "\x00" + host + "\x00" + target + "\x00" + string(request)))
	return Key(sum[:])
}

// HolderCount is the number of routers besides the one that serves a stream that keep its record.
const HolderCount = 3

// Holders returns the routers that keep the record of a key, the best first, by rendezvous hashing:
// routers that know different routers mostly agree on them. It reorders the given slice.
func Holders(key Key, routers []netip.AddrPort) []netip.AddrPort {
	scores := make(map[netip.AddrPort]uint64, len(routers))
	for _, router := range routers {
		data := append(key[:], router.String()...)
		scores[router] = xxhash.Sum64(data)
	}
	slices.SortFunc(routers, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), a.Compare(b))
	})
	return routers[:min(len(routers), HolderCount)]
}

// Origin is where a stream began.
type Origin struct {
	Service ident.Service `cbor:"1,keyasint"`
	Release ident.Release `cbor:"2,keyasint"`
}
