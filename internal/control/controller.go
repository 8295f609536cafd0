package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/ring"
	"github.com/fieldpond/fieldpond/internal/store"
)

const (
	// contenders is how many routers contend for a lease, so that the table's traffic does not grow
	// with the number of routers.
	contenders = 3
	// tickInterval is the time between two checks of leases and plans.
	tickInterval = 200 * time.Millisecond
	// maxCalls bounds the queued and running requests to engines.
	maxCalls = 256
)

// Engines makes requests to engines; engine.Client implements it.
type Engines interface {
	Load(ctx context.Context, address string) (protocol.LoadReport, error)
	Order(ctx context.Context, address string, order protocol.Order) (protocol.OrderResult, error)
}

// Options configures a Controller.
type Options struct {
	Node    ident.Node
	Table   store.Table
	Engines Engines
	// View returns this router's view of the membership.
	View func() membership.View
	// Fleet returns the current fleet file, or nil.
	Fleet  func() *fleet.Compiled
	Config Config
}

// GroupStatus is the state of one group for status pages and metrics.
type GroupStatus struct {
	Lease string
	// Held is whether this router holds the lease; Fence is its fence then.
	Held  bool
	Fence uint64
	// Holder is the last observed holder, "" if this router does not contend. Contenders are the
	// nodes that do.
	Holder     ident.Node
	Contenders []ident.Node
	// Counters.Loading and Counters.Settled are 0 unless this router holds the lease.
	Counters Counters
	Leases   lease.Counters
}

// Controller contends for the leases of the groups that rendezvous hashing assigns to this router
// and issues the orders of those it holds. Run may be called once.
type Controller struct {
	options Options
	calls   *ring.Ring[call]
	answers *ring.Ring[answer]
	// outstanding counts calls whose answer was not received; bounding it keeps both rings from
	// overflowing.
	outstanding int
	compiled    *fleet.Compiled
	runners     map[string]*runner
	electors    sync.WaitGroup

	mutex  sync.Mutex
	status []GroupStatus
}

// runner plans and runs one group.
type runner struct {
	group   Group
	planner *Planner
	elector *lease.Elector
	stop    context.CancelFunc
	// requestedAt is when each engine's report was last requested; reading marks those without an
	// answer yet.
	requestedAt map[ident.Engine]time.Time
	reading     map[ident.Engine]bool
}

// call is one request to an engine: an order, or a read of the load report if
// order is nil.
type call struct {
	runner  *runner
	engine  ident.Engine
	address string
	order   *protocol.Order
}

type answer struct {
	call        call
	requestedAt time.Time
	report      protocol.LoadReport
	err         error
}

// New returns a controller that does nothing until Run.
func New(options Options) *Controller {
	options.Config = options.Config.withDefaults()
	return &Controller{
		options: options,
		calls:   ring.New[call]("control-calls", maxCalls, ring.RefuseNew),
		answers: ring.New[answer]("control-answers", maxCalls, ring.RefuseNew),
		runners: map[string]*runner{},
	}
}

// Rings returns functions that read the counters of the controller's rings.
func (c *Controller) Rings() []func() ring.Counters {
	return []func() ring.Counters{c.calls.Counters, c.answers.Counters}
}

// Status returns the state of every group, as of the last tick.
func (c *Controller) Status() []GroupStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.status)
}

