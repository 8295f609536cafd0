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
	// contenders is how many routers contend for a lease, so that the table's
	// traffic does not grow with the number of routers.
	contenders = 3
	// dutyTick is how often the duty looks at leases, reports and plans.
	dutyTick = 200 * time.Millisecond
	// maxCalls bounds the requests to engines that wait or run.
	maxCalls = 256
)

// Engines is what the duty asks of engines; engine.Client has it.
type Engines interface {
	Load(ctx context.Context, address string) (protocol.LoadReport, error)
	Order(ctx context.Context, address string, order protocol.Order) (protocol.OrderResult, error)
}

// Options joins a Controller to the rest of a router.
type Options struct {
	Node    ident.Node
	Table   store.Table
	Engines Engines
	// View returns the membership as this router sees it.
	View func() membership.View
	// Fleet returns the file in force, or nil.
	Fleet  func() *fleet.Compiled
	Config Config
}

// GroupStatus is the state of one group for people and counters.
type GroupStatus struct {
	Lease string
	// Held says whether this router is in charge; Fence is its fence then.
	Held  bool
	Fence uint64
	// Holder is the node in charge as last seen, "" if this router does not
	// contend; Contenders are those that do.
	Holder     ident.Node
	Contenders []ident.Node
	// Counters has no loads under way and no settled engines unless this router
	// is in charge.
	Counters Counters
	Leases   lease.Counters
}

// Controller contends for the leases of the groups that rendezvous assigns to this
// router and issues the orders of those it holds. Run it once.
type Controller struct {
	options Options
	calls   *ring.Ring[call]
	answers *ring.Ring[answer]
	// outstanding counts calls without a taken-in answer; it keeps both rings
	// from overflowing.
	outstanding int
	compiled    *fleet.Compiled
	runners     map[string]*runner
	keepers     sync.WaitGroup

	mutex  sync.Mutex
	status []GroupStatus
}

// runner is the work on one group.
type runner struct {
	group   Group
	planner *Planner
	elector *lease.Elector
	stop    context.CancelFunc
	// askedAt is when each engine's report was last asked for; reading marks
	// those without an answer yet.
	askedAt map[ident.Engine]time.Time
	reading map[ident.Engine]bool
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
	call    call
	askedAt time.Time
	report  protocol.LoadReport
	err     error
}

// New returns a duty that does nothing until Run.
func New(options Options) *Controller {
	options.Config = options.Config.withDefaults()
	return &Controller{
		options: options,
		calls:   ring.New[call]("control-calls", maxCalls, ring.RefuseNew),
		answers: ring.New[answer]("control-answers", maxCalls, ring.RefuseNew),
		runners: map[string]*runner{},
	}
}

// Rings returns the counters of the duty's rings.
func (d *Controller) Rings() []func() ring.Counters {
	return []func() ring.Counters{d.calls.Counters, d.answers.Counters}
}

// Status returns the state of every group, as of the last tick.
func (d *Controller) Status() []GroupStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.status)
}

// Run works until ctx ends. It then waits for requests under way and hands its
// leases over, both in bounded time.
func (d *Controller) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range d.options.Config.Workers {
		workers.Go(func() { d.work(ctx) })
	}
	ticker := time.NewTicker(dutyTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.tick(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.answers.Ready():
		}
	}
	workers.Wait()
	for _, one := range d.runners {
		one.stop()
	}
	d.keepers.Wait()
	d.publish(nil)
}

func (d *Controller) tick(ctx context.Context) {
	d.takeIn()
	if compiled := d.options.Fleet(); compiled != d.compiled && compiled != nil {
		d.adopt(ctx, compiled)
	}
	view := d.options.View()
	status := make([]GroupStatus, 0, len(d.runners))
	for name, one := range d.runners {
		owners := view.Owners(name, contenders)
		one.elector.Contend(slices.ContainsFunc(owners, func(owner membership.Member) bool { return owner.Node == d.options.Node }))
		grant, err := one.elector.Held()
		if err == nil {
			d.lead(one, grant)
		}
		status = append(status, one.status(name, owners, grant))
	}
	slices.SortFunc(status, func(a, b GroupStatus) int {
		if a.Lease < b.Lease {
			return -1
		}
		return 1
	})
	d.publish(status)
}

