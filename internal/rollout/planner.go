// Package rollout brings engines to the newest named version of their models'
// weights, by orders that one lease holder sends.
//
// Planner decides without I/O or clock; Controller is the shell around it.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Config fixes the pace of a rollout. Zero fields take the defaults.
type Config struct {
	// Deadline is how long after a version was named no request may begin on an
	// older one. Default: 8s.
	Deadline time.Duration
	// LoadTime is the time from an order until a report shows the change that is
	// taken until loads were seen. Default: 1s.
	LoadTime time.Duration
	// Parallel is the least number of engines that may be changed at one time;
	// there are more if the deadline could not be kept otherwise. Default: one in
	// five of those there are.
	Parallel int
	// DeferOrders puts orders off for as long as the deadline allows, so that versions
	// which are named in quick succession are taken in one load. Default: each
	// version is ordered when it is seen, since runs on replaced weights are worth
	// less.
	DeferOrders bool
	// Margin is the time kept before the deadline for orders that are lost and
	// holders that change. Default: 2s.
	Margin time.Duration
	// QuiesceTime is the longest time for which an engine gets no new work before its
	// order, so that the requests there can end. Default: none.
	QuiesceTime time.Duration
}

const (
	defaultDeadline = 8 * time.Second
	defaultLoadTime = time.Second
	defaultMargin   = 2 * time.Second
	// reportInterval is the time between two reports of an engine that changes, from
	// the time on at which the fastest loads are over.
	reportInterval = 100 * time.Millisecond
	// orderLostAfter is how old an order must be before a report without any sign
	// of it shows that it was not taken; reports lag by some hundred ms.
	orderLostAfter = 700 * time.Millisecond
	// maxReportAge is how long a report's sequence number is taken for the next
	// order.
	maxReportAge = time.Second
	// refusedPause is the pause after an engine refused an order.
	refusedPause = 300 * time.Millisecond
	// minSilentPause and maxSilentPause bound the pause after a report that did not
	// come; it doubles with each one in a row.
	minSilentPause = 300 * time.Millisecond
	maxSilentPause = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.Deadline = cmp.Or(c.Deadline, defaultDeadline)
	c.LoadTime = cmp.Or(c.LoadTime, defaultLoadTime)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	return c
}

// Counters counts what a Planner did.
type Counters struct {
	Orders, Accepted, Refused, Unanswered, Reports uint64
	// Late counts engines that were found behind a version after its deadline.
	Late uint64
}

// engineState is the state of one engine.
type engineState struct {
	record   backend.Record
	sequence uint64
	versions map[ident.Model]int
	// ordered is the version asked for, 0 if no order is open.
	ordered      int
	orderedModel ident.Model
	orderedAt    time.Time
	// acceptedAt is when the engine said that it takes the version, zero if it did
	// not.
	acceptedAt time.Time
	// inFlight is true while an order or a report is under way.
	inFlight bool
	retryAt  time.Time
	// minSilentPause is the last pause after a report that did not come, 0 after one
	// that came.
	silentPause time.Duration
	// nextReportAt is when the next report is due, reportedAt when the last one
	// that came was asked for.
	nextReportAt, reportedAt time.Time
	// requests is the number of requests at the engine in the last report, busy whether it
	// carried out an order then.
	requests int
	busy     bool
	// quiescingSince is when routers were told to send the engine no new work, zero if
	// they were not.
	quiescingSince time.Time
	// unavailableSince is when the change under order began: when emptying did, or the order.
	unavailableSince time.Time
}

// Planner decides on orders. It is not safe for concurrent use.
//
// Invariants: an engine has at most one exchange under way; an order carries
// the sequence number of a report read right before, so that of two orders with the same number
// the engine carries out one at most, however late the other arrives.
type Planner struct {
	config   Config
	engines  map[ident.Incarnation]*engineState
	models   map[ident.Model]catalog.PublishedVersion
	counters Counters
	// loaded are the engines whose orders were settled since the last Loaded.
	loaded []LoadedEngine
	// loads are the times from orders on, changes those for which engines were away.
	loads, changes loadTimes
	// headroom is how calm services are, from 0 to 1.
	headroom map[ident.Service]float64
	// quiescing are the engines that got to be emptied since the last call of Emptying.
	quiescing []QuiescingEngine
	// crashes are the versions under which engines ended while they loaded them.
	crashes map[modelVersion]*loadCrashes
}