// Run runs the controller until ctx ends. It then waits for requests in flight and hands its leases
// over, both in bounded time.
func (c *Controller) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range c.options.Config.Workers {
		workers.Go(func() { c.runWorker(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.tick(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.answers.Ready():
		}
	}
	workers.Wait()
	for _, r := range c.runners {
		r.stop()
	}
	c.electors.Wait()
	c.publish(nil)
}

func (c *Controller) tick(ctx context.Context) {
	c.receiveAnswers()
	if compiled := c.options.Fleet(); compiled != c.compiled && compiled != nil {
		c.setFleet(ctx, compiled)
	}
	view := c.options.View()
	status := make([]GroupStatus, 0, len(c.runners))
	for name, r := range c.runners {
		owners := view.Owners(name, contenders)
		r.elector.Contend(slices.ContainsFunc(owners, func(owner membership.Member) bool { return owner.Node == c.options.Node }))
		grant, err := r.elector.Held()
		if err == nil {
			c.runGroup(r, grant)
		}
		status = append(status, r.status(name, owners, grant))
	}
	slices.SortFunc(status, func(a, b GroupStatus) int {
		if a.Lease < b.Lease {
			return -1
		}
		return 1
	})
	c.publish(status)
}

// status returns the status of a group; a zero grant means that the lease is not held.
func (r *runner) status(name string, owners []membership.Member, grant lease.Grant) GroupStatus {
	status := GroupStatus{
		Lease: name, Held: grant.Fence > 0, Fence: grant.Fence, Holder: r.elector.Holder(),
		Counters: r.planner.Counters(), Leases: r.elector.Counters(),
	}
	for _, owner := range owners {
		status.Contenders = append(status.Contenders, owner.Node)
	}
	if !status.Held {
		status.Counters.Loading, status.Counters.Settled = 0, 0 // outdated since the lease was lost
	}
	return status
}

func (c *Controller) publish(status []GroupStatus) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.status = status
}

// setFleet replaces the groups by those of another fleet file. The runners of removed groups are
// stopped, which hands their leases over.
func (c *Controller) setFleet(ctx context.Context, compiled *fleet.Compiled) {
	c.compiled = compiled
	groups := GroupsOf(compiled)
	kept := map[string]*runner{}
	for _, group := range groups {
		name := group.LeaseName()
		r, known := c.runners[name]
		if !known {
			r = c.startRunner(ctx, name)
		}
		r.group = group
		r.planner.SetFleet(compiled, group, len(groups))
		kept[name] = r
		delete(c.runners, name)
	}
	for _, gone := range c.runners {
		gone.stop()
	}
	c.runners = kept
}

// startRunner starts a runner and its elector. The elector outlives ctx until Run has waited for the
// last request, so that no order is in flight when the lease is released.
func (c *Controller) startRunner(ctx context.Context, name string) *runner {
	electorContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	r := &runner{
		planner: NewPlanner(c.options.Config, name), stop: stop,
		elector:     lease.NewElector(c.options.Table, c.options.Config.Lease, name, c.options.Node),
		requestedAt: map[ident.Engine]time.Time{}, reading: map[ident.Engine]bool{},
	}
	c.electors.Go(func() { r.elector.Run(electorContext) })
	return r
}

// runGroup issues orders and requests reports under a grant.
func (c *Controller) runGroup(r *runner, grant lease.Grant) {
	now := time.Now()
	for _, order := range r.planner.Plan(now, grant) {
		if !c.submit(call{runner: r, engine: order.Engine, address: order.Address, order: &order.Order}) {
			r.planner.Ordered(now, order.Engine, order.Order.OrderID, lease.ErrNotHeld)
		}
	}
	if floor := r.planner.Floor(); floor >= grant.Fence {
		log.WithFields(log.Fields{"lease": r.group.LeaseName(), "fence": grant.Fence, "seen": floor}).Info("a newer fence is needed, stepping down")
		r.elector.StepDown(floor)
		return
	}
	for _, target := range r.group.Engines {
		if r.reading[target.Name] || now.Sub(r.requestedAt[target.Name]) < r.planner.ReportInterval() {
			continue
		}
		if c.submit(call{runner: r, engine: target.Name, address: target.Address}) {
			r.reading[target.Name] = true
			r.requestedAt[target.Name] = now
		}
	}
}

func (c *Controller) submit(request call) bool {
	if c.outstanding >= maxCalls {
		return false
	}
	c.outstanding++
	return c.calls.Push(request)
}

// receiveAnswers passes the answers to their planners.
func (c *Controller) receiveAnswers() {
	for received, ok := c.answers.Pop(); ok; received, ok = c.answers.Pop() {
		c.outstanding--
		request := received.call
		switch {
		case request.order != nil:
			request.runner.planner.Ordered(time.Now(), request.engine, request.order.OrderID, received.err)
			continue
		case received.err != nil:
			request.runner.planner.Unreachable(request.engine)
		default:
			request.runner.planner.Reported(received.requestedAt, request.engine, received.report)
		}
		delete(request.runner.reading, request.engine)
	}
}

// runWorker makes requests to engines until ctx ends.
func (c *Controller) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.calls.Ready():
		}
		for request, ok := c.calls.Pop(); ok && ctx.Err() == nil; request, ok = c.calls.Pop() {
			c.answers.Push(c.execute(ctx, request))
		}
	}
}

// execute makes one request. The lease is checked again right before an order is sent, since the
// call may have waited or the process may have been paused.
func (c *Controller) execute(ctx context.Context, request call) answer {
	ctx, cancel := context.WithTimeout(ctx, c.options.Config.RequestTimeout)
	defer cancel()
	result := answer{call: request, requestedAt: time.Now()}
	if request.order == nil {
		result.report, result.err = c.options.Engines.Load(ctx, request.address)
		return result
	}
	grant, err := request.runner.elector.Held()
	if err != nil || grant.Fence != request.order.Fence {
		result.err = lease.ErrNotHeld
		return result
	}
	_, result.err = c.options.Engines.Order(ctx, request.address, *request.order)
	return result
}
