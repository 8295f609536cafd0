package canary

import (
	"math"
	"slices"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

func (m *model) generateRequests() {
	rate := m.rate
	if m.now >= m.burst[0] && m.now < m.burst[1] {
		rate *= 2
	}
	if m.endsAt > 0 && m.now >= m.endsAt {
		return
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
		if pick -= m.routes[index].share; pick < 0 {
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
		releases = gate.Choose(m.time(), ChooseRequest{Service: modelService, Route: route.name, First: true})
	}
	listed := router.listed
	if releases.Only == modelNew && !listed {
		gate.Declined(modelService)
		releases = gate.Choose(m.time(), ChooseRequest{Service: modelService, Route: route.name})
	}
	var to backend.Record
	switch {
	case releases.Only == modelNew:
		to = m.pickNew(&releases)
	case !releases.Allows(modelOld):
		if !listed || !releases.Allows(modelNew) {
			return
		}
		to = m.newRecords[m.random.IntN(len(m.newRecords))]
	case listed && releases.Allows(modelNew):
		to = m.newRecords[m.random.IntN(len(m.newRecords))]
	default:
		to = m.oldRecords[m.random.IntN(len(m.oldRecords))]
	}
	m.checkSend(index, to.Release)
	run := gate.Sent(m.time(), modelService, to)
	m.busy[to.Instance]++
	m.run(router, gate, run, route, to)
}

// pickNew picks a back end of the target.
func (m *model) pickNew(releases *backend.Releases) backend.Record {
	narrowed := releases.Select(slices.Clone(m.instances))
	instance := narrowed[m.random.IntN(len(narrowed))]
	return m.newRecords[slices.Index(m.instances, instance)]
}

// checkSend checks the bounds at the time of a send.
func (m *model) checkSend(index int, release ident.Release) {
	if m.now < modelStart {
		return
	}
	if release != modelNew {
		if m.state.Phase == Succeeded && m.undisturbed(index) && m.othersAfter == 0 && m.now-modelStart < m.result.decidedAt+permitValidity/4 {
			m.othersAfter = m.now
			m.violationf("router %d sent to other releases after success", index)
		}
		return
	}
	if m.result.promoted > 0 || m.state.Phase == Succeeded {
		return
	}
	m.result.sent++
	if allowed := modelBounds.Share*float64(m.result.requests) + modelBounds.Slack; float64(m.result.sent) > allowed {
		m.violationf("%d sent to the target, %.0f allowed", m.result.sent, allowed)
	}
	if m.result.fiftiethBadAt > 0 && m.now > m.result.fiftiethBadAt+modelRollback {
		m.violationf("sent %v after the 50th bad answer", m.now-m.result.fiftiethBadAt)
	}
}

// run simulates the run of a request at a back end.
func (m *model) run(router *modelRouter, gate *Gate, run Run, route *modelRoute, to backend.Record) {
	sample, bad := m.answer(route, to)
	m.schedule(sample.Elapsed, func() {
		m.busy[to.Instance]--
		if bad {
			m.result.bad++
			if m.result.bad == 50 {
				m.result.fiftiethBadAt = m.now
			}
		}
		if router.gate == gate {
			gate.Ended(m.time(), run, sample)
		}
	})
}

// answer returns the sample of a request, and whether a bad release's fault affected it.
func (m *model) answer(route *modelRoute, to backend.Record) (sample Sample, bad bool) {
	elapsed := scale(route.usual, math.Exp(0.25*m.random.NormFloat64()))
	sample = Sample{Route: route.name, Outcome: Answered, Predicted: route.usual}
	if to.Release == modelOld && route.cached > 0 {
		sample.Predicted = scale(route.usual, route.cached)
		// One prediction in ten about cached prompts is wrong.
		if m.random.Float64() < 0.9 {
			elapsed = scale(elapsed, route.cached)
		}
	}
	if m.random.Float64() < route.failures {
		sample.Outcome = Failed
	}
	for index := range m.faults {
		fault := &m.faults[index]
		if !m.faultApplies(fault, route, to) {
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
		} else if fault.slowdown > 0 && (fault.slowFraction == 0 || m.random.Float64() < fault.slowFraction) {
			elapsed, bad = scale(elapsed, fault.slowdown), bad || fault.bad
		}
	}
	sample.Elapsed = elapsed
	return sample, bad
}

// faultApplies reports whether a fault affects a run that begins now.
func (m *model) faultApplies(fault *fault, route *modelRoute, to backend.Record) bool {
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
	records := m.oldRecords
	if fault.target {
		records = m.newRecords
	}
	return slices.ContainsFunc(fault.on, func(index int) bool {
		return index < len(records) && records[index].Instance == to.Instance
	})
}