// LoadedEngine is an engine that has the version it was ordered to take.
type LoadedEngine struct {
	Instance ident.Incarnation
	Model    ident.Model
	Version  int
}

// NewPlanner returns a planner that knows no engine.
func NewPlanner(config Config) *Planner {
	config = config.withDefaults()
	return &Planner{
		config: config, engines: make(map[ident.Incarnation]*engineState), loads: newLoadTimes(config.LoadTime),
		changes: newLoadTimes(config.LoadTime), crashes: make(map[modelVersion]*loadCrashes),
	}
}

// Counters returns what was counted so far.
func (p *Planner) Counters() Counters { return p.counters }

// Observe takes in the newest list of back ends and the named versions.
func (p *Planner) Observe(records []backend.Record, models map[ident.Model]catalog.PublishedVersion) {
	p.models = models
	p.noteCrashes(records)
	engines := make(map[ident.Incarnation]*engineState, len(records))
	for _, record := range records {
		if len(record.Models) == 0 || record.Draining {
			continue
		}
		known := p.engines[record.Instance]
		if known == nil {
			known = &engineState{versions: make(map[ident.Model]int)}
		}
		known.record = record
		known.recordVersions(record.Models)
		engines[record.Instance] = known
	}
	p.engines = engines
}

// recordVersions takes in versions; an engine never goes back within one life.
func (e *engineState) recordVersions(versions map[ident.Model]int) {
	for model, version := range versions {
		e.versions[model] = max(e.versions[model], version)
	}
}

// ForgetOrders drops what is believed of orders under way, for a new holder.
func (p *Planner) ForgetOrders() {
	for _, engine := range p.engines {
		engine.ordered, engine.inFlight = 0, false
		engine.quiescingSince = time.Time{}
	}
}

// pendingUpdate is an engine that is behind a named version.
type pendingUpdate struct {
	engine   *engineState
	model    ident.Model
	deadline time.Time
}

// Plan returns what to do now under a fence. Each order must be answered by
// Ordered, each report by Reported.
func (p *Planner) Plan(now time.Time, fence uint64) []Action {
	p.reviewCrashes(now)
	actions, active, updates := p.survey(now)
	if len(updates) == 0 || !p.ordersDue(now, updates) {
		return actions
	}
	limit := p.parallelism(len(updates)+active, updates[0].deadline.Sub(now)-p.config.Margin)
	for _, update := range updates {
		if now.Before(update.engine.retryAt) || p.loadBlocked(now, update.model) {
			continue
		}
		// An engine that does not answer must not keep others waiting.
		if update.engine.silentPause == 0 {
			if active >= limit {
				continue
			}
			active++
		}
		if action, due := p.advance(now, update, fence); due {
			actions = append(actions, action)
		}
	}
	return actions
}

// survey follows the engines that change, counts those of them that answer,
// and returns the others that are behind, the most urgent first.
func (p *Planner) survey(now time.Time) (actions []Action, active int, updates []pendingUpdate) {
	for _, engine := range p.engines {
		p.settle(now, engine)
		if engine.ordered == 0 && !engine.inFlight {
			update, behind := p.updateFor(engine)
			if !behind {
				engine.quiescingSince = time.Time{}
				continue
			}
			updates = append(updates, update)
			continue
		}
		if engine.silentPause == 0 {
			active++
		}
		if action, due := p.requestReport(now, engine); due {
			actions = append(actions, action)
		}
	}
	slices.SortFunc(updates, func(a, b pendingUpdate) int {
		return cmp.Or(
			quiescingFirst(a.engine, b.engine), a.deadline.Compare(b.deadline),
			cmp.Compare(a.engine.record.Instance, b.engine.record.Instance),
		)
	})
	return actions, active, updates
}

// advance orders an engine whose report was read right before and which is emptied, or
// reads its report. One that carries out the order of a former holder is let finish: that may
// have known a newer version, and an order which is carried out after it, late, would take the
// engine back for good, as engines are believed never to go back.
func (p *Planner) advance(now time.Time, update pendingUpdate, fence uint64) (Action, bool) {
	if update.engine.busy || now.Sub(update.engine.reportedAt) > maxReportAge || p.awaitsQuiescence(now, update) {
		return p.requestReport(now, update.engine)
	}
	return p.order(now, update, fence), true
}

