package lease

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Elector runs a Machine and makes its exchanges with the table. Its methods may be called by any
// goroutine while Run is running.
type Elector struct {
	table           store.Table
	name            string
	exchangeTimeout time.Duration
	releaseTimeout  time.Duration
	changed         chan struct{}

	mutex   sync.Mutex
	machine *Machine
	wasHeld bool
}

// NewElector returns an elector of the named lease for one incarnation of a node.
func NewElector(table store.Table, config Config, name string, node ident.Node) *Elector {
	config = config.withDefaults()
	return &Elector{
		table: table, name: name,
		exchangeTimeout: config.ExchangeTimeout,
		releaseTimeout:  config.Duration / renewalsPerDuration,
		changed:         make(chan struct{}, 1),
		machine:         NewMachine(config, name, node, ident.NewUniqueID()),
	}
}

// Contend sets whether this node contends for the lease. A holder that stops contending may not act
// any more and hands the lease over.
func (e *Elector) Contend(contend bool) {
	e.update(func(now time.Time) { e.machine.Contend(now, contend) })
}

// StepDown gives the lease up unless its fence is above floor; see Machine.StepDown.
func (e *Elector) StepDown(floor uint64) {
	e.update(func(now time.Time) { e.machine.StepDown(now, floor) })
}

// Held returns the grant, or ErrNotHeld. Call it right before each action.
func (e *Elector) Held() (Grant, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.machine.Held(clock.Sync())
}

// Act records an action that begins now and returns its grant; see Machine.Act.
func (e *Elector) Act() (Grant, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.machine.Act(clock.Sync())
}

// Holder returns the last observed holder; see Machine.Holder.
func (e *Elector) Holder() ident.Node {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.machine.Holder()
}

// Counters returns the current counts.
func (e *Elector) Counters() Counters {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.machine.Counters()
}

func (e *Elector) update(change func(now time.Time)) {
	e.mutex.Lock()
	change(clock.Now())
	e.mutex.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Run contends for the lease and renews it until ctx ends. It then hands the lease over, within a
// third of the lease's duration.
func (e *Elector) Run(ctx context.Context) {
	timer := time.NewTimer(e.releaseTimeout)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait, pending := e.step(ctx)
		switch {
		case !pending:
			timer.Stop()
		case wait <= 0:
			// A timer of zero would expire before the select; see minWait of fleet.Syncer.
			continue
		default:
			timer.Reset(wait)
		}
		select {
		case <-ctx.Done():
		case <-e.changed:
		case <-timer.C:
		}
	}
	e.handOver(context.WithoutCancel(ctx))
}

// handOver releases the lease, if it is held, within releaseTimeout.
func (e *Elector) handOver(ctx context.Context) {
	e.Contend(false)
	ctx, cancel := context.WithTimeout(ctx, e.releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		wait, pending := e.step(ctx)
		if !pending {
			return
		}
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// step makes the exchange that is due, if any, and returns how long to wait.
func (e *Elector) step(ctx context.Context) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	exchange, due := e.machine.Advance(clock.Sync())
	if due {
		e.mutex.Unlock()
		outcome := e.execute(ctx, exchange)
		e.mutex.Lock()
		e.machine.Done(clock.Now(), outcome)
	}
	e.logChange()
	next, pending := e.machine.Next()
	return max(clock.Until(next), 0), pending
}

func (e *Elector) execute(ctx context.Context, exchange Exchange) Outcome {
	ctx, cancel := context.WithTimeout(ctx, e.exchangeTimeout)
	defer cancel()
	if exchange.Kind == Observe {
		row, _, err := e.table.Read(ctx, exchange.Key)
		return Outcome{Rows: []protocol.Row{row}, Fault: fault.From(err)}
	}
	result, err := e.table.Commit(ctx, exchange.Transaction)
	return Outcome{Committed: result.Committed, Rows: result.Rows, Fault: fault.From(err)}
}

// logChange logs when the lease is acquired or no longer held. The mutex must be held.
func (e *Elector) logChange() {
	grant, err := e.machine.Held(clock.Now())
	held := err == nil
	if held == e.wasHeld {
		return
	}
	e.wasHeld = held
	entry := log.WithFields(log.Fields{"lease": e.name, "fence": grant.Fence})
	if held {
		entry.Info("lease is held")
		return
	}
	entry.Info("lease is not held any more")
}
