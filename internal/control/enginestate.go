package control

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// engineState is a planner's state of one engine.
type engineState struct {
	target    *fleet.Engine
	reachable bool
	report    protocol.LoadReport
	// sampledAt is the earliest time at which the engine can have made the report: when it was
	// requested, less its age.
	sampledAt   time.Time
	requestedAt time.Time
	// pending is the order without a final answer, nil if there is none.
	pending *pendingOrder
	// answeredAt is when the last order was answered; only a report sampled later surely shows its
	// effect. answeredOrder is that order, zero if it was refused.
	answeredAt    time.Time
	answeredOrder protocol.Order
	retryAt       time.Time
	loading       *activeLoad
	// noRoom means that the engine refused to load a version beside the old one.
	noRoom bool
}

type pendingOrder struct {
	order    protocol.Order
	inFlight bool
	failures int
	retryAt  time.Time
}

type activeLoad struct {
	model *fleet.Model
	since time.Time
}

// recordReport records a report unless it is older than the last one. A new incarnation resets the
// state, since it has none of the earlier orders.
func (s *engineState) recordReport(requestedAt time.Time, report protocol.LoadReport) {
	if requestedAt.Before(s.requestedAt) {
		return
	}
	s.reachable = true
	sampledAt := requestedAt.Add(-time.Duration(report.AgeMillis+1) * time.Millisecond)
	if report.Incarnation != s.report.Incarnation {
		*s = engineState{target: s.target, reachable: true}
	} else if sampledAt.Before(s.sampledAt) {
		return
	}
	s.report, s.sampledAt, s.requestedAt = report, sampledAt, requestedAt
}

// upToDate reports whether the model's version is loaded with exactly its adapters.
func (s *engineState) upToDate(model *fleet.Model) bool {
	return slices.ContainsFunc(s.report.Loaded, func(loaded protocol.LoadedModel) bool {
		return loaded.Model == model.Name && loaded.Version == model.Version && sameAdapters(loaded.Adapters, model.Adapters)
	})
}

func sameAdapters(a, b []ident.Adapter) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// finishLoad ends a load that the report shows or that exceeds the timeout.
func (s *engineState) finishLoad(now time.Time, timeout time.Duration) {
	if s.loading != nil && (s.upToDate(s.loading.model) || now.Sub(s.loading.since) > timeout) {
		s.loading = nil
	}
}

// mayHaveUnloaded reports whether an unload was sent that the report need not show yet.
func (s *engineState) mayHaveUnloaded(loaded protocol.LoadedModel) bool {
	unloads := func(order protocol.Order) bool {
		return order.Kind == protocol.OrderUnload && order.Model == loaded.Model && order.Version == loaded.Version
	}
	return s.pending != nil && unloads(s.pending.order) || !s.sampledAt.After(s.answeredAt) && unloads(s.answeredOrder)
}

// Ordered applies the answer to an order; err is nil if the engine accepted it.
func (p *Planner) Ordered(now time.Time, name ident.Engine, orderID string, err error) {
	state := p.engines[name]
	if state == nil || state.pending == nil || state.pending.order.OrderID != orderID {
		return
	}
	pending := state.pending
	pending.inFlight = false
	problem := fault.From(err)
	var refused *engine.RefusedError
	if problem != nil && problem.Kind != fault.StaleFence && !errors.As(err, &refused) {
		pending.failures++
		pending.retryAt = now.Add(max(p.config.backoff(pending.failures), problem.RetryAfter))
		return
	}
	state.pending = nil
	state.answeredAt, state.answeredOrder = now, pending.order
	if problem == nil {
		state.noRoom = state.noRoom && pending.order.Kind != protocol.OrderUnload
		return
	}
	p.counters.Refused++
	state.answeredOrder = protocol.Order{}
	state.retryAt = now.Add(max(p.config.RetryPause, problem.RetryAfter))
	if pending.order.Kind == protocol.OrderLoad {
		state.loading = nil
		state.noRoom = refused != nil && refused.Refusal.Kind == protocol.RefusalFull
	}
	if problem.Kind == fault.StaleFence {
		p.floor = max(p.floor, pending.order.Fence)
		p.counters.StaleFences++
	}
}
