// Package rendezvous ranks engines for a prompt by highest-random-weight
// hashing of the prompt's leading blocks, so that all routers agree on an engine
// without communication, also right after their start.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Key returns the ranking key of a request: the leading blocks under its
// preferred version. A prompt without a whole block has nothing to reuse; its
// key is the request's identifier and shared is false.
func Key(request *framework.Request) (key uint64, shared bool) {
	if len(request.Versions) > 0 {
		if root, ok := request.Chains[request.Versions[0]].Root(); ok {
			return uint64(root), true
		}
	}
	return xxhash.Sum64String(string(request.ID)), false
}

// Score returns the weight of an engine for a key; the engine with the highest
// is the home.
func Score(key uint64, engine ident.Engine) uint64 {
	mixed := xxhash.Sum64String(string(engine)) ^ key
	mixed ^= mixed >> 30
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 27
	mixed *= 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// RanksAbove reports whether the first engine ranks above the second. Engine names
// break ties, so the input order never matters.
func RanksAbove(firstScore uint64, first ident.Engine, secondScore uint64, second ident.Engine) bool {
	if firstScore != secondScore {
		return firstScore > secondScore
	}
	return first < second
}
