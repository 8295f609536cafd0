// Package control turns the fleet file's model versions, adapters and roles
// into fenced orders to engines, by one lease holder at a time for each group
// of engines.
//
// Planner decides without I/O or clock; Controller is the shell around it.
package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
)

// Order is one order to issue, and where to.
type Order struct {
	Engine  ident.Engine
	Address string
	Order   protocol.Order
}

// Counters counts what a Planner decided and saw.
type Counters struct {
	// Orders counts orders issued, Repeats those issued again under the same id
	// after a lost answer, Refused those that an engine refused.
	Orders, Repeats, Refused uint64
	// StaleFences counts orders or reports that showed a newer fence.
	StaleFences uint64
	// Guarded counts unloads put off because they would have taken the last
	// warm engine away; each look at a put-off unload counts.
	Guarded uint64
	// Loading is the number of loads under way now.
	Loading int
	// Engines is the size of the group, Settled how many of its engines are as
	// the file says by their last reports.
	Engines, Settled int
}

// Planner decides on the orders of one group. It is a state machine without
// I/O and is not safe for concurrent use.
//
// Invariants: an engine has at most one order without an answer; an order
// whose answer was lost is repeated under the same id or made void by a newer
// fence; a version is unloaded only while, for every tenant that may use the
// engine, an engine other than for that version stays warm that has taken this
// fence, so that no order of an earlier holder can take it away.
type Planner struct {
	config   Config
	name     string
	compiled *fleet.Compiled
	group    Group
	needs    map[ident.Model][]need
	share    float64
	interval time.Duration
	maxAge   time.Duration
	engines  map[ident.Engine]*engineState
	grant    lease.Grant
	serial   uint64
	nextLoad time.Time
	floor    uint64
	counters Counters
}

// NewPlanner returns a planner. The name goes into order ids.
func NewPlanner(config Config, name string) *Planner {
	return &Planner{config: config.withDefaults(), name: name, engines: map[ident.Engine]*engineState{}}
}

// SetFleet puts a fleet file in force; groups is how many groups share the
// weight store's limit.
func (p *Planner) SetFleet(compiled *fleet.Compiled, group Group, groups int) {
	p.compiled, p.group, p.needs = compiled, group, needsOf(compiled)
	p.share = p.config.LoadsPerSecond / float64(max(groups, 1))
	p.interval = max(p.config.ReportInterval, time.Duration(len(group.Engines))*time.Second/maxReadsPerSecond)
	p.maxAge = max(p.config.MaxReportAge, readsPerMaxAge*p.interval)
	engines := map[ident.Engine]*engineState{}
	for _, engine := range group.Engines {
		state := p.engines[engine.Name]
		if state == nil || state.target.Address != engine.Address {
			state = &engineState{}
		}
		state.target = engine
		engines[engine.Name] = state
	}
	p.engines = engines
}

// Counters returns what was counted so far.
func (p *Planner) Counters() Counters {
	counters := p.counters
	counters.Engines = len(p.engines)
	for _, state := range p.engines {
		if state.loading != nil {
			counters.Loading++
		}
		if p.settled(state) {
			counters.Settled++
		}
	}
	return counters
}

// settled reports whether an engine has its role, has loaded all that the file
// says, and holds nothing that is to go.
func (p *Planner) settled(state *engineState) bool {
	for _, name := range state.target.Models {
		if model, known := p.compiled.Model(name); known && !state.asWanted(model) {
			return false
		}
	}
	return state.reachable && state.report.Role == state.target.Role &&
		!slices.ContainsFunc(state.report.Loaded, func(loaded protocol.LoadedModel) bool { return p.spare(state, loaded) })
}

// Floor returns the highest fence met that is newer than the one held, or
// that has to be left behind; zero means none. The shell steps down with it.
func (p *Planner) Floor() uint64 { return p.floor }

// Reported takes in a load report that was asked for at a time.
func (p *Planner) Reported(askedAt time.Time, engine ident.Engine, report protocol.LoadReport) {
	if state := p.engines[engine]; state != nil {
		state.reported(askedAt, report)
	}
}

// Unreachable takes in that no report could be read.
func (p *Planner) Unreachable(engine ident.Engine) {
	if state := p.engines[engine]; state != nil {
		state.reachable = false
	}
}

