package picker

import (
	"sync/atomic"

	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// RoundRobin picks the candidates in turn. It is the only stateful picker.
type RoundRobin struct{ picks atomic.Uint64 }

// Name implements framework.Picker.
func (*RoundRobin) Name() string { return "round-robin" }

// Pick implements framework.Picker.
func (p *RoundRobin) Pick(_ *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) int {
	return int((p.picks.Add(1) - 1) % uint64(len(candidates)))
}
