package admission

import "time"

// Pump offers the waiting items to decide in fair order until nothing more
// can go, and returns the items given up on the way: those whose hold time
// has ended, and those that decide rejected. An item whose hold time ends at
// now is tried once more first. decide must not call the Queue.
//
// Each pool is tried until its first PoolBlocked, each line of a tenant until
// its first ItemBlocked, so a Pump without capacity costs one decision a pool.
// After Config.MaxHeldPerPump times ItemBlocked the Pump ends early, Unfinished
// is true, and the next Pump goes on with the lines not tried yet.
func (q *Queue) Pump(now time.Time, decide func(*Item) Result) []Refused {
	refused := q.expire(now, func(expires time.Time) bool { return expires.Before(now) })
	var blocked []PoolKey
	held := 0
	for held < q.config.MaxHeldPerPump {
		tried, aged := q.next()
		if tried == nil {
			break
		}
		verdict := decide(&tried.item)
		switch verdict.Action {
		case Dispatched:
			q.dispatch(now, tried, aged)
		case PoolBlocked:
			blocked = append(blocked, tried.item.Pool)
			q.setBlocked(tried.item.Pool, true)
		case ItemBlocked:
			held++
			q.aside = append(q.aside, tried.flow)
			tried.flow.pool.flows.remove(tried.flow)
			tried.flow.pool.level.refresh(tried.flow.pool)
		default:
			q.counters.Rejected++
			refused = append(refused, Refused{tried.item, verdict.Fault})
			q.drop(now, tried)
		}
	}
	for _, key := range blocked {
		q.setBlocked(key, false)
	}
	q.unfinished = held == q.config.MaxHeldPerPump
	if !q.unfinished {
		q.restoreAside()
	}
	return append(refused, q.Expire(now)...)
}

// Unfinished reports whether the last Pump ended before every line was tried.
func (q *Queue) Unfinished() bool { return q.unfinished }

// restoreAside puts the lines that were set aside, and still wait, back.
func (q *Queue) restoreAside() {
	for _, line := range q.aside {
		if line.count > 0 {
			line.pool.level.activate(line)
		}
	}
	clear(q.aside)
	q.aside = q.aside[:0]
}

// next returns the item whose turn it is, and whether it is out of turn for
// the starvation bound.
func (q *Queue) next() (*entry, bool) {
	if q.sinceAged >= agedSpacing-1 {
		if due := q.mostStarved(); due != nil {
			return due, true
		}
	}
	for _, candidate := range q.levels {
		if first, some := candidate.ready.top(); some {
			return first.flows.items[0].first, false
		}
	}
	return nil, false
}

// mostStarved returns the first item of the pool that was passed over most
// often, if it is due.
func (q *Queue) mostStarved() *entry {
	var most *pool
	var passedMost uint64
	for _, candidate := range q.levels {
		for element := candidate.starving.Front(); element != nil; element = element.Next() {
			waiting := element.Value.(*pool)
			passed := candidate.passed - waiting.mark
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

func (q *Queue) dispatch(now time.Time, gone *entry, aged bool) {
	from := gone.flow.pool.level
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
	q.drain(now, gone.item.Pool).served(now, gone.item.Cost)
	from.charge(gone.flow, gone.item.Cost)
	q.drop(now, gone)
}

func (q *Queue) setBlocked(key PoolKey, blocked bool) {
	for _, candidate := range q.levels {
		if found, waits := candidate.pools[key]; waits {
			found.blocked = blocked
			candidate.refresh(found)
		}
	}
}
