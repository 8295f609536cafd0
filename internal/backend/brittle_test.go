package backend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// A model of several routers before back ends that fall over when they refuse too much: their room
// shrinks, and one that is down leaves its load to the others. Time is virtual.
const (
	brittleBackends  = 6
	brittleSlots     = 16
	brittleDownTime  = 3 * time.Second
	brittleWork      = 400 * time.Millisecond
	brittleRoomAfter = 3 * time.Second
	// Until then a back end lets firstWaiting requests wait, later lastWaiting.
	firstWaiting, lastWaiting = 16, 2
	brittleRunTime            = 17 * time.Second
	brittleTick               = time.Millisecond
	brittleHold               = 125 * time.Millisecond
	brittlePlaceInterval      = 10 * time.Millisecond
	brittleNotice             = 2 * time.Millisecond
	brittleAttempts           = 3
	// brittleRestarts is the time between two restarts of routers, brittleRestartTime how long one
	// takes, after which all clients that waited come at once.
	brittleRestarts    = 1500 * time.Millisecond
	brittleRestartTime = 500 * time.Millisecond
	// maxFalls and maxFallsShare are the falls allowed from brittleRoomAfter on: a number, and a
	// share of the back ends.
	maxFalls, maxFallsShare = 2, 0.1
)

// brittleBackend is a stand-in for a brittle back end.
type brittleBackend struct {
	running   []*brittleRun
	waiting   []*brittleRun
	refusedAt []time.Duration
	downUntil time.Duration
	falls     int
}

// brittleRun is one attempt of a request.
type brittleRun struct {
	request *brittleRequest
	router  int
	attempt *Attempt
	work    time.Duration
	endsAt  time.Duration
}

type brittleRequest struct {
	router     int
	placeUntil time.Duration
	attempts   int
	excluded   []ident.Incarnation
}

// brittleModel is one run of the model.
type brittleModel struct {
	random      *rand.Rand
	maxRefusals int
	routers     []*Registry
	backends    []*brittleBackend
	held        []*brittleRequest
	// start returns the registry of a router that starts; startsAt is when each is up again.
	start    func() *Registry
	startsAt []time.Duration
	// startAll are the times at which all routers restart.
	startAll []time.Duration
	notices  []brittleEvent
	now      time.Duration
	sent     int
	served   int
	refused  int
}

// brittleEvent is a notice to all routers but one that a back end refused, or that the back ends
// are brittle.
type brittleEvent struct {
	at       time.Duration
	from     int
	instance ident.Incarnation
	brittle  bool
}

var modelStart = time.Unix(10_000, 0)

func (m *brittleModel) time() time.Time { return modelStart.Add(m.now) }

func brittleInstance(index int) ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("b-%d", index))
}

func newBrittleModel(seed uint64, routers, maxRefusals int, disabled mechanism.Disabled) *brittleModel {
	m := &brittleModel{random: rand.New(rand.NewPCG(seed, 1)), maxRefusals: maxRefusals}
	var records []Record
	for index := range brittleBackends {
		m.backends = append(m.backends, &brittleBackend{})
		records = append(records, Record{
			Instance: brittleInstance(index), Service: "s", Zone: "z", Slots: brittleSlots, Models: map[ident.Model]int{"m": 1},
		})
	}
	m.start = func() *Registry {
		registry := NewRegistry(Config{Zone: "z", Disabled: disabled})
		registry.seed = m.random.Uint64()
		registry.ApplyList(m.time(), records)
		return registry
	}
	for range routers {
		m.routers = append(m.routers, m.start())
	}
	m.startsAt = make([]time.Duration, routers)
	return m
}

// restart ends a router with all that it has under way.
func (m *brittleModel) restart(router int) {
	m.routers[router] = m.start()
	m.startsAt[router] = m.now + brittleRestartTime
	gone := func(run *brittleRun) bool { return run.router == router }
	for _, target := range m.backends {
		target.running = slices.DeleteFunc(target.running, gone)
		target.waiting = slices.DeleteFunc(target.waiting, gone)
	}
}

// run plays arrivals at a multiple of what the back ends can serve.
func (m *brittleModel) run(load float64, restarts bool) {
	perTick := load * brittleBackends * brittleSlots * brittleTick.Seconds() / brittleWork.Seconds()
	for ; m.now < brittleRunTime; m.now += brittleTick {
		if restarts && m.now > 0 && m.now%brittleRestarts == 0 {
			m.restart(m.random.IntN(len(m.routers)))
		}
		if slices.Contains(m.startAll, m.now) {
			for router := range m.routers {
				m.restart(router)
			}
		}
		m.endRuns()
		m.deliverNotices()
		if m.now%brittlePlaceInterval == 0 {
			m.placeHeld()
		}
		for due := perTick; due > 0; due-- {
			if m.random.Float64() < due {
				m.sent++
				// Shares of routers are uneven.
				router := min(m.random.IntN(len(m.routers)), m.random.IntN(len(m.routers)))
				m.place(&brittleRequest{router: router, placeUntil: m.now + brittleHold})
			}
		}
	}
}

func (m *brittleModel) placeHeld() {
	held := m.held
	m.held = nil
	for _, request := range held {
		m.place(request)
	}
}

// place sends a request to the back end that its router chooses, holds it, or refuses it.
func (m *brittleModel) place(request *brittleRequest) {
	if startsAt := m.startsAt[request.router]; m.now < startsAt {
		request.placeUntil = startsAt + brittleHold
		m.held = append(m.held, request)
		return
	}
	query := Query{Service: "s", Model: "m", OwnTokens: 500, Excluded: request.excluded, SpreadKey: m.random.Uint64(), Expected: 100 * time.Millisecond, Routers: len(m.routers)}
	choice, attempt, found := m.routers[request.router].Pick(m.time(), &query)
	switch {
	case found:
		m.send(request, choice.Instance, attempt)
	case m.now < request.placeUntil:
		m.held = append(m.held, request)
	default:
		m.refused++
	}
}

