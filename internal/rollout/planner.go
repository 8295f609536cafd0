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
	// LoadTime is the usual time from the decision to change an engine until its
	// report shows the change. Default: 1s.
	LoadTime time.Duration
	// Parallel is the least number of engines that may be changed at one time;
	// there are more if the deadline could not be kept otherwise. Default: one in
	// five of those there are.
	Parallel int
	// Patient puts orders off for as long as the deadline allows, so that versions
	// which are named in quick succession are taken in one load. Default: each
	// version is ordered when it is seen, since runs on replaced weights are worth
	// less.
	Patient bool
	// Margin is the time kept before the deadline for orders that are lost and
	// holders that change. Default: 2s.
	Margin time.Duration
	// Emptying is how long an engine gets no new work before its order, unless no
	// request is left there before. Default: EMPTYING.
	Emptying time.Duration
}

const (
	defaultDeadline = 8 * time.Second
	defaultLoadTime = time.Second
	defaultMargin   = 2 * time.Second
	defaultEmptying = 600 * time.Millisecond
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
	// parallelShare changes one in so many engines at one time, rounded to the
	// nearest number.
	parallelShare = 5
	// leastServing keeps all but one in so many engines serving while others
	// change, whatever the deadline.
	leastServing = 3
	// silentPause and maxSilentPause bound the pause after a report that did not
	// come; it doubles with each one in a row.
	silentPause    = 300 * time.Millisecond
	maxSilentPause = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.Deadline = cmp.Or(c.Deadline, defaultDeadline)
	c.LoadTime = cmp.Or(c.LoadTime, defaultLoadTime)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	c.Emptying = cmp.Or(c.Emptying, defaultEmptying)
	return c
}

// Order asks one engine to take a version of a model's weights. It is carried
// out only if the engine has taken Sequence orders before.
type Order struct {
	Target   backend.Record
	Model    ident.Model
	Version  int
	Sequence uint64
	Fence    uint64
}

// Result is what an engine answered to an order.
type Result uint8

const (
	// Accepted orders are carried out, or hold already.
	Accepted Result = iota + 1
	// Conflicting orders met another one, or another sequence number.
	Conflicting
	// Outdated orders carried an older fence than the engine has seen.
	Outdated
	// Gone is an order to an engine that is no longer at its address.
	Gone
	// Unanswered orders may have been taken, or may be taken later.
	Unanswered
	// NotSent orders never left this process.
	NotSent
)

// resultNames are the names of results in logs and metrics.
var resultNames = map[Result]string{
	Accepted: "accepted", Conflicting: "conflicting", Outdated: "outdated", Gone: "gone",
	Unanswered: "unanswered", NotSent: "not_sent",
}

// String implements fmt.Stringer.
func (r Result) String() string { return resultNames[r] }

// Report is what an engine told about itself.
type Report struct {
	Versions map[ident.Model]int
	Busy     bool
	Sequence uint64
	// Queued is the number of requests that wait for a place, Active that of those
	// that have one.
	Queued, Active int
}

// Action is one thing for the shell to do: an order, or a report to read.
type Action struct {
	// Order is nil if the report of Target is to be read.
	Order  *Order
	Target backend.Record
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
	// requests is the number of requests at the engine in the last report.
	requests int
	// emptyingFrom is when routers were told to send no new work, zero if they were
	// not.
	emptyingFrom time.Time
}

// Planner decides on orders. It is not safe for concurrent use.
//
// Invariants: an engine has at most one exchange under way; an order carries
// the sequence number of a report read right before, so that of two orders with the same number
// the engine carries out one at most, however late the other arrives.
type Planner struct {
	config   Config
	engines  map[ident.Incarnation]*progress
	models   map[ident.Model]catalog.NamedVersion
	counters Counters
	// loaded are the engines whose orders were settled since the last Loaded.
	loaded []Loaded
	loads  loadTimes
	// emptying are the engines that are to get no new work since the last Emptying.
	emptying []Loaded
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
	return &Planner{config: config, engines: make(map[ident.Incarnation]*progress), loads: newLoadTimes(config.LoadTime)}
}

