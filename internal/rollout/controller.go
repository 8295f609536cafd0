package rollout

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// Engines carries out what a Planner decided.
type Engines interface {
	// Order sends an order to an engine, once.
	Order(ctx context.Context, order *Order) Result
	// Report reads an engine's report about itself.
	Report(ctx context.Context, target backend.Record) (*Report, error)
}

// Lease grants the right to order to one router at a time.
type Lease interface {
	// Held returns the grant, if there is one.
	Held() (lease.Grant, error)
	// Act returns the grant if an order may be sent now, and records the action.
	Act() (lease.Grant, error)
	// StepDown gives the lease up unless its fence is above floor.
	StepDown(floor uint64)
}

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	Planner Config
	// Tick is the time between two planning steps. Default: 100ms.
	Tick time.Duration
	// ExchangeTimeout bounds one order or report. Default: 600ms.
	ExchangeTimeout time.Duration
	// OnOrder is called with each order and its result. It must not block.
	OnOrder func(order *Order, result Result)
	// OnSuspectVersion, if not nil, is called once for each version that becomes suspect. It must
	// not block.
	OnSuspectVersion func(suspect SuspectVersion)
	// Quiesce makes engines quiesce before their orders; it needs a Notifier.
	Quiesce bool
	// Notifier notifies routers of engines that are about to change; nil disables notifications.
	Notifier Notifier
}

const (
	defaultTick            = 100 * time.Millisecond
	defaultExchangeTimeout = 600 * time.Millisecond
	// notificationLead is the time between the notification of an order and the order, for the
	// notification to arrive and for requests on their way to reach the engine.
	notificationLead = 30 * time.Millisecond
	// resultCapacity is above the number of exchanges in flight, so that none blocks.
	resultCapacity = 1024
)

// Controller runs a Planner while the lease is held.
type Controller struct {
	config   ControllerConfig
	planner  *Planner
	lease    Lease
	engines  Engines
	holder   *catalog.Holder
	backends *backend.Registry
	results  chan func(now time.Time)
	fence    uint64
}

// NewController returns a controller; Run runs it.
func NewController(config ControllerConfig, held Lease, engines Engines, holder *catalog.Holder, backends *backend.Registry) *Controller {
	if config.Tick <= 0 {
		config.Tick = defaultTick
	}
	if config.ExchangeTimeout <= 0 {
		config.ExchangeTimeout = defaultExchangeTimeout
	}
	// Routers that are not notified go on sending requests to quiescing engines.
	if config.Notifier != nil && config.Quiesce {
		config.Planner.QuiesceTime = cmp.Or(config.Planner.QuiesceTime, defaultQuiesceTime)
	}
	return &Controller{
		config: config, planner: NewPlanner(config.Planner), lease: held, engines: engines,
		holder: holder, backends: backends, results: make(chan func(time.Time), resultCapacity),
	}
}

// Run sends orders while the lease is held, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(c.config.Tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-c.results:
			apply(clock.Now())
			c.applyResults()
			c.step(ctx, clock.Now())
		case <-timer.C:
			c.step(ctx, clock.Now())
			timer.Reset(c.pause())
		}
	}
}

// idleTicks is the number of ticks between two checks whether the lease is held while it is not.
const idleTicks = 2

// pause returns the time until the next step.
func (c *Controller) pause() time.Duration {
	if _, err := c.lease.Held(); err != nil {
		return idleTicks * c.config.Tick
	}
	return c.config.Tick
}

// applyResults applies the results that are available without blocking.
func (c *Controller) applyResults() {
	for {
		select {
		case apply := <-c.results:
			apply(clock.Now())
		default:
			return
		}
	}
}

func (c *Controller) step(ctx context.Context, now time.Time) {
	grant, err := c.lease.Held()
	if err != nil {
		return
	}
	if grant.Fence != c.fence {
		c.fence = grant.Fence
		c.planner.DropOrders()
	}
	// Orders of two lease holders must not interleave.
	if now.Before(grant.QuietUntil) || !now.Before(grant.ActUntil) {
		return
	}
	view := c.holder.View()
	records := slices.DeleteFunc(c.backends.Records(), func(record backend.Record) bool {
		return !view.Serves(record.Service)
	})
	c.planner.Observe(records, view.Models)
	c.planner.SetHeadroom(c.headroom(now, records))
	actions := c.planner.Plan(now, grant.Fence)
	for _, suspect := range c.planner.NewSuspects() {
		if c.config.OnSuspectVersion != nil {
			c.config.OnSuspectVersion(suspect)
		}
	}
	c.notifyChanges(actions)
	for _, action := range actions {
		go c.execute(ctx, now, action, grant.Fence)
	}
}

// headroom returns the headroom of each service with engines, from 0 (saturated) to 1 (idle).
func (c *Controller) headroom(now time.Time, records []backend.Record) map[ident.Service]float64 {
	headroom := make(map[ident.Service]float64)
	for _, record := range records {
		if _, known := headroom[record.Service]; !known && len(record.Models) > 0 {
			headroom[record.Service] = c.backends.Headroom(now, record.Service)
		}
	}
	return headroom
}

// notifyChanges notifies routers of the engines that are about to load, that began to quiesce, and
// that loaded their version since the last step.
func (c *Controller) notifyChanges(actions []Action) {
	loaded, quiescing := c.planner.Loaded(), c.planner.Quiescing()
	if c.config.Notifier == nil {
		return
	}
	pending := notificationBatch{loadTime: c.planner.LoadTime() + notificationLead}
	pending.addLoading(actions)
	for _, engine := range loaded {
		notification := pending.forVersion(engine.Model, engine.Version)
		notification.Loaded = append(notification.Loaded, engine.Instance)
	}
	pending.addQuiescing(quiescing, c.config.Planner.QuiesceTime)
	pending.send(c.config.Notifier)
}

// notifyUnsettled retracts the notification of an order that the engine may not have accepted.
func (c *Controller) notifyUnsettled(order *Order, result Result) {
	if c.config.Notifier == nil || result == Accepted {
		return
	}
	c.config.Notifier.Notify(Notification{
		Model: order.Model, Version: order.Version, Unsettled: []ident.Incarnation{order.Target.Instance},
	})
}

// execute makes one exchange and passes its result to the goroutine of Run.
func (c *Controller) execute(ctx context.Context, requestedAt time.Time, action Action, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ExchangeTimeout)
	defer cancel()
	if action.Order == nil {
		report, err := c.engines.Report(ctx, action.Target)
		if err != nil {
			report = nil
		}
		c.results <- func(time.Time) {
			c.planner.Reported(requestedAt, action.Target.Instance, report)
			c.observeVersions(action.Target, report)
		}
		return
	}
	if c.config.Notifier != nil && !action.Quiesced {
		wait.For(ctx, notificationLead)
	}
	// The lease may have been lost since Plan: check it right before sending.
	result := NotSent
	if grant, err := c.lease.Act(); err == nil && grant.Fence == fence {
		result = c.engines.Order(ctx, action.Order)
	}
	c.results <- func(now time.Time) {
		c.planner.Ordered(now, action.Order, result)
		c.config.OnOrder(action.Order, result)
		c.notifyUnsettled(action.Order, result)
		if result == Outdated {
			c.lease.StepDown(fence)
		}
	}
}

// observeVersions records reported versions before the instance list shows them.
func (c *Controller) observeVersions(target backend.Record, report *Report) {
	if report == nil {
		return
	}
	for model, version := range report.Versions {
		c.backends.ObserveVersion(target.Instance, model, version)
	}
}
