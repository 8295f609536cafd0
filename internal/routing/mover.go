package routing

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/scorer"
)

// transferLegs is the number of transfers of a move: export and import.
const transferLegs = 2

// mover decides whether the chosen engine imports the prefix from another
// permitted engine instead of recomputing it.
type mover struct {
	perToken  time.Duration
	minTokens float64
	fallback  time.Duration
}

// source returns the permitted engine to export from, or "". Only blocks of
// the same version can be moved: the salts of versions differ.
func (m mover) source(chosen *framework.Candidate, permitted []framework.Candidate) ident.Engine {
	slope := scorer.Slope(&chosen.Endpoint.Load, m.fallback)
	if m.perToken <= 0 || transferLegs*m.perToken >= slope {
		return ""
	}
	best, source := chosen.CreditTokens+m.minTokens, ident.Engine("")
	for index := range permitted {
		candidate := &permitted[index]
		if candidate.Version != chosen.Version || candidate.CreditTokens < best {
			continue
		}
		if candidate.CreditTokens > best || source == "" || candidate.Endpoint.Engine < source {
			best, source = candidate.CreditTokens, candidate.Endpoint.Engine
		}
	}
	return source
}