// status tells of a group; a grant without a fence is none.
func (r *runner) status(name string, owners []membership.Member, grant lease.Grant) GroupStatus {
	told := GroupStatus{
		Lease: name, Held: grant.Fence > 0, Fence: grant.Fence, Holder: r.elector.Holder(),
		Counters: r.planner.Counters(), Leases: r.elector.Counters(),
	}
	for _, owner := range owners {
		told.Contenders = append(told.Contenders, owner.Node)
	}
	if !told.Held {
		told.Counters.Loading, told.Counters.Settled = 0, 0 // what an earlier holding knew is out of date
	}
	return told
}

func (d *Controller) publish(status []GroupStatus) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.status = status
}

// adopt changes over to the groups of another fleet file. A group that is gone
// is stopped, which hands its lease over.
func (d *Controller) adopt(ctx context.Context, compiled *fleet.Compiled) {
	d.compiled = compiled
	groups := GroupsOf(compiled)
	kept := map[string]*runner{}
	for _, group := range groups {
		name := group.LeaseName()
		one, known := d.runners[name]
		if !known {
			one = d.startRunner(ctx, name)
		}
		one.group = group
		one.planner.SetFleet(compiled, group, len(groups))
		kept[name] = one
		delete(d.runners, name)
	}
	for _, gone := range d.runners {
		gone.stop()
	}
	d.runners = kept
}

// startRunner starts the lease's duty. It outlives ctx until Run has seen the
// last request end, so that no order is under way when the lease is released.
func (d *Controller) startRunner(ctx context.Context, name string) *runner {
	kept, stop := context.WithCancel(context.WithoutCancel(ctx))
	one := &runner{
		planner: NewPlanner(d.options.Config, name), stop: stop,
		elector: lease.NewElector(d.options.Table, d.options.Config.Lease, name, d.options.Node),
		askedAt: map[ident.Engine]time.Time{}, reading: map[ident.Engine]bool{},
	}
	d.keepers.Go(func() { one.elector.Run(kept) })
	return one
}

// lead reads reports and issues orders under a grant.
func (d *Controller) lead(one *runner, grant lease.Grant) {
	now := time.Now()
	for _, order := range one.planner.Plan(now, grant) {
		if !d.submit(call{runner: one, engine: order.Engine, address: order.Address, order: &order.Order}) {
			one.planner.Ordered(now, order.Engine, order.Order.OrderID, lease.ErrNotHeld)
		}
	}
	if floor := one.planner.Floor(); floor >= grant.Fence {
		log.WithFields(log.Fields{"lease": one.group.LeaseName(), "fence": grant.Fence, "seen": floor}).Info("a newer fence is needed, stepping down")
		one.elector.StepDown(floor)
		return
	}
	for _, target := range one.group.Engines {
		if one.reading[target.Name] || now.Sub(one.askedAt[target.Name]) < one.planner.ReportInterval() {
			continue
		}
		if d.submit(call{runner: one, engine: target.Name, address: target.Address}) {
			one.reading[target.Name] = true
			one.askedAt[target.Name] = now
		}
	}
}

func (d *Controller) submit(asked call) bool {
	if d.outstanding >= maxCalls {
		return false
	}
	d.outstanding++
	return d.calls.Push(asked)
}

// takeIn hands the answers to their planners.
func (d *Controller) takeIn() {
	for got, ok := d.answers.Pop(); ok; got, ok = d.answers.Pop() {
		d.outstanding--
		asked := got.call
		switch {
		case asked.order != nil:
			asked.runner.planner.Ordered(time.Now(), asked.engine, asked.order.OrderID, got.err)
			continue
		case got.err != nil:
			asked.runner.planner.Unreachable(asked.engine)
		default:
			asked.runner.planner.Reported(got.askedAt, asked.engine, got.report)
		}
		delete(asked.runner.reading, asked.engine)
	}
}

// work is a duty that makes requests to engines.
func (d *Controller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.calls.Ready():
		}
		for asked, ok := d.calls.Pop(); ok && ctx.Err() == nil; asked, ok = d.calls.Pop() {
			d.answers.Push(d.request(ctx, asked))
		}
	}
}

// request makes one request. The lease is checked again right before an order
// leaves, since the call may have waited or the process may have been paused.
func (d *Controller) request(ctx context.Context, asked call) answer {
	ctx, cancel := context.WithTimeout(ctx, d.options.Config.RequestTimeout)
	defer cancel()
	made := answer{call: asked, askedAt: time.Now()}
	if asked.order == nil {
		made.report, made.err = d.options.Engines.Load(ctx, asked.address)
		return made
	}
	grant, err := asked.runner.elector.Held()
	if err != nil || grant.Fence != asked.order.Fence {
		made.err = lease.ErrNotHeld
		return made
	}
	_, made.err = d.options.Engines.Order(ctx, asked.address, *asked.order)
	return made
}
