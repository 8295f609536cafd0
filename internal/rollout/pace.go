package rollout

import (
	"cmp"
	"time"
)

const (
	// parallelShare is the usual divisor of the engines that are changed at one time, rounded to
	// the nearest number.
	parallelShare = 5
	// maxParallelShare is the divisor that bounds the engines changed at one time to keep a
	// deadline; the others go on serving.
	maxParallelShare = 3
)

// ordersDue reports whether orders may be sent now. The updates must be sorted and not empty.
func (p *Planner) ordersDue(now time.Time, updates []pendingUpdate) bool {
	return !p.config.DeferOrders || !now.Before(updates[0].deadline.Add(-p.leadTime(len(updates))))
}

// parallelism is how many of count engines are changed at one time, so that all are changed within
// span if maxParallelShare allows it.
func (p *Planner) parallelism(count int, span time.Duration) int {
	change := p.changeTime()
	span = max(span, change)
	needed := (time.Duration(count)*change + span - 1) / span
	usual := cmp.Or(p.config.Parallel, max((len(p.engines)+parallelShare/2)/parallelShare, 1))
	return max(usual, min(int(needed), len(p.engines)/maxParallelShare))
}

// leadTime is how long before the first deadline the change of count engines has to begin.
func (p *Planner) leadTime(count int) time.Duration {
	change := p.changeTime()
	parallel := p.parallelism(count, p.config.Deadline-p.config.Margin-change)
	rounds := (count + parallel - 1) / parallel
	return time.Duration(rounds)*change + p.config.Margin
}

// changeTime is the mean time for which an engine is unavailable for a change.
func (p *Planner) changeTime() time.Duration { return p.changes.mean }