// settle closes an order whose version the engine was seen to have by a time.
func (p *Planner) settle(observedAt time.Time, engine *engineState) {
	version := engine.versions[engine.orderedModel]
	if engine.ordered == 0 || version < engine.ordered {
		return
	}
	if !engine.acceptedAt.IsZero() {
		p.loads.observe(observedAt.Sub(engine.acceptedAt))
		p.changes.observe(observedAt.Sub(engine.unavailableSince))
	}
	engine.ordered = 0
	p.loaded = append(p.loaded, LoadedEngine{Instance: engine.record.Instance, Model: engine.orderedModel, Version: version})
}

// Loaded returns the engines that have had the version of their order since the
// last call.
func (p *Planner) Loaded() []LoadedEngine {
	loaded := p.loaded
	p.loaded = nil
	return loaded
}

// requestReport reads the report of an engine that changes.
func (p *Planner) requestReport(now time.Time, engine *engineState) (Action, bool) {
	if engine.inFlight || now.Before(engine.nextReportAt) {
		return Action{}, false
	}
	engine.inFlight = true
	p.counters.Reports++
	return Action{Target: engine.record}, true
}

// updateFor returns the model for which an engine is the furthest behind.
func (p *Planner) updateFor(engine *engineState) (pendingUpdate, bool) {
	var update pendingUpdate
	behind := false
	for model, version := range engine.versions {
		for _, publication := range p.models[model].Publications {
			if publication.Version <= version {
				continue
			}
			deadline := publication.SeenAt.Add(p.config.Deadline)
			if !behind || deadline.Before(update.deadline) {
				update = pendingUpdate{engine: engine, model: model, deadline: deadline}
				behind = true
			}
			break
		}
	}
	return update, behind
}

func (p *Planner) order(now time.Time, update pendingUpdate, fence uint64) Action {
	engine := update.engine
	quiesced := !engine.quiescingSince.IsZero()
	engine.unavailableSince = now
	if quiesced {
		engine.unavailableSince = engine.quiescingSince
	}
	engine.quiescingSince = time.Time{}
	engine.ordered = p.models[update.model].Version
	engine.orderedModel = update.model
	engine.orderedAt, engine.acceptedAt = now, time.Time{}
	engine.inFlight = true
	p.counters.Orders++
	if now.After(update.deadline) {
		p.counters.Late++
	}
	return Action{Target: engine.record, Quiesced: quiesced, Order: &Order{
		Target: engine.record, Model: update.model, Version: engine.ordered,
		Sequence: engine.sequence, Fence: fence,
	}}
}

// Ordered takes in the answer to an order.
func (p *Planner) Ordered(now time.Time, order *Order, result Result) {
	engine := p.engines[order.Target.Instance]
	if engine == nil {
		return
	}
	engine.inFlight = false
	engine.nextReportAt = now.Add(reportInterval)
	switch result {
	case Accepted:
		p.counters.Accepted++
		engine.acceptedAt = now
		engine.nextReportAt = now.Add(p.loads.shortest())
	case Unanswered:
		p.counters.Unanswered++
	case Conflicting:
		// The report tells the sequence number that the engine has.
		p.counters.Refused++
		engine.ordered = 0
		engine.reportedAt = time.Time{}
	default:
		p.counters.Refused++
		engine.ordered = 0
		engine.retryAt = now.Add(refusedPause)
	}
}

// Reported takes in a report that was asked for at a time, or nil if none came.
func (p *Planner) Reported(requestedAt time.Time, instance ident.Incarnation, report *Report) {
	engine := p.engines[instance]
	if engine == nil {
		return
	}
	engine.inFlight = false
	engine.nextReportAt = requestedAt.Add(reportInterval)
	if report == nil {
		engine.quiescingSince = time.Time{}
		engine.silentPause = min(max(2*engine.silentPause, minSilentPause), maxSilentPause)
		engine.retryAt = requestedAt.Add(engine.silentPause)
		engine.nextReportAt = engine.retryAt
		return
	}
	engine.silentPause = 0
	engine.recordVersions(report.Versions)
	engine.reportedAt = requestedAt
	engine.sequence = report.Sequence
	engine.requests, engine.busy = report.Queued+report.Active, report.Busy
	p.settle(requestedAt, engine)
	if engine.ordered > 0 && !report.Busy && requestedAt.Sub(engine.orderedAt) >= orderLostAfter {
		engine.ordered = 0
	}
}
