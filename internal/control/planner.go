// Package control turns the fleet file's model versions, adapters and roles into fenced orders to
// engines, by one lease holder at a time for each group of engines.
//
// Planner decides without I/O or clock; Controller runs it.
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

// Order is one order to issue and its target.
type Order struct {
	Engine  ident.Engine
	Address string
	Order   protocol.Order
}

// Counters counts the orders of a Planner and the engines of its group.
type Counters struct {
	// Orders counts orders issued, Retries those issued again under the same id after a lost
	// answer, Refused those that an engine refused.
	Orders, Retries, Refused uint64
	// StaleFences counts answers and reports that showed a newer fence.
	StaleFences uint64
	// Guarded counts checks that deferred an unload because it would have removed the last warm
	// engine.
	Guarded uint64
	// Loading is the number of loads in progress.
	Loading int
	// Engines is the size of the group, Settled how many of its engines match the fleet file by
	// their last reports.
	Engines, Settled int
}

// Planner decides on the orders of one group. It is a state machine without I/O and is not safe for
// concurrent use.
//
// Invariants: an engine has at most one order without an answer; an order whose answer was lost is
// retried under the same id or invalidated by a newer fence; a version is unloaded only while every
// tenant that may use the engine keeps a warm engine without it. That engine must have accepted this
// fence, so that no order of an earlier holder can unload it.
type Planner struct {
	config         Config
	name           string
	compiled       *fleet.Compiled
	group          Group
	needs          map[ident.Model][]need
	loadsPerSecond float64
	reportInterval time.Duration
	maxReportAge   time.Duration
	engines        map[ident.Engine]*engineState
	grant          lease.Grant
	serial         uint64
	nextLoad       time.Time
	floor          uint64
	counters       Counters
}

// NewPlanner returns a planner without engines. The name is a prefix of its order ids.
func NewPlanner(config Config, name string) *Planner {
	return &Planner{config: config.withDefaults(), name: name, engines: map[ident.Engine]*engineState{}}
}

