package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// The model plays routers, their network and their requests in virtual time, and judges
// what ran by the windows of each tenant.

const (
	modelStep   = 2 * time.Millisecond
	modelWindow = 8 * time.Second
)

// modelTenant is a tenant of the model.
type modelTenant struct {
	name  string
	limit Limit
	// version is that of the limit.
	version uint64
	// use is the usual use of the limit, 1 for all of it.
	use float64
	// hot multiplies the use while it is above 0.
	hot float64
	// mean is the mean amount of a request.
	mean float64
	// preferred says that half of the claims are.
	preferred bool
	// ran are the amounts that ran, with their times.
	ran []usage
	// asked and denied count requests, asked and denied in calm those that were made
	// within the limit while nothing was wrong.
	calmAsked, calmDenied int
}

type usage struct {
	at     time.Duration
	amount float64
}

// modelRouter is a router of the model.
type modelRouter struct {
	addr     netip.AddrPort
	agent    *Agent
	revision uint64
	// down until a time: it takes in nothing, and starts anew at the end; frozen until
	// a time: it takes everything in at the end.
	downUntil, frozenUntil time.Duration
	// cut routers reach no other; group routers reach those of their group.
	group   int
	inbox   []delivery
	waiting map[uint64]*modelRequest
}

type modelRequest struct {
	tenant *modelTenant
	amount float64
	calm   bool
}

type delivery struct {
	at   time.Duration
	from netip.AddrPort
	msg  Message
}

// model is one history.
type model struct {
	random *rand.Rand
	now    time.Duration
	bounds Bounds
	alone  bool
	// place and hello are those of the agents' configuration.
	place    int
	hello    time.Duration
	routers  []*modelRouter
	byAddr   map[netip.AddrPort]*modelRouter
	tenants  []*modelTenant
	revision uint64
	loss     float64
	// tick is the time between two ticks of an agent.
	tick time.Duration
	// troubled is the time until which refusals within a limit are not counted.
	troubled time.Duration
}

// epoch is the time at which the virtual time begins.
var epoch = time.Unix(1_000_000, 0)

func newModel(seed uint64, routers int, tenants []*modelTenant) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), tenants: tenants, byAddr: make(map[netip.AddrPort]*modelRouter), tick: 10 * time.Millisecond,
		bounds: Bounds{Window: modelWindow, Overshoot: 0.1, Slack: 110_000},
	}
	for index := range routers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index / 250), byte(index%250 + 1)}), 7000)
		router := &modelRouter{addr: addr}
		m.routers, m.byAddr[addr] = append(m.routers, router), router
	}
	return m
}

// start starts a router anew: it knows those that joined before it.
func (m *model) start(router *modelRouter) {
	m.revision++
	router.revision = m.revision
	router.waiting, router.inbox = make(map[uint64]*modelRequest), nil
	router.agent = NewAgent(Config{Self: router.addr, Bounds: m.bounds, FirstID: m.random.Uint64() >> 1, Standalone: m.alone, Place: m.place, HelloInterval: m.hello})
	older := slices.DeleteFunc(slices.Clone(m.routers), func(other *modelRouter) bool { return other == router || other.revision == 0 })
	slices.SortFunc(older, func(a, b *modelRouter) int { return cmp.Compare(a.revision, b.revision) })
	var addrs []netip.AddrPort
	for _, other := range older {
		addrs = append(addrs, other.addr)
	}
	router.agent.SetRouters(router.revision, addrs)
	router.agent.SetRouterCount(len(m.routers))
}

func (m *model) time() time.Time { return epoch.Add(m.now) }

// reaches reports whether a message of one router gets to another.
func (m *model) reaches(from, to *modelRouter) bool {
	return from.group == to.group && (m.loss == 0 || m.random.Float64() >= m.loss)
}

// flush carries out what an agent wants.
func (m *model) flush(router *modelRouter) {
	out, done := router.agent.Flush()
	for _, decision := range done {
		m.decided(router, decision)
	}
	for _, envelope := range out {
		to := m.byAddr[envelope.To]
		if to == nil || m.now < to.downUntil || !m.reaches(router, to) {
			continue
		}
		for range 1 + m.random.IntN(20)/19 {
			at := m.now + time.Duration(100+m.random.IntN(1900))*time.Microsecond
			to.inbox = append(to.inbox, delivery{at: at, from: router.addr, msg: envelope.Message})
		}
	}
}

