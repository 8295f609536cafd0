package canary

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// The model joins one Director per holder and many Gates by a network that loses, delays
// and repeats datagrams, and a store that may be slow. Its own counts judge the promises.

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
	part     float64
	usual    time.Duration
	failures float64
	// cached is the part of the usual time in which a back end answers that has the
	// prompt; the target's have none.
	cached float64
}

// fault makes back ends of either release answer badly for some time.
type fault struct {
	from, until time.Duration
	// on are the back ends, by index, of the target or of the others; nil means all.
	target bool
	on     []int
	route  string
	// failures is the part of the answers that fail, times by what the rest is slower.
	failures, times float64
	// part is the part of the answers that are slower; 0 means all.
	part float64
	// silent back ends give no answer; paused ones give it when the fault is over.
	silent, paused bool
	// load is the number of runs under way at a back end from which the fault shows.
	load int
	// bad says that the answers are those of a bad release.
	bad bool
}

// outage is a trouble of a router, or of the holder if router is negative.
type outage struct {
	from, until time.Duration
	router      int
	// killed routers come back with a new life, frozen ones as they were; cut ones reach
	// nobody but back ends and clients. A cut holder goes on until its lease is over.
	killed, frozen, cut bool
}

// history is what happens in one play of the model.
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
	lookEvery    time.Duration
	hooks        hooks
	orders       []Order
	targetListed time.Duration
}

// modelRouter is one router of the model.
type modelRouter struct {
	address netip.AddrPort
	gate    *Gate
	life    uint64
	// lookAt is when it reads orders and back ends next.
	lookAt time.Duration
	// troubledUntil is the end of its last outage.
	troubledUntil time.Duration
	inbox         []datagram
	// listed says that it knows of the target's back ends.
	listed bool
}

// datagram is a permit or report on its way.
type datagram struct {
	at     time.Duration
	from   netip.AddrPort
	to     int
	permit *Permit
	report *Report
}

// result is what the model has counted.
type result struct {
	verdicts  []Phase
	reason    string
	at        time.Duration
	promoted  time.Duration
	requests  int
	sent      int
	bad       int
	fiftieth  time.Duration
	broken    []string
	reports   int
	bytesLeft int
}

// event is something that happens later.
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
	order   int
	// state is the row in the store.
	state   State
	version uint64
	// directors are those of the routers that have ever held the lease.
	directors   map[int]*Director
	holder      int
	fence       uint64
	leaseUntil  time.Duration
	busy        map[ident.Incarnation]int
	oldOnes     []backend.Record
	newOnes     []backend.Record
	instances   []ident.Incarnation
	result      result
	othersAfter time.Duration
	watch       func()
}

func newModel(h history) *model {
	m := &model{
		history: h, random: rand.New(rand.NewPCG(h.seed, 31)), epoch: time.Unix(1_700_000_000, 0), leaseUntil: -1,
		directors: map[int]*Director{}, holder: -1, busy: map[ident.Incarnation]int{},
	}
	for index := range h.old {
		m.oldOnes = append(m.oldOnes, record(modelOld, index))
	}
	for index := range h.new {
		m.newOnes = append(m.newOnes, record(modelNew, index))
		m.instances = append(m.instances, m.newOnes[index].Instance)
	}
	for index := range h.routers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index / 250), byte(index%250 + 1)}), 7000)
		router := &modelRouter{address: address, lookAt: time.Duration(m.random.IntN(1000)) * time.Millisecond}
		m.routers = append(m.routers, router)
		m.live(router)
	}
	return m
}

func record(release ident.Release, index int) backend.Record {
	instance := ident.Incarnation(fmt.Sprintf("%s-%d", release, index))
	return backend.Record{Instance: instance, Service: modelService, Release: release, Slots: 24}
}

// live gives a router a new life.
func (m *model) live(router *modelRouter) {
	router.life = m.random.Uint64()
	router.gate = NewGate(GateConfig{Life: router.life, Bounds: modelBounds})
	router.gate.hooks = m.hooks
	router.inbox, router.listed = nil, false
}

