package model

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// maxRememberedOrders bounds the order ids kept to recognise retries.
const maxRememberedOrders = 4096

// orderBook is the engine state that fenced orders change.
type orderBook struct {
	fence  uint64
	role   string
	loaded []protocol.LoadedModel
	loads  []pendingLoad
	// accepted and acceptedIDs keep order ids, the oldest first.
	accepted    map[string]protocol.OrderResult
	acceptedIDs []string
}

// pendingLoad is a load in progress; due is valid once the weights are fetched.
type pendingLoad struct {
	order          protocol.Order
	weightsFetched bool
	due            time.Time
}

func newOrderBook(config Config) orderBook {
	book := orderBook{role: config.Role, accepted: map[string]protocol.OrderResult{}}
	for _, model := range config.Models {
		model.Adapters = slices.Clone(model.Adapters)
		book.loaded = append(book.loaded, model)
	}
	return book
}

// serves reports whether a version and adapter are loaded.
func (b *orderBook) serves(model ident.Model, version ident.ModelVersion, adapter ident.Adapter) bool {
	for _, loaded := range b.loaded {
		if loaded.Model == model && loaded.Version == version {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

func (b *orderBook) list() []protocol.LoadedModel {
	list := make([]protocol.LoadedModel, len(b.loaded))
	for index, loaded := range b.loaded {
		loaded.Adapters = slices.Clone(loaded.Adapters)
		list[index] = loaded
	}
	return list
}

func (b *orderBook) remember(result protocol.OrderResult) {
	if len(b.acceptedIDs) == maxRememberedOrders {
		delete(b.accepted, b.acceptedIDs[0])
		b.acceptedIDs = b.acceptedIDs[1:]
	}
	b.acceptedIDs = append(b.acceptedIDs, result.OrderID)
	b.accepted[result.OrderID] = result
}

// Order accepts or refuses a fenced order. A retry of an accepted order is
// confirmed again and has no second effect.
func (e *Engine) Order(now time.Time, order protocol.Order) (protocol.OrderResult, *protocol.Refusal) {
	e.advanceTo(now)
	if refusal := e.checkOrder(order); refusal != nil {
		return protocol.OrderResult{}, refusal
	}
	if result, retried := e.orders.accepted[order.OrderID]; retried {
		return result, nil
	}
	if order.Fence < e.orders.fence {
		return protocol.OrderResult{}, e.refuse(protocol.RefusalStaleFence, "an order with a newer fence was accepted")
	}
	e.orders.fence = order.Fence
	result := protocol.OrderResult{OrderID: order.OrderID, Fence: order.Fence}
	e.orders.remember(result)
	e.record(truth.Record{
		Kind: truth.OrderApplied, OrderID: order.OrderID, OrderKind: string(order.Kind),
		Fence: order.Fence, Model: order.Model, Version: order.Version,
	})
	switch order.Kind {
	case protocol.OrderLoad:
		e.beginLoad(order)
	case protocol.OrderUnload:
		e.unload(order)
	case protocol.OrderRole:
		e.orders.role = order.Role
	}
	e.sampleLoad()
	return result, nil
}

func (e *Engine) checkOrder(order protocol.Order) *protocol.Refusal {
	needsModel := order.Kind == protocol.OrderLoad || order.Kind == protocol.OrderUnload
	switch {
	case !e.alive:
		return e.refuse(protocol.RefusalDraining, "the engine is down")
	case order.ExpectedIncarnation != e.incarnation:
		return e.refuse(protocol.RefusalMismatch, "another incarnation is in force")
	case order.OrderID == "":
		return e.refuse(protocol.RefusalBadRequest, "order_id must be set")
	case needsModel && (order.Model == "" || order.Version == ""):
		return e.refuse(protocol.RefusalBadRequest, "model and version must be set")
	case order.Kind == protocol.OrderRole && !validRole(order.Role):
		return e.refuse(protocol.RefusalBadRequest, "role must be mixed, prefill or decode")
	case !needsModel && order.Kind != protocol.OrderRole:
		return e.refuse(protocol.RefusalBadRequest, "unknown order kind")
	}
	return nil
}

func (e *Engine) beginLoad(order protocol.Order) {
	if e.config.ExternalWeights {
		e.orders.loads = append(e.orders.loads, pendingLoad{order: order})
		e.outbox = append(e.outbox, Output{Time: e.now, Fetch: &order})
		return
	}
	due := e.now.Add(e.config.LoadDuration)
	e.orders.loads = append(e.orders.loads, pendingLoad{order: order, weightsFetched: true, due: due})
}

// WeightsArrived records that the weights of a load order were fetched; the load
// completes after LoadDuration. An order that is no longer pending is ignored.
func (e *Engine) WeightsArrived(now time.Time, orderID string) {
	e.advanceTo(now)
	for index := range e.orders.loads {
		load := &e.orders.loads[index]
		if load.order.OrderID == orderID && !load.weightsFetched {
			load.weightsFetched = true
			load.due = now.Add(e.config.LoadDuration)
		}
	}
}

// LoadPending reports whether the load order still waits for its weights.
func (e *Engine) LoadPending(orderID string) bool {
	return slices.ContainsFunc(e.orders.loads, func(load pendingLoad) bool {
		return load.order.OrderID == orderID && !load.weightsFetched
	})
}

// finishLoads completes the due loads.
func (e *Engine) finishLoads(now time.Time) {
	var left []pendingLoad
	for _, load := range e.orders.loads {
		if !load.weightsFetched || load.due.After(now) {
			left = append(left, load)
			continue
		}
		e.orders.add(load.order)
		e.record(truth.Record{Kind: truth.Loaded, Model: load.order.Model, Version: load.order.Version, OrderID: load.order.OrderID})
	}
	e.orders.loads = left
	e.sampleLoad()
}

// add adds a loaded version or replaces the adapters of one.
func (b *orderBook) add(order protocol.Order) {
	b.drop(order.Model, order.Version)
	b.loaded = append(b.loaded, protocol.LoadedModel{
		Model: order.Model, Version: order.Version, Adapters: slices.Clone(order.Adapters),
	})
}

func (b *orderBook) drop(model ident.Model, version ident.ModelVersion) {
	b.loaded = slices.DeleteFunc(b.loaded, func(loaded protocol.LoadedModel) bool {
		return loaded.Model == model && loaded.Version == version
	})
}

// unload drops a version and its blocks. Generations accepted before run to
// their end without further use of the cache.
func (e *Engine) unload(order protocol.Order) {
	e.orders.drop(order.Model, order.Version)
	e.orders.loads = slices.DeleteFunc(e.orders.loads, func(load pendingLoad) bool {
		return load.order.Model == order.Model && load.order.Version == order.Version
	})
	e.queueRemovedEvents(e.blocks.removeOwned(func(owner prefix.Namespace) bool {
		return owner.Model == order.Model && owner.Version == order.Version
	}))
}
