package backend

import (
	"slices"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Releases restricts the releases that an attempt may go to; the zero value allows all.
type Releases struct {
	// Only is the one allowed release, if it is set.
	Only ident.Release
	// Excluded are releases that are not allowed. The slice is shared: it is only read.
	Excluded []ident.Release
	// MaxBackends is the number of back ends of Only that may be used, the first by rendezvous
	// hashing with Seed; 0 means all. See Select.
	MaxBackends int
	Seed        uint64
}

// Restricted reports whether any release is forbidden.
func (r *Releases) Restricted() bool { return r.Only != "" || len(r.Excluded) > 0 }

// Allows reports whether back ends of a release are allowed. It ignores MaxBackends.
func (r *Releases) Allows(release ident.Release) bool {
	if r.Only != "" && release != r.Only {
		return false
	}
	return !slices.Contains(r.Excluded, release)
}

// Select returns those of the back ends of Only that may be used under MaxBackends. It reorders
// the given slice.
func (r *Releases) Select(instances []ident.Incarnation) []ident.Incarnation {
	if r.MaxBackends <= 0 || len(instances) <= r.MaxBackends {
		return instances
	}
	slices.SortFunc(instances, r.compare)
	return instances[:r.MaxBackends]
}

// compare orders back ends by their rank for the seed, best first.
func (r *Releases) compare(a, b ident.Incarnation) int {
	if a == b {
		return 0
	}
	first, second := ident.Engine(a), ident.Engine(b)
	if rendezvous.RanksAbove(rendezvous.Score(r.Seed, first), first, rendezvous.Score(r.Seed, second), second) {
		return -1
	}
	return 1
}