// decided judges a verdict: in a tenth of all cases no engine takes the request.
func (m *model) decided(router *modelRouter, decision Decision) {
	req := router.waiting[decision.ID]
	if req == nil {
		return
	}
	delete(router.waiting, decision.ID)
	granted, ok := decision.Result.(Granted)
	if req.calm && m.now > m.troubled {
		req.tenant.calmAsked++
		if !ok {
			req.tenant.calmDenied++
		}
	}
	switch {
	case !ok:
	case m.random.IntN(10) == 0:
		router.agent.Release(granted.Grant)
	default:
		req.tenant.ran = append(req.tenant.ran, usage{at: m.now, amount: req.amount})
	}
}

// step plays one step.
func (m *model) step(traffic bool) {
	m.now += modelStep
	for _, router := range m.routers {
		if m.now < router.downUntil || m.now < router.frozenUntil {
			continue
		}
		if router.agent == nil {
			m.start(router)
		}
		m.receive(router)
		if m.now%m.tick == 0 {
			router.agent.Tick(m.time())
		}
		m.flush(router)
	}
	if traffic {
		m.traffic()
	}
}

func (m *model) receive(router *modelRouter) {
	later := router.inbox[:0:0]
	for _, message := range router.inbox {
		if message.at > m.now {
			later = append(later, message)
			continue
		}
		router.agent.Receive(m.time(), message.from, message.msg)
	}
	router.inbox = later
}

// traffic sends the requests of a step, each through a random router that is up.
func (m *model) traffic() {
	for _, tenant := range m.tenants {
		rate := tenant.limit.Rate * tenant.use * max(tenant.hot, 1) / tenant.mean
		for expected := rate * modelStep.Seconds(); expected > 0; expected-- {
			if m.random.Float64() >= expected {
				continue
			}
			router := m.routers[m.random.IntN(len(m.routers))]
			if router.agent == nil || m.now < router.downUntil || m.now < router.frozenUntil {
				continue
			}
			amount := min(m.random.ExpFloat64()*tenant.mean, 3*tenant.mean)
			if m.bounds.Unit > 0 {
				amount = m.bounds.Unit
			}
			claim := Reservation{Subject: Subject(tenant.name), Limit: tenant.limit, Version: tenant.version, Amount: amount, Preferred: tenant.preferred && m.random.IntN(2) == 0}
			id := router.agent.Acquire(m.time(), claim)
			router.waiting[id] = &modelRequest{tenant: tenant, amount: amount, calm: tenant.hot == 0}
			m.flush(router)
		}
	}
}

// largestWindow returns the most that ran of a tenant in any window.
func (t *modelTenant) largestWindow(window time.Duration) float64 {
	largest, sum, first := 0.0, 0.0, 0
	for _, one := range t.ran {
		sum += one.amount
		for one.at-t.ran[first].at > window {
			sum -= t.ran[first].amount
			first++
		}
		largest = max(largest, sum)
	}
	return largest
}

func (m *model) pick() *modelRouter { return m.routers[m.random.IntN(len(m.routers))] }

// leader returns the router whose pool has the most members.
func (m *model) leader() *modelRouter {
	return slices.MaxFunc(m.routers, func(a, b *modelRouter) int { return cmp.Compare(members(a), members(b)) })
}

func members(router *modelRouter) int {
	if router.agent == nil {
		return 0
	}
	return router.agent.Members()
}

// kill takes a router down, which starts anew at the end.
func (m *model) kill(router *modelRouter, length time.Duration) {
	router.agent, router.downUntil = nil, m.now+length
}

// modelTrouble is something that goes wrong.
type modelTrouble struct {
	name string
	// begin returns what ends the trouble.
	begin func(m *model) (end func())
}

// lostDatagrams is the trouble that makes routers change their leaders most often.
const lostDatagrams = "datagrams are lost"