func (m *brittleModel) send(request *brittleRequest, to ident.Incarnation, attempt *Attempt) {
	request.attempts++
	index := slices.IndexFunc(m.routers[request.router].Records(), func(record Record) bool { return record.Instance == to })
	target := m.backends[index]
	run := &brittleRun{request: request, router: request.router, attempt: attempt, work: time.Duration(float64(brittleWork) * (0.5 + m.random.Float64()))}
	room := firstWaiting
	if m.now > brittleRoomAfter {
		room = lastWaiting
	}
	switch {
	case m.now < target.downUntil:
		m.fail(run, to, Unreachable)
	case len(target.running) < brittleSlots:
		run.endsAt = m.now + run.work
		target.running = append(target.running, run)
	case len(target.waiting) < room:
		target.waiting = append(target.waiting, run)
	default:
		m.refuse(target, run, to)
	}
}

// refuse turns a run away, and makes the back end fall over if that was one too many.
func (m *brittleModel) refuse(target *brittleBackend, run *brittleRun, to ident.Incarnation) {
	target.refusedAt = slices.DeleteFunc(append(target.refusedAt, m.now), func(at time.Duration) bool { return m.now-at > time.Second })
	m.observe(run, to)
	if m.routers[run.router].ObserveNoRoom(m.time(), to) {
		m.notices = append(m.notices, brittleEvent{at: m.now + brittleNotice, from: run.router, instance: to})
	}
	m.fail(run, to, Refused)
	if len(target.refusedAt) <= m.maxRefusals {
		return
	}
	if m.now > brittleRoomAfter {
		target.falls++
	}
	broken := append(target.running, target.waiting...)
	target.running, target.waiting, target.refusedAt, target.downUntil = nil, nil, nil, m.now+brittleDownTime
	for _, other := range broken {
		m.fail(other, to, Broken)
	}
}

// observe applies what an answer states.
func (m *brittleModel) observe(run *brittleRun, from ident.Incarnation) {
	change := m.routers[run.router].ObserveAdvertised(m.time(), from, m.time(), Advertised{Brittleness: Brittleness{Brittle: true, MaxRefusals: m.maxRefusals}}, SourceAnswer)
	if change.BecameBrittle {
		m.notices = append(m.notices, brittleEvent{at: m.now + brittleNotice, from: run.router, brittle: true})
	}
}

// fail ends a run without an answer, and places its request again.
func (m *brittleModel) fail(run *brittleRun, at ident.Incarnation, outcome Outcome) {
	run.attempt.End(m.time(), outcome)
	request := run.request
	request.excluded = append(request.excluded, at)
	if request.attempts >= brittleAttempts {
		m.refused++
		return
	}
	request.placeUntil = m.now + brittleHold
	m.held = append(m.held, request)
}

func (m *brittleModel) endRuns() {
	for index, target := range m.backends {
		target.running = slices.DeleteFunc(target.running, func(run *brittleRun) bool {
			if run.endsAt > m.now {
				return false
			}
			m.observe(run, brittleInstance(index))
			run.attempt.ObserveBytes(m.time())
			run.attempt.End(m.time(), Answered)
			m.served++
			return true
		})
		for len(target.waiting) > 0 && len(target.running) < brittleSlots {
			next := target.waiting[0]
			target.waiting = target.waiting[1:]
			next.endsAt = m.now + next.work
			target.running = append(target.running, next)
		}
	}
}

func (m *brittleModel) deliverNotices() {
	m.notices = slices.DeleteFunc(m.notices, func(notice brittleEvent) bool {
		if notice.at > m.now {
			return false
		}
		for router, registry := range m.routers {
			switch {
			case router == notice.from:
			case notice.brittle:
				registry.ApplyOverloads(m.time(), []ServiceOverload{{Service: "s", Brittle: true, MaxRefusals: m.maxRefusals}})
			default:
				registry.ObserveNoRoom(m.time(), notice.instance)
			}
		}
		return true
	})
}

// Guards against a collapse that keeps itself going: a back end falls, its load fells the next one.
func TestBrittleBackendsDoNotFallInTurn(t *testing.T) {
	tests := []struct {
		load        float64
		routers     int
		maxRefusals int
		restarts    bool
	}{
		{0.4, 7, 8, false}, {0.75, 7, 8, false}, {1.5, 7, 8, false}, {3, 7, 8, false}, {1.5, 7, 2, false}, {1.5, 3, 8, false},
		{1.5, 40, 8, false}, {0.75, 7, 100, false}, {0.75, 7, 8, true}, {1.5, 7, 8, true}, {1.5, 3, 8, true}, {3, 7, 4, true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("load %.2f, %d routers, %d refusals, restarts %t", tt.load, tt.routers, tt.maxRefusals, tt.restarts), func(t *testing.T) {
			for seed := range uint64(5) {
				m := newBrittleModel(seed, tt.routers, tt.maxRefusals, mechanism.Disabled{})
				m.run(tt.load, tt.restarts)
				falls := 0
				for _, target := range m.backends {
					falls += target.falls
				}
				t.Logf("seed %d: %d falls, %d of %d served, %d refused", seed, falls, m.served, m.sent, m.refused)
				if allowed := maxFalls + maxFallsShare*brittleBackends; float64(falls) > allowed {
					t.Errorf("seed %d: %d falls, %.1f allowed", seed, falls, allowed)
				}
			}
		})
	}
}
