package health

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// checkersPerEngine is the number of routers that check an engine, so that each engine is still
// checked while one of them is down.
const checkersPerEngine = 2

// Checks reports whether a router is one of those that check an engine. All checkers agree on
// them by rendezvous hashing, so that the checks of each one follow the engines per checker.
func Checks(node ident.Node, checkers []ident.Node, instance ident.Incarnation) bool {
	key := xxhash.Sum64String(string(instance))
	own := rendezvous.Score(key, ident.Engine(node))
	above := 0
	for _, other := range checkers {
		if other == node {
			continue
		}
		score := rendezvous.Score(key, ident.Engine(other))
		if rendezvous.RanksAbove(score, ident.Engine(other), own, ident.Engine(node)) {
			above++
		}
		if above >= checkersPerEngine {
			return false
		}
	}
	return true
}