func (m *model) time() time.Time { return m.epoch.Add(m.now) }

func (m *model) later(after time.Duration, do func()) {
	m.order++
	heap.Push(&m.events, event{at: m.now + after, order: m.order, do: do})
}

func (m *model) brokenf(format string, args ...any) {
	if len(m.result.broken) < 3 {
		m.result.broken = append(m.result.broken, fmt.Sprintf("%v: ", m.now)+fmt.Sprintf(format, args...))
	}
}

// modelStart is when the order is written: everything runs for a while before.
const modelStart = 2 * time.Second

// play runs the history to some seconds after its deadline.
func (m *model) play() result {
	m.orders = append([]Order{{Service: modelService, Target: modelNew, Duration: m.duration, Revision: 7}}, m.orders...)
	end := modelStart + m.duration + 7*time.Second
	for ; m.now < end; m.now += modelStep {
		for len(m.events) > 0 && m.events[0].at <= m.now {
			heap.Pop(&m.events).(event).do()
		}
		m.trouble()
		m.lease()
		for index, router := range m.routers {
			m.look(index, router)
			m.receive(index, router)
		}
		m.direct()
		m.arrive()
		if m.watch != nil {
			m.watch()
		}
	}
	return m.result
}

// trouble begins and ends outages.
func (m *model) trouble() {
	for index := range m.outages {
		outage := &m.outages[index]
		if outage.from == m.now && outage.router < 0 {
			outage.router = max(m.holder, 0)
		}
		if outage.router < 0 || m.now < outage.from || m.now > outage.until {
			continue
		}
		router := m.routers[outage.router]
		router.troubledUntil = m.now
		if m.now == outage.until && outage.killed {
			m.live(router)
			router.lookAt = m.now
			delete(m.directors, outage.router)
			if m.holder == outage.router {
				m.holder = -1
			}
		}
	}
}

// hit reports whether a router has some outage now.
func (m *model) hit(router int, kind func(*outage) bool) bool {
	for index := range m.outages {
		outage := &m.outages[index]
		if outage.router == router && m.now >= outage.from && m.now < outage.until && kind(outage) {
			return true
		}
	}
	return false
}

func (m *model) stopped(router int) bool {
	return m.hit(router, func(o *outage) bool { return o.killed || o.frozen })
}

func (m *model) cut(router int) bool { return m.hit(router, func(o *outage) bool { return o.cut }) }

// lease keeps one holder, and gives the lease to another router after it ends. A holder
// that is cut off or wakes up learns of its loss only when its lease is over by its clock,
// or 200 ms after it woke up.
func (m *model) lease() {
	if m.holder >= 0 && !m.stopped(m.holder) && !m.cut(m.holder) && m.now <= m.leaseUntil {
		m.leaseUntil = m.now + modelLease
	}
	if m.now <= m.leaseUntil {
		return
	}
	if last, held := m.holder, m.directors[m.holder]; held != nil {
		wakes := modelStep
		for _, outage := range m.outages {
			if outage.router == last && m.now < outage.until {
				wakes = outage.until - m.now + 200*time.Millisecond
			}
		}
		if m.cut(last) {
			wakes = modelStep
		}
		m.later(wakes, func() {
			if m.holder != last {
				held.Hold(m.time(), 0)
			}
		})
	}
	next := m.random.IntN(len(m.routers))
	if m.stopped(next) || m.cut(next) {
		return
	}
	m.holder, m.leaseUntil = next, m.now+modelLease
	m.fence++
	if m.directors[next] == nil {
		m.directors[next] = NewDirector(DirectorConfig{Bounds: modelBounds})
		m.directors[next].hooks = m.hooks
		m.observe(m.directors[next])
	}
	m.directors[next].Hold(m.time(), m.fence)
}

