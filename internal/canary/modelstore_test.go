package canary

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// applyOutages starts and ends outages.
func (m *model) applyOutages() {
	for index := range m.outages {
		outage := &m.outages[index]
		if outage.from == m.now && outage.router < 0 {
			outage.router = max(m.holder, 0)
		}
		if outage.router < 0 || m.now < outage.from || m.now > outage.until {
			continue
		}
		router := m.routers[outage.router]
		router.disturbedUntil = m.now
		if m.now == outage.until && outage.killed {
			m.restart(router)
			router.nextReadAt = m.now
			m.directors[outage.router] = m.newDirector()
			if m.holder == outage.router {
				m.holder = -1
			}
		}
	}
}

// hasOutage reports whether a router has some outage now.
func (m *model) hasOutage(router int, kind func(*outage) bool) bool {
	for index := range m.outages {
		outage := &m.outages[index]
		if outage.router == router && m.now >= outage.from && m.now < outage.until && kind(outage) {
			return true
		}
	}
	return false
}

func (m *model) stopped(router int) bool {
	return m.hasOutage(router, func(o *outage) bool { return o.killed || o.frozen })
}

func (m *model) cut(router int) bool {
	return m.hasOutage(router, func(o *outage) bool { return o.cut })
}

// lease keeps one holder, and gives the lease to another router after it expires. A holder
// that is cut off learns of the loss when the lease expires, a frozen one 200 ms after it
// resumes.
func (m *model) lease() {
	if m.holder >= 0 && !m.stopped(m.holder) && !m.cut(m.holder) && m.now <= m.leaseUntil {
		m.leaseUntil = m.now + modelLease
	} else if !m.state.Phase.Final() && m.leaseUntil > 0 {
		m.result.holderLost = m.leaseUntil - modelLease - modelStart
	}
	if m.now <= m.leaseUntil {
		return
	}
	if last, director := m.holder, m.directors[m.holder]; director != nil {
		resumesIn := modelStep
		for _, outage := range m.outages {
			if outage.router == last && m.now < outage.until {
				resumesIn = outage.until - m.now + 200*time.Millisecond
			}
		}
		if m.cut(last) {
			resumesIn = modelStep
		}
		m.schedule(resumesIn, func() {
			if m.holder != last {
				director.SetLease(m.time(), 0)
			}
		})
	}
	next := m.random.IntN(len(m.routers))
	if m.stopped(next) || m.cut(next) {
		return
	}
	m.holder, m.leaseUntil = next, m.now+modelLease
	m.fence++
	m.directors[next].SetLease(m.time(), m.fence)
}

// listed returns the stored orders and back ends.
func (m *model) listed() ([]Order, []backend.Record) {
	old, fresh := len(m.oldRecords), 0
	if m.now >= modelStart+m.targetListed {
		fresh = len(m.newRecords)
	}
	since := m.now - modelStart
	if m.backEnds != nil {
		old, fresh = m.backEnds(since)
	}
	records := append(slices.Clone(m.oldRecords[:old]), m.newRecords[:fresh]...)
	switch {
	case m.ordersAt != nil:
		return m.ordersAt(since), records
	case since < 0:
		return nil, records
	}
	return []Order{m.order(7)}, records
}

func (m *model) order(revision uint64) Order {
	return Order{Service: modelService, Target: modelNew, Duration: m.duration, Revision: revision}
}

func (m *model) newDirector() *Director {
	director := NewDirector(DirectorConfig{Bounds: modelBounds})
	director.hooks = m.hooks
	return director
}

func (m *model) observe(director *Director) {
	orders, records := m.listed()
	addresses := make([]netip.AddrPort, 0, len(m.routers))
	for _, router := range m.routers {
		addresses = append(addresses, router.address)
	}
	director.Observe(m.time(), m.now, orders, records, addresses)
}

// storeSlow reports whether the store is slow now.
func (m *model) storeSlow() bool {
	return m.now >= m.slowStore[0] && m.now < m.slowStore[1]
}

// readStore lets a router read the store.
func (m *model) readStore(index int, router *modelRouter) {
	if m.now < router.nextReadAt || m.stopped(index) || m.cut(index) {
		return
	}
	router.nextReadAt = m.now + m.readInterval
	orders, records := m.listed()
	known, releases := Snapshot{Orders: orders}, []ident.Release(nil)
	if m.state.Phase != 0 {
		known.States = []State{m.state}
	}
	for index := range records {
		if !slices.Contains(releases, records[index].Release) {
			releases = append(releases, records[index].Release)
		}
	}
	confirmedAt := m.time()
	m.schedule(m.storeDelay(), func() {
		router.listed = slices.Contains(releases, modelNew)
		router.gate.SetReleases(m.time(), modelService, releases)
		router.gate.ApplySnapshot(m.time(), confirmedAt, known)
	})
	m.observe(m.directors[index])
}

