package admission

import (
	"container/list"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// flow is the first-in first-out queue of one tenant for one pool in one level.
type flow struct {
	tenant      *tenantShare
	pool        *pool
	first, last *entry
	cost        float64
	count       int
	heapIndex   int
}

// tenantShare is a tenant's account in one level. tag is its virtual time: the tokens
// dispatched for it, divided by its weight. The smallest tag goes first. A tenant that was idle
// starts at the level's time, so that it neither accumulates service nor pays for refused work.
type tenantShare struct {
	name      ident.Tenant
	weight    float64
	tag       float64
	count     int
	flows     []*flow
	heapIndex int
}

// pool has the waiting items of one pool in one level.
type pool struct {
	key       PoolKey
	level     *level
	flows     indexedHeap[*flow]
	cost      float64
	count     int
	heapIndex int
	// passedAtDispatch is level.passed at the last dispatch from the pool.
	passedAtDispatch uint64
	// starving is the pool's element of level.starving.
	starving *list.Element
	blocked  bool
}

// level is one priority class.
type level struct {
	priority int
	pools    map[PoolKey]*pool
	ready    indexedHeap[*pool]
	tenants  map[ident.Tenant]*tenantShare
	// longest orders tenants by backlog divided by weight, the largest first.
	longest     indexedHeap[*tenantShare]
	virtualTime float64
	weight      float64
	count       int
	// passed counts dispatches from more urgent levels.
	passed uint64
	// starving lists the pools, the most often passed first.
	starving *list.List
}

func newLevel(priority int) *level {
	return &level{
		priority: priority,
		pools:    make(map[PoolKey]*pool),
		tenants:  make(map[ident.Tenant]*tenantShare),
		starving: list.New(),
		ready: indexedHeap[*pool]{
			less:  func(a, b *pool) bool { return flowLess(a.flows.items[0], b.flows.items[0]) },
			index: func(p *pool) *int { return &p.heapIndex },
		},
		longest: indexedHeap[*tenantShare]{
			less:  func(a, b *tenantShare) bool { return a.backlog() > b.backlog() },
			index: func(t *tenantShare) *int { return &t.heapIndex },
		},
	}
}

func flowLess(a, b *flow) bool {
	if a.tenant.tag != b.tenant.tag {
		return a.tenant.tag < b.tenant.tag
	}
	return a.first.sequence < b.first.sequence
}

func (t *tenantShare) backlog() float64 { return float64(t.count) / t.weight }

// newest returns the tenant's latest entry.
func (t *tenantShare) newest() *entry {
	var newest *entry
	for _, line := range t.flows {
		if newest == nil || line.last.sequence > newest.sequence {
			newest = line.last
		}
	}
	return newest
}

// add appends an entry to its flow.
func (l *level) add(added *entry) {
	share := l.share(added.item)
	line := l.flow(share, added.item.Pool)
	added.flow = line
	added.previous = line.last
	if line.last != nil {
		line.last.next = added
	} else {
		line.first = added
	}
	line.last = added
	line.count++
	line.cost += added.item.Cost
	line.pool.count++
	line.pool.cost += added.item.Cost
	share.count++
	l.count++
	l.longest.moved(share)
	if line.count == 1 {
		l.activate(line)
	}
}

func (l *level) share(item Item) *tenantShare {
	share, known := l.tenants[item.Tenant]
	if !known {
		share = &tenantShare{name: item.Tenant, heapIndex: notInHeap}
		l.tenants[item.Tenant] = share
	}
	if share.count == 0 {
		share.weight = item.Weight
		share.tag = max(share.tag, l.virtualTime)
		l.weight += share.weight
		l.longest.add(share)
	}
	return share
}

func (l *level) flow(share *tenantShare, key PoolKey) *flow {
	for _, line := range share.flows {
		if line.pool.key == key {
			return line
		}
	}
	line := &flow{tenant: share, pool: l.pool(key), heapIndex: notInHeap}
	share.flows = append(share.flows, line)
	return line
}

func (l *level) pool(key PoolKey) *pool {
	if known, found := l.pools[key]; found {
		return known
	}
	created := &pool{key: key, level: l, heapIndex: notInHeap, passedAtDispatch: l.passed}
	created.flows = indexedHeap[*flow]{less: flowLess, index: func(f *flow) *int { return &f.heapIndex }}
	created.starving = l.starving.PushBack(created)
	l.pools[key] = created
	return created
}

func (l *level) activate(line *flow) {
	line.pool.flows.add(line)
	l.refresh(line.pool)
}

// refresh updates a pool's position among the ready ones.
func (l *level) refresh(changed *pool) {
	waiting := len(changed.flows.items) > 0 && !changed.blocked
	switch {
	case !waiting:
		l.ready.remove(changed)
	case changed.heapIndex == notInHeap:
		l.ready.add(changed)
	default:
		l.ready.moved(changed)
	}
}

// remove removes an entry from its flow, and what became empty.
func (l *level) remove(removed *entry) {
	line := removed.flow
	wasFirst := line.first == removed
	unlink(line, removed)
	line.count--
	line.cost -= removed.item.Cost
	line.pool.count--
	line.pool.cost -= removed.item.Cost
	line.tenant.count--
	l.count--
	if line.count == 0 {
		l.deactivate(line)
	} else if wasFirst {
		line.pool.flows.moved(line)
		l.refresh(line.pool)
	}
	l.updateTenant(line.tenant)
	if l.count == 0 {
		// The busy period is over: all tenants start equal again.
		l.virtualTime = 0
		clear(l.tenants)
	}
}

func unlink(line *flow, removed *entry) {
	if removed.previous != nil {
		removed.previous.next = removed.next
	} else {
		line.first = removed.next
	}
	if removed.next != nil {
		removed.next.previous = removed.previous
	} else {
		line.last = removed.previous
	}
	removed.previous, removed.next = nil, nil
}

func (l *level) deactivate(line *flow) {
	line.pool.flows.remove(line)
	for index, other := range line.tenant.flows {
		if other == line {
			line.tenant.flows = append(line.tenant.flows[:index], line.tenant.flows[index+1:]...)
			break
		}
	}
	l.refresh(line.pool)
	if line.pool.count == 0 {
		l.starving.Remove(line.pool.starving)
		delete(l.pools, line.pool.key)
	}
}

func (l *level) updateTenant(share *tenantShare) {
	if share.count > 0 {
		l.longest.moved(share)
		return
	}
	l.longest.remove(share)
	l.weight -= share.weight
	if share.tag <= l.virtualTime {
		delete(l.tenants, share.name)
	}
}

// charge accounts for a dispatch. The tenant's flows are removed from their heaps while its tag
// changes, because a heap cannot have several changed ranks at once.
func (l *level) charge(line *flow, cost float64) {
	share := line.tenant
	var moved []*flow
	for _, other := range share.flows {
		if other.heapIndex != notInHeap {
			moved = append(moved, other)
			other.pool.flows.remove(other)
			l.refresh(other.pool)
		}
	}
	start := max(share.tag, l.virtualTime-maxLag)
	l.virtualTime = max(l.virtualTime, start)
	share.tag = start + cost/share.weight
	for _, other := range moved {
		l.activate(other)
	}
	line.pool.passedAtDispatch = l.passed
	l.starving.MoveToBack(line.pool.starving)
}