var modelTroubles = []modelTrouble{
	{"the leader is killed", func(m *model) func() { m.kill(m.leader(), time.Second); return func() {} }},
	{"all are killed", func(m *model) func() {
		for _, router := range m.routers {
			m.kill(router, time.Second+time.Duration(m.random.IntN(300))*time.Millisecond)
		}
		return func() {}
	}},
	{"a part is killed", func(m *model) func() {
		for range len(m.routers) / 4 {
			m.kill(m.pick(), 2*time.Second)
		}
		return func() {}
	}},
	{"the leader is frozen", func(m *model) func() { m.leader().frozenUntil = m.now + 3*time.Second; return func() {} }},
	{"a part is frozen", func(m *model) func() {
		for range len(m.routers) / 4 {
			m.pick().frozenUntil = m.now + 3*time.Second
		}
		return func() {}
	}},
	{"the leader is cut off", func(m *model) func() { return m.cut(m.leader()) }},
	{"a third is cut off, each alone", func(m *model) func() {
		var cut []*modelRouter
		for range len(m.routers) / 3 {
			cut = append(cut, m.pick())
		}
		return m.cut(cut...)
	}},
	{"all are cut off, each alone", func(m *model) func() { return m.cut(m.routers...) }},
	{"halves are cut off from each other", func(m *model) func() {
		for index, router := range m.routers {
			router.group = index % 2
		}
		return m.heal
	}},
	{lostDatagrams, func(m *model) func() { m.loss = 0.2; return func() { m.loss = 0 } }},
	{"a limit falls", func(m *model) func() {
		tenant := m.tenants[0]
		before := tenant.limit
		tenant.limit = Limit{Rate: before.Rate / 3, Burst: before.Burst / 3}
		tenant.version++
		return func() { tenant.limit = before; tenant.version++ }
	}},
}

func (m *model) cut(routers ...*modelRouter) func() {
	for index, router := range routers {
		router.group = index + 1
	}
	return m.heal
}

func (m *model) heal() {
	for _, router := range m.routers {
		router.group = 0
	}
}

// play plays a history: troubles of the given kinds, one after the other and together,
// while tenants become hot.
func (m *model) play(troubles []modelTrouble, length time.Duration) {
	for m.now < 3*time.Second {
		m.step(false)
	}
	var end func()
	nextAt, endAt := m.now+time.Second, time.Duration(0)
	for m.now < length {
		if end != nil && m.now >= endAt {
			end()
			end = nil
			m.troubled = m.now + 4*time.Second
		}
		if m.now >= nextAt && len(troubles) > 0 && end == nil {
			end = troubles[m.random.IntN(len(troubles))].begin(m)
			lasts := time.Duration(500+m.random.IntN(4000)) * time.Millisecond
			endAt, nextAt = m.now+lasts, m.now+time.Duration(m.random.IntN(5000))*time.Millisecond
			m.troubled = endAt + 4*time.Second
		}
		if m.now%(500*time.Millisecond) == 0 {
			tenant := m.tenants[m.random.IntN(len(m.tenants))]
			tenant.hot = float64(m.random.IntN(2)) * 5
		}
		m.step(true)
	}
}

// calm plays on while nothing goes wrong.
func (m *model) calm(length time.Duration) {
	m.heal()
	m.loss = 0
	for _, tenant := range m.tenants {
		tenant.hot = 0
	}
	for end := m.now + length; m.now < end; {
		m.step(true)
	}
}

func modelTenants() []*modelTenant {
	return []*modelTenant{
		{name: "large", limit: Limit{Rate: 570_000, Burst: 570_000}, use: 0.55, mean: 9000},
		{name: "small", limit: Limit{Rate: 29_000, Burst: 29_000}, use: 0.55, mean: 3000},
		{name: "short", limit: Limit{Rate: 60_000, Burst: 60_000}, use: 0.55, mean: 800},
	}
}

// judge reports the tenants whose use in some window was above the bound. A limit that
// falls binds from a window later; the larger one is taken all the time.
func (m *model) judge(limits map[string]Limit) (broken []string) {
	for _, tenant := range m.tenants {
		most := m.bounds.Most(limits[tenant.name])
		if largest := tenant.largestWindow(m.bounds.Window); largest > most {
			broken = append(broken, fmt.Sprintf("%s used %.0f of %.0f", tenant.name, largest, most))
		}
	}
	return broken
}

func limitsOf(tenants []*modelTenant) map[string]Limit {
	limits := make(map[string]Limit)
	for _, tenant := range tenants {
		limits[tenant.name] = tenant.limit
	}
	return limits
}