// listed returns the orders and back ends that are in the store.
func (m *model) listed() ([]Order, []backend.Record) {
	records := slices.Clone(m.oldOnes)
	if m.now >= modelStart+m.targetListed {
		records = append(records, m.newOnes...)
	}
	if m.now < modelStart {
		return nil, records
	}
	return m.orders[:1], records
}

func (m *model) observe(director *Director) {
	orders, records := m.listed()
	addresses := make([]netip.AddrPort, 0, len(m.routers))
	for _, router := range m.routers {
		addresses = append(addresses, router.address)
	}
	director.Observe(m.time(), m.now, orders, records, addresses)
}

// storeSlow reports whether the store takes one to two seconds for an answer.
func (m *model) storeSlow() bool {
	return m.now >= m.slowStore[0] && m.now < m.slowStore[1]
}

// look lets a router read what is in the store.
func (m *model) look(index int, router *modelRouter) {
	if m.now < router.lookAt || m.stopped(index) || m.cut(index) {
		return
	}
	router.lookAt = m.now + m.lookEvery
	orders, records := m.listed()
	known, releases := Known{Orders: orders}, []ident.Release{modelOld}
	if m.state.Phase != 0 {
		known.States = []State{m.state}
	}
	if len(records) > len(m.oldOnes) {
		releases = append(releases, modelNew)
	}
	confirmedAt := m.time()
	m.later(m.storeDelay(), func() {
		router.listed = len(releases) > 1
		router.gate.Listed(m.time(), modelService, releases)
		router.gate.Know(m.time(), confirmedAt, known)
	})
	if director := m.directors[index]; director != nil {
		m.observe(director)
	}
}

func (m *model) storeDelay() time.Duration {
	if m.storeSlow() {
		return time.Duration(500+m.random.IntN(1000)) * time.Millisecond
	}
	return time.Duration(4+m.random.IntN(40)) * time.Millisecond
}

// send puts a datagram on its way.
func (m *model) send(sender int, letter datagram) {
	copies := 1
	if m.random.Float64() < 0.01 {
		copies = 2
	}
	for range copies {
		if m.random.Float64() < m.loss {
			continue
		}
		delay := time.Duration(1+m.random.IntN(20)) * time.Millisecond
		if m.random.Float64() < 0.01 {
			delay += time.Duration(m.random.IntN(3000)) * time.Millisecond
		}
		letter.from = m.routers[sender].address
		m.later(delay, func() {
			if !m.cut(sender) && !m.cut(letter.to) {
				// What reaches a stopped router waits in its socket.
				m.routers[letter.to].inbox = append(m.routers[letter.to].inbox, letter)
			}
		})
	}
}

// receive lets a router take in what reached it.
func (m *model) receive(index int, router *modelRouter) {
	if len(router.inbox) == 0 || m.stopped(index) {
		return
	}
	letters := router.inbox
	router.inbox = nil
	for _, letter := range letters {
		if letter.report != nil {
			if director := m.directors[index]; director != nil {
				m.result.reports++
				director.Reported(m.time(), letter.from, letter.report)
			}
			continue
		}
		router.gate.Permitted(m.time(), letter.permit)
		if report := router.gate.Report(m.time(), modelService); report != nil {
			m.send(index, datagram{to: m.indexOf(letter.from), report: report})
		}
	}
}

func (m *model) indexOf(address netip.AddrPort) int {
	return slices.IndexFunc(m.routers, func(router *modelRouter) bool { return router.address == address })
}

// direct lets all directors do what they want.
func (m *model) direct() {
	if m.now%(50*time.Millisecond) != 0 {
		return
	}
	for index := range m.routers {
		director := m.directors[index]
		if director == nil || m.stopped(index) {
			continue
		}
		for _, action := range director.Step(m.time()) {
			m.act(index, director, action)
		}
	}
}

