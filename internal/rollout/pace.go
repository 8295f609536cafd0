package rollout

import (
	"cmp"
	"time"
)

const (
	// parallelShare changes one in so many engines at one time, rounded to the
	// nearest number. Small twins of three sites, mean worth of eight days: 0.614 for
	// one in five, 0.613 for one in four, 0.619 for one in seven, which differ by less
	// than two seeds do.
	parallelShare = 5
	// maxParallelShare keeps all but one in so many engines serving while others
	// change, whatever the deadline.
	maxParallelShare = 3
)

// ordersDue reports whether orders may leave by now.
func (p *Planner) ordersDue(now time.Time, updates []pendingUpdate) bool {
	return !p.config.DeferOrders || !now.Before(updates[0].deadline.Add(-p.leadTime(len(updates))))
}

// parallelism is how many of count engines are changed at one time, so that all are
// within a span if most engines can go on serving meanwhile.
func (p *Planner) parallelism(count int, span time.Duration) int {
	change := p.changeTime()
	span = max(span, change)
	needed := (time.Duration(count)*change + span - 1) / span
	usual := cmp.Or(p.config.Parallel, max((len(p.engines)+parallelShare/2)/parallelShare, 1))
	return max(usual, min(int(needed), len(p.engines)/maxParallelShare))
}

// leadTime is how long before the first deadline the change of count engines has
// to begin.
func (p *Planner) leadTime(count int) time.Duration {
	change := p.changeTime()
	parallel := p.parallelism(count, p.config.Deadline-p.config.Margin-change)
	rounds := (count + parallel - 1) / parallel
	return time.Duration(rounds)*change + p.config.Margin
}

// changeTime is how long an engine is mostly away for a change.
func (p *Planner) changeTime() time.Duration { return p.changes.mean }