func (m *model) storeDelay() time.Duration {
	if m.storeSlow() {
		return time.Duration(500+m.random.IntN(1000)) * time.Millisecond
	}
	return time.Duration(4+m.random.IntN(40)) * time.Millisecond
}

// send sends a datagram, which may be lost, delayed or duplicated.
func (m *model) send(sender int, message datagram) {
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
		message.from = m.routers[sender].address
		m.schedule(delay, func() {
			if !m.cut(sender) && !m.cut(message.to) {
				// Datagrams to a stopped router wait in its socket.
				m.routers[message.to].inbox = append(m.routers[message.to].inbox, message)
			}
		})
	}
}

// receive lets a router handle its inbox.
func (m *model) receive(index int, router *modelRouter) {
	if len(router.inbox) == 0 || m.stopped(index) {
		return
	}
	messages := router.inbox
	router.inbox = nil
	for _, message := range messages {
		if message.report != nil {
			if director := m.directors[index]; director != nil {
				director.ApplyReport(m.time(), message.from, message.report)
			}
			continue
		}
		router.gate.ApplyPermit(m.time(), message.permit)
		if report := router.gate.Report(m.time(), modelService); report != nil {
			m.send(index, datagram{to: m.indexOf(message.from), report: report})
		}
	}
}

func (m *model) indexOf(address netip.AddrPort) int {
	return slices.IndexFunc(m.routers, func(router *modelRouter) bool { return router.address == address })
}

// stepDirectors steps all running directors every 50 ms.
func (m *model) stepDirectors() {
	if m.now%(50*time.Millisecond) != 0 {
		return
	}
	for index := range m.routers {
		director := m.directors[index]
		if director == nil || m.stopped(index) {
			continue
		}
		for _, action := range director.Step(m.time()) {
			m.perform(index, director, action)
		}
	}
}

// perform carries out a director's action.
func (m *model) perform(index int, director *Director, action Action) {
	switch action := action.(type) {
	case SendPermit:
		m.send(index, datagram{to: m.indexOf(action.To), permit: action.Permit})
	case Fetch:
		m.schedule(m.storeDelay(), func() {
			state := m.state
			state.Order.Service = modelService
			if !m.cut(index) && !m.stopped(index) {
				director.ApplyState(m.time(), state, m.version)
			}
		})
	case Write:
		m.schedule(m.storeDelay(), func() { m.write(index, director, action) })
	}
}

// write writes to the store, and returns the result to the director.
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
	m.schedule(m.storeDelay(), func() {
		if m.cut(index) {
			answer = Unanswered{}
		}
		if !m.stopped(index) {
			director.ApplyWriteResult(m.time(), modelService, answer)
		}
	})
}

// stored sets the stored state, and checks it.
func (m *model) stored(state State) {
	last := m.state
	m.state = state
	if last.Phase.Final() && last.Order.Revision == state.Order.Revision {
		m.violationf("%v written after %v", state.Phase, last.Phase)
	}
	if state.Phase == Promoting && last.Phase != Promoting {
		m.result.promoted = m.now
	}
	if state.Phase.Final() {
		m.result.verdicts, m.result.finals = append(m.result.verdicts, state.Phase), append(m.result.finals, state)
		m.result.reason, m.result.decidedAt = state.Reason, m.now-modelStart
		if state.Phase == Succeeded && state.Reason != reasonDeadline {
			m.checkMoved()
		}
	}
}

// undisturbed reports whether a router's reports can reach the holder.
func (m *model) undisturbed(index int) bool {
	router := m.routers[index]
	return m.loss < 0.05 && (router.disturbedUntil == 0 || m.now-router.disturbedUntil > silentAfter)
}

// checkMoved checks that no undisturbed router has runs on other releases.
func (m *model) checkMoved() {
	for index, router := range m.routers {
		if !m.undisturbed(index) {
			continue
		}
		if running := router.gate.services[modelService].runningElsewhere(modelNew); running > 0 {
			m.violationf("succeeded while router %d has %d runs on other releases", index, running)
		}
	}
}