// act does what a director wants.
func (m *model) act(index int, director *Director, action Action) {
	switch action := action.(type) {
	case Tell:
		m.send(index, datagram{to: m.indexOf(action.To), permit: action.Permit})
	case Fetch:
		m.later(m.storeDelay(), func() {
			state := m.state
			state.Order.Service = modelService
			if !m.cut(index) && !m.stopped(index) {
				director.Read(m.time(), state, m.version)
			}
		})
	case Write:
		m.later(m.storeDelay(), func() { m.write(index, director, action) })
	}
}

// write does a write at the store, and takes its answer back.
func (m *model) write(index int, director *Director, write Write) {
	var answer WriteResult = Unanswered{}
	if !m.cut(index) {
		answer = Conflict{}
		if write.Version == m.version {
			m.version++
			m.stored(write.State)
			answer = Stored{Version: m.version}
		}
	}
	m.later(m.storeDelay(), func() {
		if m.cut(index) {
			answer = Unanswered{}
		}
		if !m.stopped(index) {
			director.Written(m.time(), modelService, answer)
		}
	})
}

// stored takes in a state that came to lie in the store.
func (m *model) stored(state State) {
	last := m.state
	m.state = state
	if last.Phase.Final() && last.Order.Revision == state.Order.Revision {
		m.brokenf("%v written after %v", state.Phase, last.Phase)
	}
	if state.Phase == Promoting && last.Phase != Promoting {
		m.result.promoted = m.now
	}
	if state.Phase.Final() {
		m.result.verdicts = append(m.result.verdicts, state.Phase)
		m.result.reason, m.result.at = state.Reason, m.now-modelStart
		if state.Phase == Succeeded && state.Reason != reasonDeadline {
			m.checkMoved()
		}
	}
}

// calm reports whether a router had no outage for long enough to be heard.
func (m *model) calm(index int) bool {
	router := m.routers[index]
	return m.loss < 0.05 && (router.troubledUntil == 0 || m.now-router.troubledUntil > deadAfter)
}

// checkMoved checks that nothing of a router that is heard runs on other releases.
func (m *model) checkMoved() {
	for index, router := range m.routers {
		if !m.calm(index) {
			continue
		}
		if running := router.gate.services[modelService].runningElsewhere(modelNew); running > 0 {
			m.brokenf("succeeded while router %d runs %d elsewhere", index, running)
		}
	}
}

// arrive lets requests come.
func (m *model) arrive() {
	rate := m.rate
	if m.now >= m.burst[0] && m.now < m.burst[1] {
		rate *= 2
	}
	mean := rate * modelStep.Seconds()
	count := int(mean)
	if m.random.Float64() < mean-math.Floor(mean) {
		count++
	}
	for range count {
		index := m.random.IntN(len(m.routers))
		if m.stopped(index) {
			continue
		}
		m.request(index, m.route())
	}
}

func (m *model) route() *modelRoute {
	pick := m.random.Float64()
	for index := range m.routes {
		if pick -= m.routes[index].part; pick < 0 {
			return &m.routes[index]
		}
	}
	return &m.routes[0]
}

// request sends a new request through a router.
func (m *model) request(index int, route *modelRoute) {
	if m.now >= modelStart {
		m.result.requests++
	}
	router := m.routers[index]
	gate := router.gate
	var releases backend.Releases
	if gate.Active() {
		releases = gate.Choose(m.time(), Ask{Service: modelService, Route: route.name, First: true})
	}
	listed := router.listed
	if releases.Only == modelNew && !listed {
		gate.Declined(modelService)
		releases = gate.Choose(m.time(), Ask{Service: modelService, Route: route.name})
	}
	var to backend.Record
	switch {
	case releases.Only == modelNew:
		to = m.pickNew(&releases)
	case !releases.Allows(modelOld):
		if !listed || !releases.Allows(modelNew) {
			return
		}
		to = m.newOnes[m.random.IntN(len(m.newOnes))]
	case listed && releases.Allows(modelNew):
		to = m.newOnes[m.random.IntN(len(m.newOnes))]
	default:
		to = m.oldOnes[m.random.IntN(len(m.oldOnes))]
	}
	m.judgeSend(index, to.Release)
	run := gate.Sent(m.time(), modelService, to)
	m.busy[to.Instance]++
	m.run(router, gate, run, route, to)
}