// SetFleet sets the fleet file and the planner's group; groups is the number of groups that share
// the weight store's limit.
func (p *Planner) SetFleet(compiled *fleet.Compiled, group Group, groups int) {
	p.compiled, p.group, p.needs = compiled, group, needsOf(compiled)
	p.loadsPerSecond = p.config.LoadsPerSecond / float64(max(groups, 1))
	p.reportInterval = max(p.config.ReportInterval, time.Duration(len(group.Engines))*time.Second/maxReadsPerSecond)
	p.maxReportAge = max(p.config.MaxReportAge, readsPerMaxAge*p.reportInterval)
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

// Counters returns the current counts.
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

// settled reports whether an engine has its role, has loaded all models of the file, and holds no
// version to unload.
func (p *Planner) settled(state *engineState) bool {
	for _, name := range state.target.Models {
		if model, known := p.compiled.Model(name); known && !state.upToDate(model) {
			return false
		}
	}
	return state.reachable && state.report.Role == state.target.Role &&
		!slices.ContainsFunc(state.report.Loaded, func(loaded protocol.LoadedModel) bool { return p.removable(state, loaded) })
}

// Floor returns the fence above which the lease has to be acquired again: an observed newer one, or
// one to invalidate. Zero means none.
func (p *Planner) Floor() uint64 { return p.floor }

// Reported records a load report that was requested at requestedAt.
func (p *Planner) Reported(requestedAt time.Time, engine ident.Engine, report protocol.LoadReport) {
	if state := p.engines[engine]; state != nil {
		state.recordReport(requestedAt, report)
	}
}

// Unreachable records that an engine's report could not be read.
func (p *Planner) Unreachable(engine ident.Engine) {
	if state := p.engines[engine]; state != nil {
		state.reachable = false
	}
}

// ReportInterval returns the time between two reads of an engine's report.
func (p *Planner) ReportInterval() time.Duration { return p.reportInterval }

// Plan returns the orders to issue now under the grant. The answer to each must be passed to
// Ordered.
func (p *Planner) Plan(now time.Time, grant lease.Grant) []Order {
	p.useFence(grant)
	if p.compiled == nil {
		return nil
	}
	p.observeFences()
	if p.floor >= grant.Fence {
		return nil
	}
	var orders []Order
	for _, target := range p.group.Engines {
		if order, due := p.nextOrder(now, p.engines[target.Name]); due {
			orders = append(orders, Order{Engine: target.Name, Address: target.Address, Order: order})
		}
	}
	return orders
}

// useFence drops orders under an older fence: an engine that has accepted the new one refuses them.
func (p *Planner) useFence(grant lease.Grant) {
	if grant.Fence != p.grant.Fence {
		for _, state := range p.engines {
			state.pending, state.loading, state.noRoom = nil, nil, false
		}
		p.floor = 0
	}
	p.grant = grant
}

func (p *Planner) observeFences() {
	for _, state := range p.engines {
		if state.report.Fence > max(p.grant.Fence, p.floor) {
			p.floor = state.report.Fence
			p.counters.StaleFences++
		}
	}
}

// nextOrder returns the order that is due for an engine, if any.
func (p *Planner) nextOrder(now time.Time, state *engineState) (protocol.Order, bool) {
	if state.pending != nil {
		return p.retry(now, state)
	}
	if !p.usable(now, state) || !state.sampledAt.After(state.answeredAt) || now.Before(state.retryAt) {
		return protocol.Order{}, false
	}
	state.finishLoad(now, p.config.LoadTimeout)
	role := state.target.Role
	if state.report.Fence < p.grant.Fence || state.report.Role != role {
		return p.issue(state, protocol.Order{Kind: protocol.OrderRole, Role: role}), true
	}
	if order, wanted := p.load(now, state); wanted {
		return order, true
	}
	return p.unload(now, state)
}

// usable reports whether an engine is reachable, not draining and its last report recent enough.
func (p *Planner) usable(now time.Time, state *engineState) bool {
	draining := state.report.Draining || state.target.State == fleet.BackendDraining
	return state.reachable && !draining && now.Sub(state.sampledAt) <= p.maxReportAge
}

// issue sets an order's id, fence and incarnation and makes it the pending one.
func (p *Planner) issue(state *engineState, order protocol.Order) protocol.Order {
	p.serial++
	p.counters.Orders++
	order.OrderID = fmt.Sprintf("%s-%d-%d", p.name, p.grant.Fence, p.serial)
	order.Fence = p.grant.Fence
	order.ExpectedIncarnation = state.report.Incarnation
	state.pending = &pendingOrder{order: order, inFlight: true}
	return order
}

// retry issues an order again whose answer was lost. An unload that is no longer permitted cannot be
// recalled; a newer fence invalidates it.
func (p *Planner) retry(now time.Time, state *engineState) (protocol.Order, bool) {
	pending := state.pending
	if pending.inFlight || now.Before(pending.retryAt) {
		return protocol.Order{}, false
	}
	if order := pending.order; order.Kind == protocol.OrderUnload && !p.permitsUnload(now, state, order.Model, order.Version) {
		p.floor = max(p.floor, p.grant.Fence)
		return protocol.Order{}, false
	}
	pending.inFlight = true
	p.counters.Retries++
	return pending.order, true
}

// load returns the order for the first model of the engine that is not up to date, within the limits
// on loads.
func (p *Planner) load(now time.Time, state *engineState) (protocol.Order, bool) {
	if state.loading != nil || state.noRoom || now.Before(p.nextLoad) || p.loadingIn(now, state.target.Zone) >= p.config.MaxLoadsPerZone {
		return protocol.Order{}, false
	}
	for _, name := range state.target.Models {
		model, known := p.compiled.Model(name)
		if !known || state.upToDate(model) {
			continue
		}
		order := p.issue(state, protocol.Order{
			Kind: protocol.OrderLoad, Model: name, Version: model.Version, Adapters: slices.Clone(model.Adapters),
		})
		state.loading = &activeLoad{model: model, since: now}
		p.nextLoad = now.Add(time.Duration(float64(time.Second) / p.loadsPerSecond))
		return order, true
	}
	return protocol.Order{}, false
}

// loadingIn counts the usable engines of a zone that load or unload to make room.
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

// unload returns the order for the first removable version whose unload is permitted. An unload to
// make room counts towards MaxLoadsPerZone.
func (p *Planner) unload(now time.Time, state *engineState) (protocol.Order, bool) {
	if state.noRoom && p.loadingIn(now, state.target.Zone) >= p.config.MaxLoadsPerZone {
		return protocol.Order{}, false
	}
	neededRoom := state.noRoom
	for _, loaded := range state.report.Loaded {
		if !p.removable(state, loaded) {
			continue
		}
		if !p.permitsUnload(now, state, loaded.Model, loaded.Version) {
			p.counters.Guarded++
			continue
		}
		return p.issue(state, protocol.Order{Kind: protocol.OrderUnload, Model: loaded.Model, Version: loaded.Version}), true
	}
	if neededRoom && !slices.ContainsFunc(state.report.Loaded, func(loaded protocol.LoadedModel) bool { return p.removable(state, loaded) }) {
		state.noRoom = false // nothing to unload: retry the load later
		state.retryAt = now.Add(p.config.MaxRetryPause)
	}
	return protocol.Order{}, false
}

// permitsUnload reports whether a version may be unloaded now. A withdrawn version serves no
// requests and may always make room for a load.
func (p *Planner) permitsUnload(now time.Time, state *engineState, name ident.Model, version ident.ModelVersion) bool {
	model, known := p.compiled.Model(name)
	if known && state.noRoom && !accepted(model, version) {
		return true
	}
	return p.keepsWarmEngine(now, state, name, version)
}

// removable reports whether a loaded version should be unloaded.
func (p *Planner) removable(state *engineState, loaded protocol.LoadedModel) bool {
	model, known := p.compiled.Model(loaded.Model)
	if !known || !slices.Contains(state.target.Models, loaded.Model) {
		return true
	}
	if state.noRoom {
		return loaded.Version != model.Version
	}
	return state.upToDate(model) && !accepted(model, loaded.Version)
}

// accepted reports whether requests may use a version of the model.
func accepted(model *fleet.Model, version ident.ModelVersion) bool {
	return version == model.Version || slices.Contains(model.AcceptVersions, version)
}

// keepsWarmEngine reports whether every tenant that may use the engine keeps a warm engine for the
// model after the version is unloaded from this one.
func (p *Planner) keepsWarmEngine(now time.Time, state *engineState, name ident.Model, version ident.ModelVersion) bool {
	model, known := p.compiled.Model(name)
	if !known {
		return true // no tenant may use a model that the file does not have
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

// serves reports whether an engine surely serves an accepted version of the model, not counting the
// given version if exclude is true. The engine must have accepted this fence, and the version must
// not be subject to an unload in flight.
func (p *Planner) serves(state *engineState, model *fleet.Model, adapter ident.Adapter, exclude bool, version ident.ModelVersion) bool {
	if state.report.Fence != p.grant.Fence || !slices.Contains(state.target.Models, model.Name) {
		return false
	}
	for _, loaded := range state.report.Loaded {
		gone := exclude && loaded.Version == version || state.mayHaveUnloaded(loaded)
		if loaded.Model == model.Name && accepted(model, loaded.Version) && !gone &&
			(adapter == "" || slices.Contains(loaded.Adapters, adapter)) {
			return true
		}
	}
	return false
}
