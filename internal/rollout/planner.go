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
	// Emptying is the longest time for which an engine gets no new work before its
	// order, so that the requests there can end. Default: none.
	Emptying time.Duration
}

const (
	defaultDeadline = 8 * time.Second
	defaultLoadTime = time.Second
	defaultMargin   = 2 * time.Second
	// reportPause is the time between two reports of an engine that changes, from
	// the time on at which the fastest loads are over.
	reportPause = 100 * time.Millisecond
	// settleAfter is how old an order must be before a report without any sign
	// of it shows that it was not taken; reports lag by some hundred ms.
	settleAfter = 700 * time.Millisecond
	// preparedFor is how long a report's sequence number is taken for the next
	// order.
	preparedFor = time.Second
	// refusedPause is the pause after an engine refused an order.
	refusedPause = 300 * time.Millisecond
	// silentPause and maxSilentPause bound the pause after a report that did not
	// come; it doubles with each one in a row.
	silentPause    = 300 * time.Millisecond
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

// progress is the state of one engine.
type progress struct {
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
	// asking is true while an order or a report is under way.
	asking bool
	notNow time.Time
	// silent is the last pause after a report that did not come, 0 after one
	// that came.
	silent time.Duration
	// reportAt is when the next report is due, reportedAt when the last one
	// that came was asked for.
	reportAt, reportedAt time.Time
	// requests is the number of requests at the engine in the last report, busy whether it
	// carried out an order then.
	requests int
	busy     bool
	// emptyingFrom is when routers were told to send the engine no new work, zero if
	// they were not.
	emptyingFrom time.Time
	// awayFrom is when the change under order began: when emptying did, or the order.
	awayFrom time.Time
}

// Planner decides on orders. It is not safe for concurrent use.
//
// Invariants: an engine has at most one exchange under way; an order carries
// the sequence number of a report read right before, so that of two orders with the same number
// the engine carries out one at most, however late the other arrives.
type Planner struct {
	config   Config
	engines  map[ident.Incarnation]*progress
	models   map[ident.Model]catalog.PublishedVersion
	counters Counters
	// loaded are the engines whose orders were settled since the last Loaded.
	loaded []Loaded
	// loads are the times from orders on, changes those for which engines were away.
	loads, changes loadTimes
	// calm is how calm services are, from 0 to 1.
	calm map[ident.Service]float64
	// emptying are the engines that got to be emptied since the last call of Emptying.
	emptying []Emptying
	// doubts are the versions under which engines ended while they loaded them.
	doubts map[weights]*doubt
}

// Loaded is an engine that has the version it was ordered to take.
type Loaded struct {
	Instance ident.Incarnation
	Model    ident.Model
	Version  int
}

// NewPlanner returns a planner that knows no engine.
func NewPlanner(config Config) *Planner {
	config = config.withDefaults()
	return &Planner{
		config: config, engines: make(map[ident.Incarnation]*progress), loads: newLoadTimes(config.LoadTime),
		changes: newLoadTimes(config.LoadTime), doubts: make(map[weights]*doubt),
	}
}

// Counters returns what was counted so far.
func (p *Planner) Counters() Counters { return p.counters }

// Observe takes in the newest list of back ends and the named versions.
func (p *Planner) Observe(records []backend.Record, models map[ident.Model]catalog.PublishedVersion) {
	p.models = models
	p.noteEnds(records)
	engines := make(map[ident.Incarnation]*progress, len(records))
	for _, record := range records {
		if len(record.Models) == 0 || record.Draining {
			continue
		}
		known := p.engines[record.Instance]
		if known == nil {
			known = &progress{versions: make(map[ident.Model]int)}
		}
		known.record = record
		known.learn(record.Models)
		engines[record.Instance] = known
	}
	p.engines = engines
}

// learn takes in versions; an engine never goes back within one life.
func (e *progress) learn(versions map[ident.Model]int) {
	for model, version := range versions {
		e.versions[model] = max(e.versions[model], version)
	}
}

// Forget drops what is believed of orders under way, for a new holder.
func (p *Planner) Forget() {
	for _, engine := range p.engines {
		engine.ordered, engine.asking = 0, false
		engine.emptyingFrom = time.Time{}
	}
}

// need is an engine that is behind a named version.
type need struct {
	engine   *progress
	model    ident.Model
	deadline time.Time
}

// Plan returns what to do now under a fence. Each order must be answered by
// Ordered, each report by Reported.
func (p *Planner) Plan(now time.Time, fence uint64) []Action {
	p.review(now)
	actions, active, needs := p.survey(now)
	if len(needs) == 0 || !p.due(now, needs) {
		return actions
	}
	most := p.parallel(len(needs)+active, needs[0].deadline.Sub(now)-p.config.Margin)
	for _, wanted := range needs {
		if now.Before(wanted.engine.notNow) || p.doubted(now, wanted.model) {
			continue
		}
		// An engine that does not answer must not keep others waiting.
		if wanted.engine.silent == 0 {
			if active >= most {
				continue
			}
			active++
		}
		if action, due := p.change(now, wanted, fence); due {
			actions = append(actions, action)
		}
	}
	return actions
}

// survey follows the engines that change, counts those of them that answer,
// and returns the others that are behind, the most urgent first.
func (p *Planner) survey(now time.Time) (actions []Action, active int, needs []need) {
	for _, engine := range p.engines {
		p.settle(now, engine)
		if engine.ordered == 0 && !engine.asking {
			wanted, behind := p.needOf(engine)
			if !behind {
				engine.emptyingFrom = time.Time{}
				continue
			}
			needs = append(needs, wanted)
			continue
		}
		if engine.silent == 0 {
			active++
		}
		if action, due := p.follow(now, engine); due {
			actions = append(actions, action)
		}
	}
	slices.SortFunc(needs, func(a, b need) int {
		return cmp.Or(
			emptyingFirst(a.engine, b.engine), a.deadline.Compare(b.deadline),
			cmp.Compare(a.engine.record.Instance, b.engine.record.Instance),
		)
	})
	return actions, active, needs
}

// change orders an engine whose report was read right before and which is emptied, or
// reads its report. One that carries out the order of a former holder is let finish: that may
// have known a newer version, and an order which is carried out after it, late, would take the
// engine back for good, as engines are believed never to go back.
func (p *Planner) change(now time.Time, wanted need, fence uint64) (Action, bool) {
	if wanted.engine.busy || now.Sub(wanted.engine.reportedAt) > preparedFor || p.empties(now, wanted) {
		return p.follow(now, wanted.engine)
	}
	return p.order(now, wanted, fence), true
}

// settle closes an order whose version the engine was seen to have by a time.
func (p *Planner) settle(seenAt time.Time, engine *progress) {
	version := engine.versions[engine.orderedModel]
	if engine.ordered == 0 || version < engine.ordered {
		return
	}
	if !engine.acceptedAt.IsZero() {
		p.loads.observe(seenAt.Sub(engine.acceptedAt))
		p.changes.observe(seenAt.Sub(engine.awayFrom))
	}
	engine.ordered = 0
	p.loaded = append(p.loaded, Loaded{Instance: engine.record.Instance, Model: engine.orderedModel, Version: version})
}

// Loaded returns the engines that have had the version of their order since the
// last call.
func (p *Planner) Loaded() []Loaded {
	loaded := p.loaded
	p.loaded = nil
	return loaded
}

// follow reads the report of an engine that changes.
func (p *Planner) follow(now time.Time, engine *progress) (Action, bool) {
	if engine.asking || now.Before(engine.reportAt) {
		return Action{}, false
	}
	engine.asking = true
	p.counters.Reports++
	return Action{Target: engine.record}, true
}

// needOf returns the model for which an engine is the furthest behind.
func (p *Planner) needOf(engine *progress) (need, bool) {
	var wanted need
	behind := false
	for model, version := range engine.versions {
		for _, naming := range p.models[model].Publications {
			if naming.Version <= version {
				continue
			}
			deadline := naming.SeenAt.Add(p.config.Deadline)
			if !behind || deadline.Before(wanted.deadline) {
				wanted = need{engine: engine, model: model, deadline: deadline}
				behind = true
			}
			break
		}
	}
	return wanted, behind
}

func (p *Planner) order(now time.Time, wanted need, fence uint64) Action {
	engine := wanted.engine
	emptied := !engine.emptyingFrom.IsZero()
	engine.awayFrom = now
	if emptied {
		engine.awayFrom = engine.emptyingFrom
	}
	engine.emptyingFrom = time.Time{}
	engine.ordered = p.models[wanted.model].Version
	engine.orderedModel = wanted.model
	engine.orderedAt, engine.acceptedAt = now, time.Time{}
	engine.asking = true
	p.counters.Orders++
	if now.After(wanted.deadline) {
		p.counters.Late++
	}
	return Action{Target: engine.record, Emptied: emptied, Order: &Order{
		Target: engine.record, Model: wanted.model, Version: engine.ordered,
		Sequence: engine.sequence, Fence: fence,
	}}
}

// Ordered takes in the answer to an order.
func (p *Planner) Ordered(now time.Time, order *Order, result Result) {
	engine := p.engines[order.Target.Instance]
	if engine == nil {
		return
	}
	engine.asking = false
	engine.reportAt = now.Add(reportPause)
	switch result {
	case Accepted:
		p.counters.Accepted++
		engine.acceptedAt = now
		engine.reportAt = now.Add(p.loads.shortest())
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
		engine.notNow = now.Add(refusedPause)
	}
}

// Reported takes in a report that was asked for at a time, or nil if none came.
func (p *Planner) Reported(askedAt time.Time, instance ident.Incarnation, report *Report) {
	engine := p.engines[instance]
	if engine == nil {
		return
	}
	engine.asking = false
	engine.reportAt = askedAt.Add(reportPause)
	if report == nil {
		engine.emptyingFrom = time.Time{}
		engine.silent = min(max(2*engine.silent, silentPause), maxSilentPause)
		engine.notNow = askedAt.Add(engine.silent)
		engine.reportAt = engine.notNow
		return
	}
	engine.silent = 0
	engine.learn(report.Versions)
	engine.reportedAt = askedAt
	engine.sequence = report.Sequence
	engine.requests, engine.busy = report.Queued+report.Active, report.Busy
	p.settle(askedAt, engine)
	if engine.ordered > 0 && !report.Busy && askedAt.Sub(engine.orderedAt) >= settleAfter {
		engine.ordered = 0
	}
}
