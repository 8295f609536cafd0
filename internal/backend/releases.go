package backend

import (
	"slices"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Releases bounds the releases that an attempt may go to; the zero value allows all.
type Releases struct {
	// Only is the one release that is allowed, if it is set.
	Only ident.Release
	// Excluded are releases that are not allowed. The slice is shared: it is only read.
	Excluded []ident.Release
	// MaxBackends is the number of back ends of Only that may be used, which are the first by
	// rendezvous with Seed; 0 means all. See Narrow.
	MaxBackends int
	Seed        uint64
}

// Restricted reports whether anything is forbidden at all.
func (r *Releases) Restricted() bool { return r.Only != "" || len(r.Excluded) > 0 }

// Allows reports whether back ends of a release are allowed. Among is not looked at.
func (r *Releases) Allows(release ident.Release) bool {
	if r.Only != "" && release != r.Only {
		return false
	}
	return !slices.Contains(r.Excluded, release)
}

// Select returns those of the back ends of Only that may be used under Among. The given
// slice is put in another order.
func (r *Releases) Select(instances []ident.Incarnation) []ident.Incarnation {
	if r.MaxBackends <= 0 || len(instances) <= r.MaxBackends {
		return instances
	}
	slices.SortFunc(instances, r.compare)
	return instances[:r.MaxBackends]
}

// compare orders back ends by their rank for the seed, the first one first.
func (r *Releases) compare(a, b ident.Incarnation) int {
	if a == b {
		return 0
	}
	first, second := ident.Engine(a), ident.Engine(b)
	if rendezvous.Better(rendezvous.Score(r.Seed, first), first, rendezvous.Score(r.Seed, second), second) {
		return -1
	}
	return 1
}
