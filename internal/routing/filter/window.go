package filter

import (
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Window keeps the Size candidates that rank highest for the prompt's leading
// blocks, best first. Every router keeps the same ones, so a prefix's requests
// and cached blocks stay within them and the others need no score.
type Window struct {
	// Size is the number of candidates kept; zero keeps all, in their order.
	Size int
}

// Name implements framework.Filter.
func (Window) Name() string { return "window" }

// Filter implements framework.Filter.
func (w Window) Filter(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	if w.Size <= 0 || len(candidates) <= w.Size {
		return candidates
	}
	var top rendezvous.Top
	top.Reset(w.Size)
	key, _ := rendezvous.Key(request)
	for index := range candidates {
		engine := candidates[index].Endpoint.Engine
		top.Offer(rendezvous.Ranked{Score: rendezvous.Score(key, engine), Engine: engine, Index: int32(index)})
	}
	var kept [rendezvous.MaxTop]framework.Candidate
	ranked := top.Sorted()
	for position := range ranked {
		kept[position] = candidates[ranked[position].Index]
	}
	return candidates[:copy(candidates, kept[:len(ranked)])]
}