// ReportInterval returns how often each engine's report is to be read.
func (p *Planner) ReportInterval() time.Duration { return p.interval }

// Plan returns the orders to issue now under the grant. Each must be answered
// by Ordered.
func (p *Planner) Plan(now time.Time, grant lease.Grant) []Order {
	p.useFence(grant)
	if p.compiled == nil {
		return nil
	}
	p.meetFences()
	if p.floor >= grant.Fence {
		return nil
	}
	var orders []Order
	for _, target := range p.group.Engines {
		if order, due := p.next(now, p.engines[target.Name]); due {
			orders = append(orders, Order{Engine: target.Name, Address: target.Address, Order: order})
		}
	}
	return orders
}

// useFence forgets what was ordered under an older fence: an engine that has
// taken the new one refuses it.
func (p *Planner) useFence(grant lease.Grant) {
	if grant.Fence != p.grant.Fence {
		for _, state := range p.engines {
			state.pending, state.loading, state.noRoom = nil, nil, false
		}
		p.floor = 0
	}
	p.grant = grant
}

func (p *Planner) meetFences() {
	for _, state := range p.engines {
		if state.report.Fence > max(p.grant.Fence, p.floor) {
			p.floor = state.report.Fence
			p.counters.StaleFences++
		}
	}
}

// next returns the order that an engine shall get now.
func (p *Planner) next(now time.Time, state *engineState) (protocol.Order, bool) {
	if state.pending != nil {
		return p.repeat(now, state)
	}
	if !p.usable(now, state) || !state.trueAt.After(state.settledAt) || now.Before(state.retryAt) {
		return protocol.Order{}, false
	}
	state.noteLoaded(now, p.config.LoadTimeout)
	role := state.target.Role
	if state.report.Fence < p.grant.Fence || state.report.Role != role {
		return p.issue(state, protocol.Order{Kind: protocol.OrderRole, Role: role}), true
	}
	if order, wanted := p.load(now, state); wanted {
		return order, true
	}
	return p.unload(now, state)
}

// usable reports whether an engine's last report may be acted on.
func (p *Planner) usable(now time.Time, state *engineState) bool {
	leaving := state.report.Leaving || state.target.State == fleet.BackendDraining
	return state.reachable && !leaving && now.Sub(state.trueAt) <= p.maxAge
}

// issue gives an order its id, fence and incarnation and awaits its answer.
func (p *Planner) issue(state *engineState, order protocol.Order) protocol.Order {
	p.serial++
	p.counters.Orders++
	order.OrderID = fmt.Sprintf("%s-%d-%d", p.name, p.grant.Fence, p.serial)
	order.Fence = p.grant.Fence
	order.ExpectedIncarnation = state.report.Incarnation
	state.pending = &pendingOrder{order: order, inFlight: true}
	return order
}

// repeat issues an order again whose answer was lost. An unload that is not
// permitted any more cannot be called back; a newer fence makes it void.
func (p *Planner) repeat(now time.Time, state *engineState) (protocol.Order, bool) {
	pending := state.pending
	if pending.inFlight || now.Before(pending.retryAt) {
		return protocol.Order{}, false
	}
	if order := pending.order; order.Kind == protocol.OrderUnload && !p.permits(now, state, order.Model, order.Version) {
		p.floor = max(p.floor, p.grant.Fence)
		return protocol.Order{}, false
	}
	pending.inFlight = true
	p.counters.Repeats++
	return pending.order, true
}

// load returns the order for the first model of the engine that is not loaded
// as the file says, within the limits of the weight store.
func (p *Planner) load(now time.Time, state *engineState) (protocol.Order, bool) {
	if state.loading != nil || state.noRoom || now.Before(p.nextLoad) || p.loadingIn(now, state.target.Zone) >= p.config.MaxLoadsPerZone {
		return protocol.Order{}, false
	}
	for _, name := range state.target.Models {
		model, known := p.compiled.Model(name)
		if !known || state.asWanted(model) {
			continue
		}
		order := p.issue(state, protocol.Order{
			Kind: protocol.OrderLoad, Model: name, Version: model.Version, Adapters: slices.Clone(model.Adapters),
		})
		state.loading = &loadUnderWay{model: model, since: now}
		p.nextLoad = now.Add(time.Duration(float64(time.Second) / p.share))
		return order, true
	}
	return protocol.Order{}, false
}

