package admission

import "time"

// Pump offers the waiting items to decide in fair order until no more can be dispatched, and
// returns the refused ones: those whose hold time has ended, and those rejected by decide. An
// item whose hold time ends at now is tried once more first. decide must not call the Queue.
//
// Each pool is tried until its first PoolBlocked, each flow until its first ItemBlocked, so a
// Pump without capacity costs one decision a pool. After Config.MaxBlockedPerPump times
// ItemBlocked the Pump ends early, Unfinished is true, and the next Pump continues with the
// flows not tried yet.
func (q *Queue) Pump(now time.Time, decide func(*Item) Result) []Refused {
	refused := q.expire(now, func(expires time.Time) bool { return expires.Before(now) })
	var blockedPools []PoolKey
	blockedItems := 0
	for blockedItems < q.config.MaxBlockedPerPump {
		tried, aged := q.next()
		if tried == nil {
			break
		}
		result := decide(&tried.item)
		switch result.Action {
		case Dispatched:
			q.dispatch(now, tried, aged)
		case PoolBlocked:
			blockedPools = append(blockedPools, tried.item.Pool)
			q.setBlocked(tried.item.Pool, true)
		case ItemBlocked:
			blockedItems++
			q.blockedFlows = append(q.blockedFlows, tried.flow)
			tried.flow.pool.flows.remove(tried.flow)
			tried.flow.pool.level.refresh(tried.flow.pool)
		default:
			q.counters.Rejected++
			refused = append(refused, Refused{tried.item, result.Fault})
			q.drop(now, tried)
		}
	}
	for _, key := range blockedPools {
		q.setBlocked(key, false)
	}
	q.unfinished = blockedItems == q.config.MaxBlockedPerPump
	if !q.unfinished {
		q.restoreBlockedFlows()
	}
	return append(refused, q.Expire(now)...)
}

// Unfinished reports whether the last Pump ended before all flows were tried.
func (q *Queue) Unfinished() bool { return q.unfinished }

// restoreBlockedFlows makes the blocked flows that still have items ready again.
func (q *Queue) restoreBlockedFlows() {
	for _, line := range q.blockedFlows {
		if line.count > 0 {
			line.pool.level.activate(line)
		}
	}
	clear(q.blockedFlows)
	q.blockedFlows = q.blockedFlows[:0]
}

// next returns the next item, and whether it is due by the starvation bound.
func (q *Queue) next() (*entry, bool) {
	if q.sinceAged >= agedSpacing-1 {
		if due := q.mostStarved(); due != nil {
			return due, true
		}
	}
	for _, candidate := range q.levels {
		if first, found := candidate.ready.top(); found {
			return first.flows.items[0].first, false
		}
	}
	return nil, false
}

// mostStarved returns the first item of the pool that was passed most often, if it is due.
func (q *Queue) mostStarved() *entry {
	var most *pool
	var passedMost uint64
	for _, candidate := range q.levels {
		for element := candidate.starving.Front(); element != nil; element = element.Next() {
			waiting := element.Value.(*pool)
			passed := candidate.passed - waiting.passedAtDispatch
			if passed < agingInterval || passed <= passedMost {
				break
			}
			if waiting.heapIndex != notInHeap {
				most, passedMost = waiting, passed
				break
			}
		}
	}
	if most == nil {
		return nil
	}
	return most.flows.items[0].first
}

func (q *Queue) dispatch(now time.Time, dispatched *entry, aged bool) {
	from := dispatched.flow.pool.level
	q.counters.Dispatched++
	q.sinceAged = min(q.sinceAged+1, agedSpacing)
	if aged {
		q.counters.Aged++
		q.sinceAged = 0
	}
	for _, passed := range q.levels {
		if passed.priority > from.priority {
			passed.passed++
		}
	}
	q.throughputOf(now, dispatched.item.Pool).recordDispatch(now, dispatched.item.Cost)
	from.charge(dispatched.flow, dispatched.item.Cost)
	q.drop(now, dispatched)
}

func (q *Queue) setBlocked(key PoolKey, blocked bool) {
	for _, candidate := range q.levels {
		if found, waits := candidate.pools[key]; waits {
			found.blocked = blocked
			candidate.refresh(found)
		}
	}
}
