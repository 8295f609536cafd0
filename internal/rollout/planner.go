// Package rollout brings engines to the newest published version of their models' weights, by
// orders that one lease holder sends.
//
// Planner decides without I/O or clock; Controller runs it.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Config sets the pace of a rollout. Zero fields get the defaults.
type Config struct {
	// Deadline is the time after the publication of a version from which no request may begin on
	// an older one. Default: 8s.
	Deadline time.Duration
	// LoadTime is the assumed time from an order until a report shows the change, before any load
	// was observed. Default: 1s.
	LoadTime time.Duration
	// Parallel is the number of engines that may be changed at one time, or more if the deadline
	// could not be kept otherwise. Default: a fifth of the engines.
	Parallel int
	// DeferOrders delays orders for as long as the deadline allows, so that versions published in
	// quick succession need one load. Default: a version is ordered when it is first seen.
	DeferOrders bool
	// Margin is the time kept before the deadline for lost orders and changes of the lease
	// holder. Default: 2s.
	Margin time.Duration
	// QuiesceTime is the longest time for which an engine gets no new work before its order, so
	// that its requests can end. Default: none.
	QuiesceTime time.Duration
}

const (
	defaultDeadline = 8 * time.Second
	defaultLoadTime = time.Second
	defaultMargin   = 2 * time.Second
	// reportInterval is the time between two reports of an engine under order, once the fastest
	// loads would have ended.
	reportInterval = 100 * time.Millisecond
	// orderLostAfter is the age of an order from which a report without any sign of it shows that
	// it was not accepted; above the lag of reports.
	orderLostAfter = 700 * time.Millisecond
	// maxReportAge is how long a report's sequence number may be used for an order.
	maxReportAge = time.Second
	// refusedPause is the pause after an engine refused an order.
	refusedPause = 300 * time.Millisecond
	// minSilentPause and maxSilentPause bound the pause after a missing report; it doubles with
	// each one in a row.
	minSilentPause = 300 * time.Millisecond
	maxSilentPause = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.Deadline = cmp.Or(c.Deadline, defaultDeadline)
	c.LoadTime = cmp.Or(c.LoadTime, defaultLoadTime)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	return c
}

// Counters counts the orders and reports of a Planner.
type Counters struct {
	Orders, Accepted, Refused, Unanswered, Reports uint64
	// Late counts orders that were issued after the deadline.
	Late uint64
}

type engineState struct {
	record   backend.Record
	sequence uint64
	versions map[ident.Model]int
	// ordered is the version under order, 0 if no order is open.
	ordered      int
	orderedModel ident.Model
	orderedAt    time.Time
	// acceptedAt is when the engine accepted the order, zero if it did not.
	acceptedAt time.Time
	// inFlight is true during an exchange with the engine.
	inFlight bool
	retryAt  time.Time
	// silentPause is the pause after the last report if it was missing, else 0.
	silentPause time.Duration
	// nextReportAt is when the next report is due, reportedAt when the last one received was
	// requested.
	nextReportAt, reportedAt time.Time
	// requests is the number of the engine's requests in the last report, busy whether it was
	// carrying out an order then.
	requests int
	busy     bool
	// quiescingSince is zero if the engine does not quiesce.
	quiescingSince time.Time
	// unavailableSince is when the open order was issued, or when the engine began to quiesce for
	// it.
	unavailableSince time.Time
}

// Planner decides on orders. It is not safe for concurrent use.
//
// Invariants: an engine has at most one exchange in flight; an order carries the sequence number of
// a report read right before, so that the engine carries out at most one of two orders with the
// same number, however late the other arrives.
type Planner struct {
	config   Config
	engines  map[ident.Incarnation]*engineState
	models   map[ident.Model]catalog.PublishedVersion
	counters Counters
	// loaded are the engines that loaded their version since the last call of Loaded.
	loaded []LoadedEngine
	// loads measures from acceptance until the version is observed, changes for how long engines
	// are unavailable.
	loads, changes loadTimes
	// headroom is from 0 (saturated) to 1 (idle).
	headroom map[ident.Service]float64
	// quiescing are the engines that began to quiesce since the last call of Quiescing.
	quiescing []QuiescingEngine
	crashes   map[modelVersion]*loadCrashes
}

// LoadedEngine is an engine that has the version it was ordered to load.
type LoadedEngine struct {
	Instance ident.Incarnation
	Model    ident.Model
	Version  int
}

// NewPlanner returns a planner without engines.
func NewPlanner(config Config) *Planner {
	config = config.withDefaults()
	return &Planner{
		config: config, engines: make(map[ident.Incarnation]*engineState), loads: newLoadTimes(config.LoadTime),
		changes: newLoadTimes(config.LoadTime), crashes: make(map[modelVersion]*loadCrashes),
	}
}

// Counters returns the current counts.
func (p *Planner) Counters() Counters { return p.counters }

// Observe sets the instance list and the published versions.
func (p *Planner) Observe(records []backend.Record, models map[ident.Model]catalog.PublishedVersion) {
	p.models = models
	p.countCrashes(records)
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

// recordVersions records an engine's versions, which never decrease within one incarnation.
func (e *engineState) recordVersions(versions map[ident.Model]int) {
	for model, version := range versions {
		e.versions[model] = max(e.versions[model], version)
	}
}

// DropOrders drops the state of open orders. Called when the lease has a new fence.
func (p *Planner) DropOrders() {
	for _, engine := range p.engines {
		engine.ordered, engine.inFlight = 0, false
		engine.quiescingSince = time.Time{}
	}
}

// pendingUpdate is an engine without the newest published version of a model.
type pendingUpdate struct {
	engine   *engineState
	model    ident.Model
	deadline time.Time
}

// Plan returns the exchanges to make now under a fence. The outcome of each order must be passed to
// Ordered, that of each report to Reported.
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
		// Engines that do not answer don't count, so that they delay no others.
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

// survey settles orders, returns the reports due from engines under order, the number of those that
// answer, and the updates that other engines need, most urgent first.
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

// advance orders an engine that has quiesced and whose report is recent, or reads its report.
// An engine that carries out an order of a former holder finishes it first: that holder may have
// known a newer version, and a late order would then take the engine back unnoticed, as recorded
// versions never decrease.
func (p *Planner) advance(now time.Time, update pendingUpdate, fence uint64) (Action, bool) {
	if update.engine.busy || now.Sub(update.engine.reportedAt) > maxReportAge || p.awaitsQuiescence(now, update) {
		return p.requestReport(now, update.engine)
	}
	return p.order(now, update, fence), true
}

// settle closes the order of an engine that was observed to have its version.
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

// Loaded returns the engines that loaded the version of their order since the last call.
func (p *Planner) Loaded() []LoadedEngine {
	loaded := p.loaded
	p.loaded = nil
	return loaded
}

// requestReport returns the action to read an engine's report, if that is due.
func (p *Planner) requestReport(now time.Time, engine *engineState) (Action, bool) {
	if engine.inFlight || now.Before(engine.nextReportAt) {
		return Action{}, false
	}
	engine.inFlight = true
	p.counters.Reports++
	return Action{Target: engine.record}, true
}

// updateFor returns the update of an engine with the earliest deadline, if it needs any.
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

// Ordered applies the outcome of an order.
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
		// Read the engine's sequence number again before the next order.
		p.counters.Refused++
		engine.ordered = 0
		engine.reportedAt = time.Time{}
	default:
		p.counters.Refused++
		engine.ordered = 0
		engine.retryAt = now.Add(refusedPause)
	}
}

// Reported applies a report that was requested at requestedAt, or nil if there was no answer.
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