// Counters returns what was counted so far.
func (p *Planner) Counters() Counters { return p.counters }

// Observe takes in the newest list of back ends and the named versions.
func (p *Planner) Observe(records []backend.Record, models map[ident.Model]catalog.NamedVersion) {
	p.models = models
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
	actions, active, needs := p.survey(now)
	if len(needs) == 0 || !p.due(now, needs) {
		return actions
	}
	loading := p.loading()
	most := p.parallel(len(needs)+active, needs[0].deadline.Sub(now)-p.config.Margin)
	extra := p.emptyingMost(most)
	for _, wanted := range needs {
		if now.Before(wanted.engine.notNow) {
			continue
		}
		// An engine that does not answer must not keep others waiting.
		if wanted.engine.silent == 0 {
			if active >= most+extra {
				continue
			}
			active++
		}
		if action, due := p.change(now, wanted, fence, loading < most); due {
			actions = append(actions, action)
			if action.Order != nil {
				loading++
			}
		}
	}
	return actions
}

// due reports whether orders may leave by now.
func (p *Planner) due(now time.Time, needs []need) bool {
	return !p.config.Patient || !now.Before(needs[0].deadline.Add(-p.lead(len(needs))))
}

// survey follows the engines that change, counts those of them that answer,
// and returns the others that are behind, the most urgent first.
func (p *Planner) survey(now time.Time) (actions []Action, active int, needs []need) {
	for _, engine := range p.engines {
		p.settle(engine)
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
			emptyingFirst(a.engine, b.engine), a.deadline.Compare(b.deadline), cmp.Compare(a.engine.record.Instance, b.engine.record.Instance),
		)
	})
	return actions, active, needs
}

// change orders an engine whose report was read right before, or reads it.
func (p *Planner) change(now time.Time, wanted need, fence uint64, room bool) (Action, bool) {
	if now.Sub(wanted.engine.reportedAt) > preparedFor {
		return p.follow(now, wanted.engine)
	}
	if p.empties(now, wanted) {
		return p.follow(now, wanted.engine)
	}
	if !room {
		return Action{}, false
	}
	return p.order(now, wanted, fence), true
}

// parallel is how many of count engines are changed at one time, so that all are
// within a span if most engines can go on serving meanwhile.
func (p *Planner) parallel(count int, span time.Duration) int {
	span = max(span, p.config.LoadTime)
	needed := (time.Duration(count)*p.config.LoadTime + span - 1) / span
	usual := cmp.Or(p.config.Parallel, max((len(p.engines)+parallelShare/2)/parallelShare, 1))
	return max(usual, min(int(needed), len(p.engines)/leastServing))
}

// lead is how long before the first deadline the change of count engines has
// to begin.
func (p *Planner) lead(count int) time.Duration {
	parallel := p.parallel(count, p.config.Deadline-p.config.Margin-p.config.LoadTime)
	rounds := (count + parallel - 1) / parallel
	return time.Duration(rounds)*p.config.LoadTime + p.config.Margin
}

// settle closes an order whose version the engine has.
func (p *Planner) settle(engine *progress) {
	version := engine.versions[engine.orderedModel]
	if engine.ordered == 0 || version < engine.ordered {
		return
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
		for _, naming := range p.models[model].Named {
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
	engine.emptyingFrom = time.Time{}
	engine.ordered = p.models[wanted.model].Version
	engine.orderedModel = wanted.model
	engine.orderedAt, engine.acceptedAt = now, time.Time{}
	engine.asking = true
	p.counters.Orders++
	if now.After(wanted.deadline) {
		p.counters.Late++
	}
	return Action{Target: engine.record, Order: &Order{
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
	engine.requests = report.Queued + report.Active
	p.observeLoad(askedAt, engine)
	p.settle(engine)
	if engine.ordered > 0 && !report.Busy && askedAt.Sub(engine.orderedAt) >= settleAfter {
		engine.ordered = 0
	}
}
