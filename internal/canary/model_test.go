package canary

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// The model connects Directors and Gates by a network that loses, delays and duplicates
// datagrams, and a store that may be slow. It checks the bounds by its own counts.

const (
	modelStep     = 10 * time.Millisecond
	modelService  = ident.Service("search")
	modelOld      = ident.Release("v1")
	modelNew      = ident.Release("v2")
	modelRollback = 5 * time.Second
	modelLease    = 3 * time.Second
)

var modelBounds = Bounds{Share: 0.1, Slack: 50, Rollback: modelRollback}

// modelRoute is a kind of request.
type modelRoute struct {
	name     string
	share    float64
	usual    time.Duration
	failures float64
	// cached is the fraction of the usual time for a cached prompt; the target has none
	// cached.
	cached float64
}

// fault makes back ends of either release answer badly for some time.
type fault struct {
	from, until time.Duration
	// on are the back ends, by index, of the target or of the others; nil means all.
	target bool
	on     []int
	route  string
	// failures is the fraction of answers that fail, slowdown the factor for the rest.
	failures, slowdown float64
	// slowFraction is the fraction of the answers that are slower; 0 means all.
	slowFraction float64
	// silent back ends give no answer; paused ones answer when the fault is over.
	silent, paused bool
	// load is the least number of runs under way at a back end for the fault to show.
	load int
	// bad marks the fault of a bad release.
	bad bool
}

// outage is an outage of a router, or of the holder if router is negative.
type outage struct {
	from, until time.Duration
	router      int
	// killed routers restart, frozen ones continue with their state; cut ones reach only
	// back ends and clients. A cut holder continues until its lease is over.
	killed, frozen, cut bool
}

// history is the input of the model.
type history struct {
	seed         uint64
	routers      int
	rate         float64
	duration     time.Duration
	old, new     int
	routes       []modelRoute
	faults       []fault
	outages      []outage
	loss         float64
	slowStore    [2]time.Duration
	burst        [2]time.Duration
	readInterval time.Duration
	hooks        hooks
	targetListed time.Duration
	// endsAt is when requests end, if it is set.
	endsAt time.Duration
	// ordersAt and backEnds return what is listed at a time after the first order.
	ordersAt func(since time.Duration) []Order
	backEnds func(since time.Duration) (old, fresh int)
}

type modelRouter struct {
	address     netip.AddrPort
	gate        *Gate
	incarnation uint64
	// nextReadAt is when it reads orders and back ends next.
	nextReadAt time.Duration
	// disturbedUntil is the end of its last outage.
	disturbedUntil time.Duration
	inbox          []datagram
	// listed is set once it has listed the target's back ends.
	listed bool
}

// datagram is a permit or report in transit.
type datagram struct {
	from   netip.AddrPort
	to     int
	permit *Permit
	report *Report
}

// result is what the model has counted.
type result struct {
	verdicts  []Phase
	finals    []State
	reason    string
	decidedAt time.Duration
	promoted  time.Duration
	// holderLost is when the holder was last lost, before the verdict.
	holderLost    time.Duration
	requests      int
	sent          int
	bad           int
	fiftiethBadAt time.Duration
	violations    []string
}

// event is a scheduled action.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model plays one history.
type model struct {
	history
	random  *rand.Rand
	epoch   time.Time
	now     time.Duration
	routers []*modelRouter
	events  events
	queued  int
	// state is the row in the store.
	state   State
	version uint64
	// directors are those of all routers, by index.
	directors   map[int]*Director
	holder      int
	fence       uint64
	leaseUntil  time.Duration
	busy        map[ident.Incarnation]int
	oldRecords  []backend.Record
	newRecords  []backend.Record
	instances   []ident.Incarnation
	result      result
	othersAfter time.Duration
}

func newModel(h history) *model {
	m := &model{
		history: h, random: rand.New(rand.NewPCG(h.seed, 31)), epoch: time.Unix(1_700_000_000, 0), leaseUntil: -1,
		directors: map[int]*Director{}, holder: -1, busy: map[ident.Incarnation]int{},
	}
	for index := range h.old {
		m.oldRecords = append(m.oldRecords, record(modelOld, index))
	}
	for index := range h.new {
		m.newRecords = append(m.newRecords, record(modelNew, index))
		m.instances = append(m.instances, m.newRecords[index].Instance)
	}
	for index := range h.routers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index / 250), byte(index%250 + 1)}), 7000)
		router := &modelRouter{address: address, nextReadAt: time.Duration(m.random.IntN(1000)) * time.Millisecond}
		m.routers = append(m.routers, router)
		m.restart(router)
		m.directors[index] = m.newDirector()
	}
	return m
}

func record(release ident.Release, index int) backend.Record {
	instance := ident.Incarnation(fmt.Sprintf("%s-%d", release, index))
	return backend.Record{Instance: instance, Service: modelService, Release: release, Slots: 24}
}

// restart gives a router a new incarnation.
func (m *model) restart(router *modelRouter) {
	router.incarnation = m.random.Uint64()
	router.gate = NewGate(GateConfig{Incarnation: router.incarnation, Bounds: modelBounds})
	router.gate.hooks = m.hooks
	router.inbox, router.listed = nil, false
}

func (m *model) time() time.Time { return m.epoch.Add(m.now) }

func (m *model) schedule(after time.Duration, do func()) {
	m.queued++
	heap.Push(&m.events, event{at: m.now + after, order: m.queued, do: do})
}

func (m *model) violationf(format string, args ...any) {
	if len(m.result.violations) < 3 {
		m.result.violations = append(m.result.violations, fmt.Sprintf("%v: ", m.now)+fmt.Sprintf(format, args...))
	}
}

// modelStart is when the order is written, after a warm-up.
const modelStart = 2 * time.Second

// play runs the history to some seconds after its deadline.
func (m *model) play() result {
	end := modelStart + m.duration + 7*time.Second
	for ; m.now < end; m.now += modelStep {
		m.step()
	}
	return m.result
}

// step runs everything that is due now.
func (m *model) step() {
	for len(m.events) > 0 && m.events[0].at <= m.now {
		heap.Pop(&m.events).(event).do()
	}
	m.applyOutages()
	m.lease()
	for index, router := range m.routers {
		m.readStore(index, router)
		m.receive(index, router)
	}
	m.stepDirectors()
	m.generateRequests()
}