// pickNew picks a back end of the target.
func (m *model) pickNew(releases *backend.Releases) backend.Record {
	narrowed := releases.Narrow(slices.Clone(m.instances))
	instance := narrowed[m.random.IntN(len(narrowed))]
	return m.newOnes[slices.Index(m.instances, instance)]
}

// judgeSend checks the promises at the moment of a send.
func (m *model) judgeSend(index int, release ident.Release) {
	if m.now < modelStart {
		return
	}
	if release != modelNew {
		if m.state.Phase == Succeeded && m.calm(index) && m.othersAfter == 0 && m.now-modelStart < m.result.at+permitFor/4 {
			m.othersAfter = m.now
			m.brokenf("router %d sends to others after success", index)
		}
		return
	}
	if m.result.promoted > 0 || m.state.Phase == Succeeded {
		return
	}
	m.result.sent++
	if allowed := modelBounds.Share*float64(m.result.requests) + modelBounds.Slack; float64(m.result.sent) > allowed {
		m.brokenf("%d sent to the target, %.0f allowed", m.result.sent, allowed)
	}
	if m.result.fiftieth > 0 && m.now > m.result.fiftieth+modelRollback {
		m.brokenf("sent %v after the 50th bad answer", m.now-m.result.fiftieth)
	}
}

// run lets a back end work on a request.
func (m *model) run(router *modelRouter, gate *Gate, run Run, route *modelRoute, to backend.Record) {
	elapsed := time.Duration(float64(route.usual) * math.Exp(0.25*m.random.NormFloat64()))
	sample := Sample{Route: route.name, Outcome: Answered, Predicted: route.usual}
	if to.Release == modelOld && route.cached > 0 {
		sample.Predicted = scale(route.usual, route.cached)
		// One belief in ten about what is cached is wrong.
		if m.random.Float64() < 0.9 {
			elapsed = scale(elapsed, route.cached)
		}
	}
	if m.random.Float64() < route.failures {
		sample.Outcome = Failed
	}
	bad := false
	for index := range m.faults {
		fault := &m.faults[index]
		if !m.applies(fault, route, to) {
			continue
		}
		if fault.silent {
			sample.Outcome = NoAnswer
		}
		if fault.paused {
			elapsed += fault.until - m.now
		}
		if m.random.Float64() < fault.failures {
			sample.Outcome, bad = Failed, bad || fault.bad
		} else if fault.times > 0 && (fault.part == 0 || m.random.Float64() < fault.part) {
			elapsed, bad = scale(elapsed, fault.times), bad || fault.bad
		}
	}
	sample.Elapsed = elapsed
	m.later(elapsed, func() {
		m.busy[to.Instance]--
		if bad {
			m.result.bad++
			if m.result.bad == 50 && m.result.fiftieth == 0 {
				m.result.fiftieth = m.now
			}
		}
		if router.gate == gate {
			gate.Ended(m.time(), run, sample)
		}
	})
}

// applies reports whether a fault touches a run that begins now.
func (m *model) applies(fault *fault, route *modelRoute, to backend.Record) bool {
	if m.now < fault.from || m.now >= fault.until || (to.Release == modelNew) != fault.target {
		return false
	}
	if fault.route != "" && fault.route != route.name {
		return false
	}
	if m.busy[to.Instance] < fault.load {
		return false
	}
	if fault.on == nil {
		return true
	}
	records := m.oldOnes
	if fault.target {
		records = m.newOnes
	}
	return slices.ContainsFunc(fault.on, func(index int) bool {
		return index < len(records) && records[index].Instance == to.Instance
	})
}