// loadingIn counts the usable engines of a zone that load or make room.
func (p *Planner) loadingIn(now time.Time, zone ident.Zone) int {
	count := 0
	for _, state := range p.engines {
		busy := state.loading != nil || state.noRoom && state.pending != nil
		if state.target.Zone == zone && busy && p.usable(now, state) {
			count++
		}
	}
	return count
}

// unload returns the order for the first version that the engine has no more
// reason to hold, or that has to make room, if the guard permits it. Making
// room takes one of the zone's places for loads.
func (p *Planner) unload(now time.Time, state *engineState) (protocol.Order, bool) {
	if state.noRoom && p.loadingIn(now, state.target.Zone) >= p.config.MaxLoadsPerZone {
		return protocol.Order{}, false
	}
	room := state.noRoom
	for _, loaded := range state.report.Loaded {
		if !p.spare(state, loaded) {
			continue
		}
		if !p.permits(now, state, loaded.Model, loaded.Version) {
			p.counters.Guarded++
			continue
		}
		return p.issue(state, protocol.Order{Kind: protocol.OrderUnload, Model: loaded.Model, Version: loaded.Version}), true
	}
	if room && !slices.ContainsFunc(state.report.Loaded, func(loaded protocol.LoadedModel) bool { return p.spare(state, loaded) }) {
		state.noRoom = false // nothing can go: try the load again later
		state.retryAt = now.Add(p.config.MaxRetryPause)
	}
	return protocol.Order{}, false
}

// permits reports whether a version may be taken from an engine now. One that
// the file has withdrawn serves nobody, and goes at once where it is in the way.
func (p *Planner) permits(now time.Time, state *engineState, name ident.Model, version ident.ModelVersion) bool {
	model, known := p.compiled.Model(name)
	if known && state.noRoom && !tolerated(model, version) {
		return true
	}
	return p.mayUnload(now, state, name, version)
}

// spare reports whether a loaded version is not to stay on the engine.
func (p *Planner) spare(state *engineState, loaded protocol.LoadedModel) bool {
	model, known := p.compiled.Model(loaded.Model)
	if !known || !slices.Contains(state.target.Models, loaded.Model) {
		return true
	}
	if state.noRoom {
		return loaded.Version != model.Version
	}
	return state.asWanted(model) && !tolerated(model, loaded.Version)
}

func tolerated(model *fleet.Model, version ident.ModelVersion) bool {
	return version == model.Version || slices.Contains(model.AcceptVersions, version)
}

// mayUnload reports whether, without that version on that engine, every tenant
// that may use the engine keeps a warm engine for the model.
func (p *Planner) mayUnload(now time.Time, state *engineState, name ident.Model, version ident.ModelVersion) bool {
	model, known := p.compiled.Model(name)
	if !known {
		return true // the file has no such model, so nobody may ask for it
	}
	for _, wanted := range p.needs[name] {
		if !wanted.zones.Has(state.target.Zone) {
			continue
		}
		warm := false
		for _, other := range p.engines {
			if wanted.zones.Has(other.target.Zone) && p.usable(now, other) {
				warm = warm || p.serves(other, model, wanted.adapter, other == state, version)
			}
		}
		if !warm {
			return false
		}
	}
	return true
}

// serves reports whether an engine surely serves a version of the model that
// requests may use, other than the one left out. Only an engine that has taken
// this fence and has no unload on its way counts.
func (p *Planner) serves(state *engineState, model *fleet.Model, adapter ident.Adapter, leaveOut bool, version ident.ModelVersion) bool {
	if state.report.Fence != p.grant.Fence || !slices.Contains(state.target.Models, model.Name) {
		return false
	}
	for _, loaded := range state.report.Loaded {
		gone := leaveOut && loaded.Version == version || state.mayHaveUnloaded(loaded)
		if loaded.Model == model.Name && tolerated(model, loaded.Version) && !gone &&
			(adapter == "" || slices.Contains(loaded.Adapters, adapter)) {
			return true
		}
	}
	return false
}
